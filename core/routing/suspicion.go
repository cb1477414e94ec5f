package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/agateway/agateway/core/health"
)

// Failed records that an endpoint failed a request. The endpoint is suspected, and so excluded, for
// a while.
func (v *View) Failed(now time.Time, id string) {
	n := v.observe(id)
	if n == nil {
		return
	}
	n.openAtFailure, n.failedAt = n.open, now
	n.silence.ejected = false
	n.trust.Failed(now, health.BreakerSettings{MinPause: v.settings.BaseSuspicion, MaxPause: v.settings.MaxSuspicion})
	v.degraded.stale = true
}

// refusedBackoff is how long an endpoint that refused a request gets no new one. Requests take from
// 60 ms to some seconds, so a slot is soon free again. Without the backoff, a request with no other
// choice tries the same full endpoints 150 times a second, and each try counts as one more arrival.
const refusedBackoff = 200 * time.Millisecond

// Refused records that an endpoint had no room for a request.
func (v *View) Refused(now time.Time, id string) {
	if n := v.observe(id); n != nil {
		n.fullUntil = now.Add(refusedBackoff)
	}
}

// Succeeded clears the suspicion of an endpoint.
func (v *View) Succeeded(id string) {
	if n := v.observe(id); n != nil {
		n.trust.Succeeded()
		n.silence.ejected, n.lastAnswerLost = false, false
		v.degraded.stale = true
	}
}

// Suspected reports whether an endpoint is excluded because of failures that this instance saw.
func (v *View) Suspected(now time.Time, id string) bool {
	n := v.nodes[id]
	return n != nil && n.trust.Suspected(now)
}

// degradedGroups caches which data centres are degraded for a service: many of its endpoints there
// fail at once, so the others there are likely to be lost as well. Otherwise a stream whose engine
// died with its data centre would try one dead engine after the other.
type degradedGroups struct {
	stale      bool // a suspicion has changed since computedAt
	computedAt time.Time
	degraded   map[groupKey]bool
	// down are the groups of which at least downShare fails.
	down map[groupKey]bool
}

// degradedTTL is how long the result is kept if no suspicion changes; suspicions also end by time.
const degradedTTL = 100 * time.Millisecond

// minDegradedEndpoints is how many endpoints have to fail before their data centre counts as
// degraded.
const minDegradedEndpoints = 2

// inDegradedDataCentre reports whether the data centre of an endpoint is degraded for its service.
func (v *View) inDegradedDataCentre(now time.Time, n *node) bool {
	d := &v.degraded
	if d.stale || d.degraded == nil || now.Sub(d.computedAt) > degradedTTL {
		d.degraded, d.down = v.findDegradedGroups(now)
		d.stale, d.computedAt = false, now
	}
	return d.degraded[groupKey{n.Service, n.DataCentre}]
}

// downShare is the share of a service's endpoints in a degraded data centre that has to fail at
// once before the others there are presumed down too.
const downShare = 0.5

// presumedDown reports whether an endpoint is likely to be down though it has not failed this
// instance: it failed several others, or at least half of its service's endpoints in its data
// centre fail. Endpoints that are down hold nothing, so under load they alone would seem to have
// room.
func (v *View) presumedDown(now time.Time, n *node) bool {
	return n.suspectedByOthers(now) > maxSuspectingPeers || v.inDegradedDataCentre(now, n) && v.degraded.down[groupKey{n.Service, n.DataCentre}]
}

func (v *View) findDegradedGroups(now time.Time) (degraded, down map[groupKey]bool) {
	degraded, down = map[groupKey]bool{}, map[groupKey]bool{}
	failing := map[groupKey]int{}
	for _, n := range v.observed {
		if n.DataCentre != "" && (n.trust.Suspected(now) || n.suspectedByOthers(now) > 0) {
			failing[groupKey{n.Service, n.DataCentre}]++
		}
	}
	for key, count := range failing {
		size := float64(len(v.groups[key]))
		if count >= minDegradedEndpoints && float64(count) >= v.settings.DegradedShare*size {
			degraded[key] = true
			down[key] = float64(count) >= downShare*size
		}
	}
	return degraded, down
}

