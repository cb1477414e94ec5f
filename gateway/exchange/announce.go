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

// Intervals of announcements. On a small deployment a stream is placed about every 100 ms. What is
// announced within minAnnouncementGap of a change reaches the others before most of their own choices.
const (
	// minAnnouncementInterval is the time between two announcements without changes, in a fleet of
	// up to smallFleetSize instances. Larger full meshes announce less often, at least every
	// maxAnnouncementInterval: what all instances receive together grows with the square of their
	// number.
	minAnnouncementInterval = 400 * time.Millisecond
	maxAnnouncementInterval = time.Second
	smallFleetSize          = 12
	// minAnnouncementGap is the least time between two announcements.
	minAnnouncementGap = 60 * time.Millisecond
	// maxAnnouncementRate is how many bytes an instance of a full mesh announces in a second at the most, a
	// sixth of a link of 10 Mbit/s. Under overload each instance changes all the time.
	maxAnnouncementRate = 200_000
	// digestInterval is the time between two announcements to the aggregators, and between two
	// digests. What is aggregated is passed on twice, so it is at most three times as old, 1.5 s.
	digestInterval = 500 * time.Millisecond
	// ownersInterval is the time between two announcements to the owners of endpoints, besides
	// those at a change. They make up for datagrams that were lost.
	ownersInterval = 2 * time.Second
	// announcementTTL is how long an announcement counts without a later one. It bounds the effect
	// of a lost announcement, such as one that reported the end of a request.
	announcementTTL = 5 * time.Second
)

// announcementInterval returns the time between two announcements in a full mesh.
func announcementInterval(instances int) time.Duration {
	if instances <= smallFleetSize {
		return minAnnouncementInterval
	}
	return min(time.Duration(float64(minAnnouncementInterval)*math.Sqrt(float64(instances)/smallFleetSize)), maxAnnouncementInterval)
}

// receivedAnnouncement is the last announcement of another instance.
type receivedAnnouncement struct {
	process, sequence uint64
	receivedAt        time.Duration
	report            routing.PeerReport
	counts            map[string]limits.RetryCounts
}

// announceDue sends the announcements and the digest that are due. It returns the time until the
// next ones, if nothing changes before.
func (x *Exchange) announceDue() time.Duration {
	x.expireAnnouncements()
	r := x.roster()
	if r.fullMesh() {
		x.announce(r.allAddresses(false))
		return announcementInterval(len(r.alive) + 1)
	}
	x.announceRounds++
	report := x.Endpoints.OwnReport()
	var owners []string
	if x.announceRounds%int(ownersInterval/digestInterval) == 0 {
		owners = x.otherOwners(r, maps.Keys(report.Endpoints()))
	}
	x.announceTo(r, &report, owners, true)
	if r.isAggregator() {
		x.sendDigest(r)
	}
	return digestInterval
}

// awaitNextAnnouncement returns when the next announcement is due. Until then it announces changes
// to the instances that they concern.
func (x *Exchange) awaitNextAnnouncement(ctx context.Context, next time.Duration) {
	timer := time.NewTimer(next)
	defer timer.Stop()
	for {
		if !pause.For(ctx, x.announcementGap()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-x.changeSignal:
			x.broadcastIfChanged()
			x.announceChanges()
		}
	}
}

// announcementGap returns the time until the next announcement of a change, after the last announcement.
func (x *Exchange) announcementGap() time.Duration {
	gap := time.Duration(x.lastAnnounced) * time.Second / maxAnnouncementRate
	return min(max(gap, minAnnouncementGap), maxAnnouncementInterval)
}

// announceChanges tells the owners of endpoints at which something changed, or all others in a full
// mesh. The aggregators are told as well when this instance has sent requests again since the last
// call. An aggregator passes the sums on when they have grown much.
func (x *Exchange) announceChanges() {
	x.sendMu.Lock()
	changed := x.changedEndpoints
	x.changedEndpoints = map[string]bool{}
	x.sendMu.Unlock()
	r := x.roster()
	if r.fullMesh() {
		x.announce(r.allAddresses(false))
		return
	}
	report := x.Endpoints.OwnReport()
	retries := limits.TotalRetries(x.ServiceCounts())
	x.announceTo(r, &report, x.otherOwners(r, maps.Keys(changed)), retries > x.announcedRetries.Swap(retries))
	if r.isAggregator() {
		x.sendRetriesDigest(r)
	}
}

// otherOwners returns the other instances that own any of some endpoints.
func (x *Exchange) otherOwners(r *roster, endpoints func(yield func(string) bool)) []string {
	ids := map[string]bool{}
	for endpoint := range endpoints {
		for _, id := range r.owners(endpoint) {
			ids[id] = true
		}
	}
	delete(ids, x.Self.ID)
	return slices.Collect(maps.Keys(ids))
}

