package exchange

import (
	"context"
	"maps"
	"math"
	"net"
	"slices"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/pause"
)

// Pace of announcements. A stream is placed every tenth of a second or so on a small deployment, so what is told within
// changeGap of a change reaches the others before most of their own choices.
const (
	// every is the time between two announcements in calm times, of a fleet of up to smallFleet instances. Larger ones in
	// which all are told all announce less often, up to everyMost: what all receive grows with the square of their
	// number.
	every      = 400 * time.Millisecond
	everyMost  = time.Second
	smallFleet = 12
	// changeGap is the least time between two announcements.
	changeGap = 60 * time.Millisecond
	// sumEvery is the time between two announcements to those that sum up, and between two digests. What is summed up is
	// told on twice, so it is three times as old at the most, 1.5 s.
	sumEvery = 500 * time.Millisecond
	// ownersEvery is the time between two announcements to the owners of endpoints, besides those at a change: it makes
	// good datagrams that were lost.
	ownersEvery = 2 * time.Second
	// forgottenAfter is how long an announcement counts that is not followed by another one. One that told of the end of
	// a request may have been lost.
	forgottenAfter = 5 * time.Second
)

// pace returns the time between two announcements in a fleet in which all are told all.
func pace(instances int) time.Duration {
	if instances <= smallFleet {
		return every
	}
	return min(time.Duration(float64(every)*math.Sqrt(float64(instances)/smallFleet)), everyMost)
}

// heard is the last announcement of another instance.
type heard struct {
	process, sequence uint64
	at                time.Duration
	told              routing.PeerReport
	uses              map[string]limits.RetryCounts
}

// step announces what is due, and returns when the next announcement is, if nothing changes before.
func (x *Exchange) step() time.Duration {
	x.expire()
	r := x.roster()
	if r.direct() {
		x.announce(r.everybody(false))
		return pace(len(r.alive) + 1)
	}
	x.steps++
	told := x.Endpoints.Told()
	var owners []string
	if x.steps%int(ownersEvery/sumEvery) == 0 {
		owners = x.ownersOf(r, maps.Keys(told.Endpoints()))
	}
	x.announceTo(r, &told, owners, true)
	if r.sumsUp() {
		x.digest(r)
	}
	return sumEvery
}

// await returns when the next announcement is due, and announces changes before to those whom they concern.
func (x *Exchange) await(ctx context.Context, next time.Duration) {
	timer := time.NewTimer(next)
	defer timer.Stop()
	for {
		if !pause.For(ctx, changeGap) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-x.wake:
			x.say()
			x.announceChanges()
		}
	}
}

// announceChanges tells the owners of endpoints at which something changed, or all in a small fleet. Those that sum up are
// told when this instance has sent something once more, and tell the sums on.
func (x *Exchange) announceChanges() {
	x.sendMu.Lock()
	changed := x.changed
	x.changed = map[string]bool{}
	x.sendMu.Unlock()
	r := x.roster()
	if r.direct() {
		x.announce(r.everybody(false))
		return
	}
	told := x.Endpoints.Told()
	repeats := limits.TotalRetries(x.Uses())
	x.announceTo(r, &told, x.ownersOf(r, maps.Keys(changed)), repeats > x.toldRepeats.Swap(repeats))
	if r.sumsUp() {
		x.digestRepeats(r)
	}
}

// ownersOf returns the other instances that own any of some endpoints.
func (x *Exchange) ownersOf(r *roster, endpoints func(yield func(string) bool)) []string {
	ids := map[string]bool{}
	for endpoint := range endpoints {
		for _, id := range r.owners(endpoint) {
			ids[id] = true
		}
	}
	delete(ids, x.Self.ID)
	return slices.Collect(maps.Keys(ids))
}

// announceTo tells owners what this instance has placed at their endpoints and found out about them, and with summers set those
// that sum up for its data centre what it found out about all. Each is told only what concerns it: an instance of a busy fleet has placed
// more than fits into a datagram.
func (x *Exchange) announceTo(r *roster, told *routing.PeerReport, owners []string, summers bool) {
	sums := r.summers[x.Self.DataCentre]
	to := owners
	if summers {
		to = slices.Concat(owners, sums)
		slices.Sort(to)
		to = slices.Compact(to)
	}
	ownersOf := map[string][]string{} // ranks the whole fleet for each endpoint
	for endpoint := range told.Endpoints() {
		ownersOf[endpoint] = r.ownersOf(endpoint)
	}
	uses := x.Uses()
	for _, id := range to {
		if id != x.Self.ID {
			x.announceThis(partFor(id, told, ownersOf, slices.Contains(sums, id)), uses, r.to(id))
		}
	}
}

// partFor returns what concerns an instance.
func partFor(id string, told *routing.PeerReport, ownersOf map[string][]string, sumsUp bool) routing.PeerReport {
	owned := told.Filter(func(endpoint string) bool { return slices.Contains(ownersOf[endpoint], id) })
	if !sumsUp {
		return owned
	}
	all := *told
	all.Placed, all.Prefilled = owned.Placed, owned.Prefilled
	return all
}

// announce tells others all that this instance has placed and found out.
func (x *Exchange) announce(to []net.Addr) {
	if len(to) > 0 {
		x.announceThis(x.Endpoints.Told(), x.Uses(), to)
	}
}

func (x *Exchange) announceThis(told routing.PeerReport, uses map[string]limits.RetryCounts, to []net.Addr) {
	a := encode(told, uses)
	a.Instance, a.Process = x.Self.ID, x.process
	x.sendMu.Lock()
	x.sequence++
	a.Sequence = x.sequence
	x.sendMu.Unlock()
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Announcement{Announcement: a}}, to...)
}

// announced takes an announcement of another instance.
func (x *Exchange) announced(a *peerv1.Announcement) {
	if a.Instance == "" {
		x.metrics.malformed.Inc(1)
		return
	}
	told, uses := decode(a)
	h := &heard{process: a.Process, sequence: a.Sequence, at: x.Clock(), told: told, uses: uses}
	if a.Instance == x.Self.ID || !x.keep(a.Instance, h) {
		return
	}
	r := x.roster()
	if r.direct() {
		x.Endpoints.Heard(a.Instance, told, uses)
		return
	}
	// What endpoints of others have to do with this one comes with the digests.
	x.Endpoints.Heard(a.Instance, told.Filter(r.owned), nil)
	if r.sumsUp() && x.repeatsToTell() {
		x.wakeUp()
	}
}

// keep remembers an announcement; false when it was overtaken by a later one.
func (x *Exchange) keep(instance string, h *heard) bool {
	x.heardMu.Lock()
	defer x.heardMu.Unlock()
	old := x.heard[instance]
	if old != nil && old.process == h.process && h.sequence <= old.sequence {
		return false
	}
	x.sums.count(instance, old, h)
	x.heard[instance] = h
	return true
}

// expire forgets what instances told that have told nothing since.
func (x *Exchange) expire() {
	now := x.Clock()
	x.heardMu.Lock()
	var late []string
	for id, h := range x.heard {
		if now-h.at >= forgottenAfter {
			late = append(late, id)
		}
	}
	x.heardMu.Unlock()
	for _, id := range late {
		x.forget(id)
	}
	x.expireDigests(now)
}
