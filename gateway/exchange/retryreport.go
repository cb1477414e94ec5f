package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/gateway/pause"
)

const (
	// retryConfirmTimeout is how long another instance may take to confirm a retry before this one no longer shares the
	// bound with it. It covers a lost datagram and a wait for the processor.
	retryConfirmTimeout = 300 * time.Millisecond
	// retryReportInterval is the time between two reports to an instance that has not confirmed all retries, and
	// slowRetryReportInterval the same after the timeout.
	retryReportInterval     = 80 * time.Millisecond
	slowRetryReportInterval = 500 * time.Millisecond
	// retryRelayAfter is how long an instance may take to confirm a retry before it is also asked through others, and
	// retryRelays how many others are asked at once.
	retryRelayAfter = 2 * retryReportInterval
	retryRelays     = 2
	// maxUnconfirmedReports is how many of the last reports and announcements can be confirmed.
	maxUnconfirmedReports = 256
)

// retryReports is what this instance knows of who knows its retries, in a full mesh. It is safe for concurrent use.
type retryReports struct {
	mu    sync.Mutex
	group *limits.RetryGroup
	// aliveVersion is the version of the roster whose instances group holds.
	aliveVersion uint64
	// sent holds the last reports and announcements, at the remainder of their sequence numbers.
	sent [maxUnconfirmedReports]sentCounts
	// taken holds the last counts taken of each instance.
	taken map[string]takenCounts
	// reportedAt is when reports were last sent to instances that had not confirmed all retries.
	reportedAt map[string]time.Duration
	// announced is the name of the group that was announced last, and sharing the number of instances in it.
	announced uint64
	sharing   int
	wake      chan struct{}
}

// sentCounts is when the counts of a report or an announcement were read.
type sentCounts struct {
	sequence uint64
	at       time.Duration
}

// takenCounts identifies the report or announcement of a process that was taken last.
type takenCounts struct{ process, sequence uint64 }

func newRetryReports(self string) *retryReports {
	return &retryReports{
		group: limits.NewRetryGroup(self, retryConfirmTimeout), taken: map[string]takenCounts{}, reportedAt: map[string]time.Duration{}, wake: make(chan struct{}, 1),
	}
}

// countUses returns what this instance has counted, by service, and the sequence number of the report or announcement that
// tells it. A later number never comes with earlier counts.
func (x *Exchange) countUses() (counts map[string]limits.RetryCounts, sequence uint64) {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	at := x.Clock()
	counts = x.ServiceCounts()
	x.sequence++
	x.reports.mu.Lock()
	defer x.reports.mu.Unlock()
	x.reports.sent[x.sequence%maxUnconfirmedReports] = sentCounts{x.sequence, at}
	return counts, x.sequence
}

// takeCounts records that the counts of a report or announcement are taken. It returns false if later ones of the process
// were taken before.
func (r *retryReports) takeCounts(instance string, c takenCounts) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.taken[instance]
	if last.process == c.process && last.sequence >= c.sequence {
		return false
	}
	r.taken[instance] = c
	return true
}

// withGroup calls do with the group of the instances that are alive, under mu.
func (x *Exchange) withGroup(do func(g *limits.RetryGroup, now time.Duration)) {
	roster := x.roster()
	r := x.reports
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.aliveVersion != roster.version {
		r.aliveVersion = roster.version
		ids := make([]string, len(roster.alive))
		for i := range roster.alive {
			ids[i] = roster.alive[i].ID
		}
		r.group.SetAlive(x.Clock(), ids)
	}
	do(r.group, x.Clock())
}

// Repeated makes the others learn soon that a request was sent again, and confirm it. What they have not learned when this
// instance is killed, they never count.
func (x *Exchange) Repeated() {
	if x.roster().fullMesh() {
		x.withGroup((*limits.RetryGroup).Retried)
		signal(x.reports.wake)
	}
	x.signalChange()
}

// RetryCoverage returns with which instances this one shares the bound on retries.
func (x *Exchange) RetryCoverage() limits.PeerCoverage {
	_, known := x.Instances()
	if !x.roster().fullMesh() {
		return x.digestCoverage(known)
	}
	var sharing map[string]bool
	x.withGroup(func(g *limits.RetryGroup, now time.Duration) { sharing = g.Sharing(now) })
	return limits.PeerCoverage{
		Reporting: len(sharing) + 1, Known: known,
		Sharing: func(instance string) bool { return instance == x.Self.ID || sharing[instance] },
	}
}

// groupName returns the name of the group that shares the bound on retries, and whether any of its members has not confirmed
// all retries of this instance.
func (x *Exchange) groupName() (name uint64, unconfirmed bool) {
	x.withGroup(func(g *limits.RetryGroup, now time.Duration) {
		name, unconfirmed = g.Name(now), len(g.Unconfirmed(now)) > 0
	})
	return name, unconfirmed
}

// nameGroup records which group another instance names, and asks all to confirm retries if it is not that of this one. An instance of
// an earlier build names none.
func (x *Exchange) nameGroup(instance string, name uint64) {
	if name == 0 {
		return
	}
	unconfirmed := false
	x.withGroup(func(g *limits.RetryGroup, now time.Duration) {
		g.Named(now, instance, name)
		unconfirmed = len(g.Unconfirmed(now)) > 0
	})
	if unconfirmed {
		signal(x.reports.wake)
	}
}

// reportRetries sends reports to the instances that have not confirmed all retries, until ctx ends.
func (x *Exchange) reportRetries(ctx context.Context) {
	for ctx.Err() == nil {
		if x.reportUnconfirmed() {
			pause.For(ctx, retryReportInterval)
			continue
		}
		select {
		case <-x.reports.wake:
			pause.For(ctx, retryReportInterval) // they confirm the announcement meanwhile
		case <-ctx.Done():
		}
	}
}