// announceTo tells owners what this instance has placed at their endpoints and found out about
// them. With toAggregators set, it also tells the aggregators of its data centre what it found out
// about all endpoints. Each instance is sent only what concerns it: an instance of a busy fleet has
// placed more than fits into a datagram.
func (x *Exchange) announceTo(r *roster, report *routing.PeerReport, owners []string, toAggregators bool) {
	aggregators := r.aggregators[x.Self.DataCentre]
	to := owners
	if toAggregators {
		to = slices.Concat(owners, aggregators)
		slices.Sort(to)
		to = slices.Compact(to)
	}
	ownersByEndpoint := map[string][]string{} // computed once, since owners ranks the whole fleet
	for endpoint := range report.Endpoints() {
		ownersByEndpoint[endpoint] = r.ownerIDs(endpoint)
	}
	for _, id := range to {
		if id != x.Self.ID {
			x.sendAnnouncement(reportFor(id, report, ownersByEndpoint, slices.Contains(aggregators, id)), false, r.addressesOf(id))
		}
	}
}

// reportFor returns the part of a report that concerns an instance: the endpoints that it owns, and
// for an aggregator also what was found out about the others.
func reportFor(id string, report *routing.PeerReport, ownersByEndpoint map[string][]string, aggregator bool) routing.PeerReport {
	owned := report.Filter(func(endpoint string) bool { return slices.Contains(ownersByEndpoint[endpoint], id) })
	if !aggregator {
		return owned
	}
	all := *report
	all.Placed, all.Prefilled, all.Speeds = owned.Placed, owned.Prefilled, owned.Speeds
	return all
}

// announce sends the whole report of this instance to some addresses.
func (x *Exchange) announce(to []net.Addr) {
	x.lastAnnounced = 0
	if len(to) > 0 {
		x.lastAnnounced = x.sendAnnouncement(x.Endpoints.OwnReport(), true, to)
	}
}

// sendAnnouncement returns the number of bytes sent. The receivers of an announcement to all confirm its counts if some
// have not confirmed all retries.
func (x *Exchange) sendAnnouncement(report routing.PeerReport, toAll bool, to []net.Addr) int {
	counts, sequence := x.countUses()
	a := encodeAnnouncement(report, counts, time.Now())
	a.Instance, a.Process, a.Sequence = x.Self.ID, x.process, sequence
	if toAll {
		a.RetryGroup, a.Confirm = x.groupName()
	}
	raw := x.marshal(&peerv1.Datagram{Body: &peerv1.Datagram_Announcement{Announcement: a}})
	if raw != nil {
		x.sendRaw(raw, to...)
	}
	return len(raw) * len(to)
}

// receiveAnnouncement takes an announcement of another instance.
func (x *Exchange) receiveAnnouncement(a *peerv1.Announcement, from net.Addr) {
	if a.Instance == "" {
		x.metrics.malformed.Inc(1)
		return
	}
	report, counts := decodeAnnouncement(a, time.Now())
	h := &receivedAnnouncement{process: a.Process, sequence: a.Sequence, receivedAt: x.Clock(), report: report, counts: counts}
	if a.Instance == x.Self.ID || !x.recordAnnouncement(a.Instance, h) {
		return
	}
	r := x.roster()
	if r.fullMesh() {
		x.receiveInMesh(a, h, from)
		return
	}
	// The counts, and what was found out about endpoints of other owners, come with the digests.
	x.Endpoints.SetPeerReport(a.Instance, report.Filter(r.owns), nil)
	if r.isAggregator() && x.hasUrgentRetries() {
		x.signalChange()
	}
}

// receiveInMesh takes an announcement in a full mesh, and confirms its counts if that is asked for.
func (x *Exchange) receiveInMesh(a *peerv1.Announcement, h *receivedAnnouncement, from net.Addr) {
	counts := h.counts
	latest := x.reports.takeCounts(a.Instance, takenCounts{a.Process, a.Sequence})
	if !latest {
		counts = map[string]limits.RetryCounts{} // a report with later ones has overtaken the announcement
	}
	x.Endpoints.SetPeerReport(a.Instance, h.report, counts)
	if latest {
		x.nameGroup(a.Instance, a.RetryGroup)
	}
	if a.Confirm {
		x.confirmCounts(a.Instance, false, from)
	}
}

// recordAnnouncement keeps an announcement. It returns false for one that arrives after a later one
// of the same process.
func (x *Exchange) recordAnnouncement(instance string, h *receivedAnnouncement) bool {
	x.announcementsMu.Lock()
	defer x.announcementsMu.Unlock()
	old := x.announcements[instance]
	if old != nil && old.process == h.process && h.sequence <= old.sequence {
		return false
	}
	x.aggregate.add(h.receivedAt, x.RetryWindow, instance, h.counts)
	x.announcements[instance] = h
	return true
}

// expireAnnouncements drops what instances announced that have announced nothing since, and the
// expired digests.
func (x *Exchange) expireAnnouncements() {
	now := x.Clock()
	x.announcementsMu.Lock()
	var expired []string
	for id, h := range x.announcements {
		if now-h.receivedAt >= announcementTTL {
			expired = append(expired, id)
		}
	}
	x.announcementsMu.Unlock()
	for _, id := range expired {
		x.dropAnnouncement(id)
	}
	x.expireDigests(now)
}
