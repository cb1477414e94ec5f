package exchange

import (
	"context"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/rollouts"
)

// Rollouts counts the outcomes of requests to services that move to other builds.
type Rollouts interface {
	// Reports returns what this instance has counted for orders in progress. Summaries adds what
	// the instances that report to it have counted.
	Reports() []rollout.Report
	Summaries() []rollout.Report
	// Apply takes the reports of another instance or of a data centre.
	Apply(from rollout.Source, reports []rollout.Report)
}

// rolloutReportInterval is the time between two reports. In a large fleet a report passes through
// two other instances, so all know it within twice that time.
const rolloutReportInterval = 250 * time.Millisecond

// reportRollouts reports what was counted for orders in progress until ctx ends.
func (x *Exchange) reportRollouts(ctx context.Context) {
	if x.Rollouts != nil {
		pause.Every(ctx, rolloutReportInterval, x.TellRollouts)
	}
}

// TellRollouts reports what was counted for orders in progress: in a full mesh to all others,
// otherwise to the aggregators of the data centre. An aggregator sends its summaries to the
// instances of its data centre and to the aggregators of the others.
func (x *Exchange) TellRollouts() {
	reports := x.Rollouts.Reports()
	if len(reports) == 0 {
		return
	}
	r := x.roster()
	switch {
	case r.fullMesh():
		x.sendRollouts(false, reports, r, true)
	case r.isAggregator():
		x.sendRollouts(true, x.Rollouts.Summaries(), r, true)
	default:
		x.sendRollouts(false, reports, r, false)
	}
}

// TellDecision sends the decisions of this instance to all others at once.
func (x *Exchange) TellDecision() {
	x.TellRollouts()
	r := x.roster()
	if r.fullMesh() || r.isAggregator() {
		return
	}
	decided := x.Rollouts.Reports()
	for i := range decided {
		decided[i].Tally = nil // the decision only, as the report of an instance that has counted nothing
	}
	x.send(x.rolloutsDatagram(false, decided), r.allAddresses(false)...)
}

func (x *Exchange) sendRollouts(aggregated bool, reports []rollout.Report, r *roster, broadcast bool) {
	d := x.rolloutsDatagram(aggregated, reports)
	switch {
	case !broadcast:
		x.send(d, r.addressesOf(r.aggregators[x.Self.DataCentre]...)...)
	case !aggregated:
		x.send(d, r.allAddresses(false)...)
	default:
		to := r.addressesIn(x.Self.DataCentre)
		for dc, ids := range r.aggregators {
			if dc != x.Self.DataCentre {
				to = append(to, r.addressesOf(ids...)...)
			}
		}
		x.send(d, to...)
	}
}

func (x *Exchange) rolloutsDatagram(aggregated bool, reports []rollout.Report) *peerv1.Datagram {
	return &peerv1.Datagram{Body: &peerv1.Datagram_Rollouts{Rollouts: &peerv1.Rollouts{
		Instance: x.Self.ID, DataCentre: x.Self.DataCentre, Process: x.process, Sum: aggregated, Reports: rollouts.EncodeReports(reports),
	}}}
}

// receiveRollouts takes the reports of another instance. The aggregator of this data centre passes
// on the summaries of other data centres to the instances of its own.
func (x *Exchange) receiveRollouts(d *peerv1.Rollouts, raw []byte) {
	if d.Instance == "" || d.DataCentre == "" || d.Instance == x.Self.ID || x.Rollouts == nil {
		return
	}
	from := rollout.Source{Name: d.Instance, DataCentre: d.DataCentre, Process: d.Process, IsSummary: d.Sum}
	x.Rollouts.Apply(from, rollouts.DecodeReports(d.Reports))
	if r := x.roster(); d.Sum && d.DataCentre != x.Self.DataCentre && r.isAggregator() {
		x.sendRaw(raw, r.addressesIn(x.Self.DataCentre)...)
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
