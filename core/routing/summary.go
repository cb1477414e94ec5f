package routing

import (
	"time"

	"github.com/agateway/agateway/core/health"
)

// Summary is what the owner of an endpoint knows of it from all instances except the one that asks.
//
// In a large fleet an instance does not receive all placements of the others. Each endpoint
// therefore has a few owners, to which all instances report what they place there. Before it picks,
// an instance asks the owners of its candidates.
type Summary struct {
	Endpoint string
	Placed   Placed
	// SuspectedBy is how many instances it recently failed.
	SuspectedBy int
	Outcomes    health.Counts
	// Pace is how many times as long as usual it takes; 0 if it is not slow.
	Pace float64
	// Slack is the shortest slack of the streams there, if SlackKnown.
	Slack      time.Duration
	SlackKnown bool
	// Speed is the time per prompt token that they observed.
	Speed health.SpeedEstimate
	// Ended reports that it was replaced at its address.
	Ended bool
	// Prefilled reports that it has prefilled the prompt that was asked for.
	Prefilled bool
}

// summaryTTL is how long a summary is used. Each pick asks again, so this only matters for picks
// whose questions were not answered; a stream keeps its placement for some seconds.
const summaryTTL = 2 * time.Second

// receivedSummary is the last summary of an endpoint, with the time of its arrival.
type receivedSummary struct {
	Summary
	receivedAt time.Time
	// prefilledBefore is the node's count of prefilled tokens at that time.
	prefilledBefore int64
}

func (t *receivedSummary) fresh(now time.Time) bool {
	return !t.receivedAt.IsZero() && now.Sub(t.receivedAt) < summaryTTL
}

// SetOwned sets for which endpoints this instance receives all placements of other instances. The
// default is all of them.
func (v *View) SetOwned(owned func(id string) bool) {
	v.owned = owned
	v.ownedVersion++
}

// Owned reports whether this instance receives all placements of other instances at an endpoint.
func (v *View) Owned(id string) bool { return v.owned == nil || v.owned(id) }

// isOwned returns the result of [View.Owned] for the node. To find the owners of an endpoint takes
// a hash for each instance, so the result is only computed when it is needed, and kept until the
// instances change.
func (n *node) isOwned() bool {
	if n.ownedVersion != n.view.ownedVersion || n.ownedVersion == 0 {
		n.owned, n.ownedVersion = n.view.Owned(n.ID), n.view.ownedVersion
	}
	return n.owned
}

// Summary returns what this instance knows of an endpoint that it owns, without the part of the
// instance that asks; false if the endpoint is not listed. prompt is the hash of the prompt asked
// about; 0 for none.
func (v *View) Summary(now time.Time, id, asking string, prompt uint64) (Summary, bool) {
	n := v.nodes[id]
	if n == nil {
		return Summary{}, false
	}
	askingReport := v.peerReports[asking]
	s := Summary{Endpoint: id, Placed: n.peerPlaced, SuspectedBy: n.suspectedBy, Pace: n.peerPace, Ended: n.ended, Prefilled: prompt != 0 && v.endpointHolds(now, id, prompt)}
	own := n.own
	own.Open = n.open
	s.Placed.add(own)
	s.Placed.subtract(askingReport.Placed[id])
	s.Placed.add(n.claimedExcept(now, asking))
	for _, suspect := range askingReport.Suspects {
		if suspect == id {
			s.SuspectedBy--
		}
	}
	if n.trust.Suspected(now) {
		s.SuspectedBy++
	}
	s.Outcomes = n.counts(now).Sub(askingReport.Outcomes[id])
	if f := n.pace.Factor(now); f >= slowFactor {
		s.Pace = max(s.Pace, f)
	}
	if v.settings.Deadlines {
		slack := n.slackExcept(now, asking, n.prefillPace(now))
		s.Slack, s.SlackKnown = max(slack.slack, 0), slack.known
	}
	s.Speed = n.speedFor(now, askingReport.Speeds[id])
	return s, true
}

// ApplySummary records an owner's summary of an endpoint. prompt is the hash of the prompt that was
// asked about.
func (v *View) ApplySummary(now time.Time, s *Summary, prompt uint64) {
	n := v.observe(s.Endpoint)
	if n == nil {
		return
	}
	last := n.ownerSummary.Speed
	n.ownerSummary = receivedSummary{*s, now, n.prefilled}
	n.ownerSummary.Speed = v.applySpeed(now, n, last, s.Speed)
	n.ended = n.ended || s.Ended
	if s.Prefilled {
		v.CacheStored(now, s.Endpoint, prompt)
	}
}

// freshSummary returns the last summary from an owner; nil if this instance owns the endpoint
// itself, or if the summary has expired.
func (n *node) freshSummary(now time.Time) *Summary {
	if !n.ownerSummary.fresh(now) || n.isOwned() {
		return nil
	}
	return &n.ownerSummary.Summary
}

// othersPlaced returns what other instances are believed to have placed at an endpoint.
func (n *node) othersPlaced(now time.Time) Placed {
	if s := n.freshSummary(now); s != nil {
		return s.Placed
	}
	sum := n.peerPlaced
	sum.add(n.claimedExcept(now, ""))
	return sum
}

// suspectedByOthers returns how many other instances an endpoint recently failed.
func (n *node) suspectedByOthers(now time.Time) int {
	if s := n.freshSummary(now); s != nil {
		return max(n.suspectedBy, s.SuspectedBy)
	}
	return n.suspectedBy
}

// placedKnownTTL is how long a summary is recent enough to tell whether there is room; a request
// that waits asks again within that time.
const placedKnownTTL = 300 * time.Millisecond

// othersPlacedKnown reports whether the placements of other instances at an endpoint are known.
func (n *node) othersPlacedKnown(now time.Time) bool {
	return !n.ownerSummary.receivedAt.IsZero() && now.Sub(n.ownerSummary.receivedAt) < placedKnownTTL || n.isOwned()
}