// reportUnconfirmed sends the reports that are due. It returns false if all retries are confirmed, or need not be.
func (x *Exchange) reportUnconfirmed() bool {
	roster := x.roster()
	if !roster.fullMesh() {
		return false
	}
	var unconfirmed, due []limits.Unconfirmed
	sharing, changed := 0, false
	x.withGroup(func(g *limits.RetryGroup, now time.Duration) {
		unconfirmed, sharing = g.Unconfirmed(now), len(g.Sharing(now))+1
		due = x.reports.takeDue(unconfirmed, now)
		name := g.Name(now)
		changed = name != x.reports.announced
		x.reports.announced = name
	})
	if changed {
		x.signalChange()
	}
	x.logSharing(sharing, len(unconfirmed))
	ids := make([]string, len(due))
	for i := range due {
		ids[i] = due[i].Instance
	}
	x.sendRetryReport(&peerv1.RetryReport{Confirm: true}, roster.addressesOf(ids...)...)
	for _, u := range due {
		if u.Relayed || u.For >= retryRelayAfter {
			x.sendRetryReport(&peerv1.RetryReport{Confirm: true, To: u.Instance}, roster.addressesOf(x.relaysTo(u.Instance, unconfirmed)...)...)
		}
	}
	return len(unconfirmed) > 0
}

// takeDue returns the instances that are to be sent a report now. The caller holds mu.
func (r *retryReports) takeDue(unconfirmed []limits.Unconfirmed, now time.Duration) (due []limits.Unconfirmed) {
	for _, u := range unconfirmed {
		if u.For < retryConfirmTimeout || now-r.reportedAt[u.Instance] >= slowRetryReportInterval {
			due = append(due, u)
			r.reportedAt[u.Instance] = now
		}
	}
	return due
}

// relaysTo returns instances that may pass a report on to another one: of those that have confirmed all retries, random ones.
func (x *Exchange) relaysTo(instance string, unconfirmed []limits.Unconfirmed) []string {
	var out []string
	others := x.roster().alive
	for _, i := range rand.Perm(len(others)) {
		id := others[i].ID
		isUnconfirmed := slices.ContainsFunc(unconfirmed, func(u limits.Unconfirmed) bool { return u.Instance == id && !u.Relayed })
		if id != instance && !isUnconfirmed && len(out) < retryRelays {
			out = append(out, id)
		}
	}
	return out
}

// logSharing logs when the number of instances that share the bound on retries has changed.
func (x *Exchange) logSharing(sharing, unconfirmed int) {
	x.reports.mu.Lock()
	changed := sharing != x.reports.sharing
	x.reports.sharing = sharing
	x.reports.mu.Unlock()
	if !changed {
		return
	}
	alive, known := x.Instances()
	x.metrics.sharingRetries.Update(float64(sharing))
	x.Log.WithFields(logrus.Fields{"sharing": sharing, "alive": alive, "known": known, "unconfirmed": unconfirmed}).Info("instances that share the bound on retries")
}

// sendRetryReport completes a report with the counts of this instance and sends it.
func (x *Exchange) sendRetryReport(report *peerv1.RetryReport, to ...net.Addr) {
	if len(to) == 0 {
		return
	}
	counts, sequence := x.countUses()
	report.Instance, report.Process, report.Sequence, report.Uses = x.Self.ID, x.process, sequence, encodeCounts(counts)
	report.RetryGroup, _ = x.groupName()
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_RetryReport{RetryReport: report}}, to...)
}

// receiveRetryReport takes the counts of another instance and its confirmation, and confirms the counts if that is asked for. A report for
// a third instance is passed on.
func (x *Exchange) receiveRetryReport(r *peerv1.RetryReport, raw []byte, from net.Addr) {
	if r.Instance == "" {
		x.metrics.malformed.Inc(1)
		return
	}
	if r.To != "" && r.To != x.Self.ID {
		x.sendRaw(raw, x.roster().addressesOf(r.To)...)
		return
	}
	if r.Instance == x.Self.ID || !x.roster().fullMesh() {
		return
	}
	if x.reports.takeCounts(r.Instance, takenCounts{r.Process, r.Sequence}) {
		x.Endpoints.SetPeerCounts(r.Instance, decodeCounts(r.Uses, r.Process))
		x.nameGroup(r.Instance, r.RetryGroup)
	}
	if r.ConfirmedProcess == x.process {
		x.confirmedBy(r.Instance, r.ConfirmedSequence, r.To != "")
	}
	if r.Confirm {
		x.confirmCounts(r.Instance, r.To != "", from)
	}
}

// confirmCounts confirms the last counts of another instance, by the way on which they came.
func (x *Exchange) confirmCounts(instance string, relayed bool, from net.Addr) {
	x.reports.mu.Lock()
	last := x.reports.taken[instance]
	x.reports.mu.Unlock()
	report := &peerv1.RetryReport{ConfirmedProcess: last.process, ConfirmedSequence: last.sequence}
	if relayed {
		report.To = instance
	}
	x.sendRetryReport(report, from)
}

// confirmedBy takes the confirmation of a report or an announcement of this process.
func (x *Exchange) confirmedBy(instance string, sequence uint64, relayed bool) {
	x.withGroup(func(g *limits.RetryGroup, _ time.Duration) {
		if s := &x.reports.sent[sequence%maxUnconfirmedReports]; s.sequence == sequence {
			g.Confirmed(instance, s.at, relayed)
		}
	})
}
