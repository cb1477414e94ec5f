package exchange

import (
	"context"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/rollouts"
)

// Rollouts is what this instance counts of services that move to other builds.
type Rollouts interface {
	// Reports returns what this instance counted of orders in progress, Summaries what those that report to it counted as well.
	Reports() []rollout.Report
	Summaries() []rollout.Report
	// Apply takes what another instance, or a data centre, told.
	Apply(from rollout.Source, reports []rollout.Report)
}

// rolloutsEvery is the time between two reports. One passes two other instances in a large fleet, so it is known to all within twice
// that.
const rolloutsEvery = 250 * time.Millisecond

// reportRollouts tells what is counted of orders in progress until ctx ends.
func (x *Exchange) reportRollouts(ctx context.Context) {
	if x.Rollouts != nil {
		pause.Every(ctx, rolloutsEvery, x.TellRollouts)
	}
}

// TellRollouts tells what is counted of orders in progress: all others in a small fleet, in a large one those that sum up. A decision
// goes to all.
func (x *Exchange) TellRollouts() {
	reports := x.Rollouts.Reports()
	if len(reports) == 0 {
		return
	}
	r := x.roster()
	switch {
	case r.direct():
		x.sendRollouts(false, reports, r, true)
	case r.sumsUp():
		x.sendRollouts(true, x.Rollouts.Summaries(), r, true)
	default:
		x.sendRollouts(false, reports, r, false)
	}
}

// TellDecision sends a decision to all others at once.
func (x *Exchange) TellDecision() {
	x.TellRollouts()
	r := x.roster()
	if r.direct() || r.sumsUp() {
		return
	}
	decided := x.Rollouts.Reports()
	for i := range decided {
		decided[i].Tally = nil // only what is decided, as of an instance that has counted nothing
	}
	x.send(x.rolloutsDatagram(false, decided), r.everybody(false)...)
}

func (x *Exchange) sendRollouts(sum bool, reports []rollout.Report, r *roster, all bool) {
	d := x.rolloutsDatagram(sum, reports)
	switch {
	case !all:
		x.send(d, r.to(r.summers[x.Self.DataCentre]...)...)
	case !sum:
		x.send(d, r.everybody(false)...)
	default:
		to := r.inDataCentre(x.Self.DataCentre)
		for dc, ids := range r.summers {
			if dc != x.Self.DataCentre {
				to = append(to, r.to(ids...)...)
			}
		}
		x.send(d, to...)
	}
}

func (x *Exchange) rolloutsDatagram(sum bool, reports []rollout.Report) *peerv1.Datagram {
	return &peerv1.Datagram{Body: &peerv1.Datagram_Rollouts{Rollouts: &peerv1.Rollouts{
		Instance: x.Self.ID, DataCentre: x.Self.DataCentre, Process: x.process, Sum: sum, Reports: rollouts.EncodeReports(reports),
	}}}
}

// toldRollouts takes what another instance tells. The sums of another data centre are passed on by the one that sums up here.
func (x *Exchange) toldRollouts(d *peerv1.Rollouts, raw []byte) {
	if d.Instance == "" || d.DataCentre == "" || d.Instance == x.Self.ID || x.Rollouts == nil {
		return
	}
	from := rollout.Source{Name: d.Instance, DataCentre: d.DataCentre, Process: d.Process, IsSummary: d.Sum}
	x.Rollouts.Apply(from, rollouts.DecodeReports(d.Reports))
	if r := x.roster(); d.Sum && d.DataCentre != x.Self.DataCentre && r.sumsUp() {
		x.sendRaw(raw, r.inDataCentre(x.Self.DataCentre)...)
	}
}

// RolloutSources returns the other instances that are alive, as sources of reports.
func (x *Exchange) RolloutSources() []rollout.Source {
	alive := x.roster().alive
	out := make([]rollout.Source, len(alive))
	for i := range alive {
		out[i] = rollout.Source{Name: alive[i].ID, DataCentre: alive[i].DataCentre}
	}
	return out
}