// notePeerSuspects sets the failure time of the endpoints that another instance suspects and did
// not suspect in its former report.
func (v *View) notePeerSuspects(now time.Time, old, t *PeerReport) {
	for _, id := range t.Suspects {
		if n := v.observe(id); n != nil && !slices.Contains(old.Suspects, id) {
			n.failedAt = now
		}
	}
}

// FailuresInDataCentre returns how many endpoints of all services are in the data centre of an
// endpoint, and how many of them last failed this instance or another one between from and to, both
// included. Both are 0 if the endpoint is not listed.
func (v *View) FailuresInDataCentre(id string, from, to time.Time) (failed, all int) {
	target := v.nodes[id]
	if target == nil {
		return 0, 0
	}
	failed = v.countFailures(from, to, func(n *node) bool { return n.DataCentre == target.DataCentre })
	return failed, v.dataCentreSizes[target.DataCentre]
}

// FailuresInService returns the same of the endpoints of an endpoint's service in all data centres.
func (v *View) FailuresInService(id string, from, to time.Time) (failed, all int) {
	target := v.nodes[id]
	if target == nil {
		return 0, 0
	}
	failed = v.countFailures(from, to, func(n *node) bool { return n.Service == target.Service })
	return failed, len(v.groups[groupKey{target.Service, ""}])
}

// countFailures returns how many endpoints that satisfy the predicate last failed between from and to.
func (v *View) countFailures(from, to time.Time, fits func(*node) bool) int {
	failed := 0
	for _, n := range v.observed {
		if !n.failedAt.IsZero() && !n.failedAt.Before(from) && !n.failedAt.After(to) && fits(n) {
			failed++
		}
	}
	return failed
}

// Suspects returns the IDs of the endpoints that this instance suspects, those with the longest
// remaining suspicion first: other instances are told of some of them only.
func (v *View) Suspects(now time.Time) []string {
	var out []string
	for id, n := range v.observed {
		if n.trust.Suspected(now) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := v.nodes[out[i]], v.nodes[out[j]]
		if !a.trust.Until().Equal(b.trust.Until()) {
			return a.trust.Until().After(b.trust.Until())
		}
		return a.ID < b.ID
	})
	return out
}

// ForgetFailures drops the suspicions of all endpoints that failed this instance since a time, as the
// failures were not theirs.
func (v *View) ForgetFailures(since time.Time) {
	for _, n := range v.observed {
		if !n.failedAt.Before(since) || n.lastAnswerLost {
			n.trust.Reset()
			n.silence.ejected, n.lastAnswerLost, n.fullUntil = false, false, time.Time{}
		}
	}
	v.degraded.stale = true
}

// maxSuspectingPeers is how many other instances may suspect an endpoint that is still presumed to
// hold what it held: a single one may have a bad link to it.
const maxSuspectingPeers = 1

// Usable reports whether an endpoint is listed, is not leaving, and is suspected neither by this
// instance nor by several others.
func (v *View) Usable(now time.Time, id string) bool {
	n := v.nodes[id]
	return n != nil && n.takesWork(now) && n.suspectedByOthers(now) <= maxSuspectingPeers
}

// Ended records that this incarnation of an endpoint is gone although it is still listed: its
// address answered for another one.
func (v *View) Ended(now time.Time, id string) {
	if n := v.observe(id); n != nil {
		n.ended = true
		v.endedAt[id] = now
	}
}

// endedAnnouncedFor is how long other instances are told of an endpoint that ended. Some
// announcements may be lost, and in a large fleet each one goes only to a part of the other
// instances.
const endedAnnouncedFor = 5 * time.Second

// RecentlyEnded returns the IDs of the endpoints that this instance recently found to have ended,
// sorted. The other instances are told, so that they need not each send a request to find out.
// While the store is unavailable, the list names engines that have been replaced at the same
// address, and each such try counts against the retries that all instances share.
func (v *View) RecentlyEnded(now time.Time) []string {
	var out []string
	for id, at := range v.endedAt {
		if now.Sub(at) >= endedAnnouncedFor {
			delete(v.endedAt, id)
			continue
		}
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}
