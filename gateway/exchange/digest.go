package exchange

import (
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// aggregate is what one instance aggregates for its data centre, and the last digest of each data
// centre.
type aggregate struct {
	sequence uint64
	// totals is what the instances of this data centre have counted since this one began to
	// aggregate, and ledgers what they have counted within the last window, both by service. ownRetries
	// is how many retries this instance itself had counted when it was last added to totals.
	totals     map[string]limits.RetryCounts
	ledgers    map[string]*limits.RetryLedger
	ownRetries uint64
	// announcedRetries is how many retries of totals the last digest held.
	announcedRetries uint64
	digests          map[string]*digest
}

// digest describes the last digest received of a data centre.
type digest struct {
	instance          string
	process, sequence uint64
	receivedAt        time.Duration
	// instances is how many instances had reported shortly before the last digest with reports.
	instances int
}

func newAggregate() aggregate {
	return aggregate{totals: map[string]limits.RetryCounts{}, ledgers: map[string]*limits.RetryLedger{}, digests: map[string]*digest{}}
}

// add adds what an instance has counted since it was last added.
func (s *aggregate) add(now, window time.Duration, instance string, counts map[string]limits.RetryCounts) {
	for service, c := range counts {
		l := s.ledgers[service]
		if l == nil {
			l = limits.NewRetryLedger(window)
			s.ledgers[service] = l
		}
		requests, retries := l.Update(now, instance, c)
		t := s.totals[service]
		s.totals[service] = limits.RetryCounts{Requests: t.Requests + requests, Retries: t.Retries + retries}
	}
}

// silence records that an instance does not announce any more.
func (s *aggregate) silence(now time.Duration, instance string) {
	for _, l := range s.ledgers {
		l.Silence(now, instance)
	}
}

// counts returns the totals, with what was counted within the last window.
func (s *aggregate) counts(now time.Duration) map[string]limits.RetryCounts {
	out := make(map[string]limits.RetryCounts, len(s.totals))
	for service, t := range s.totals {
		t.RecentRequests, t.RecentRetries = s.ledgers[service].Sum(now)
		out[service] = t
	}
	return out
}

// digestPeerName returns the name under which the digest of a data centre is passed to Endpoints,
// as if it were one more instance.
func digestPeerName(dataCentre string) string { return "sums of " + dataCentre }

// digestTTL is how long a digest counts without a later one. An aggregator that dies is replaced
// within that time.
const digestTTL = 4 * time.Second

// sendDigest aggregates what the instances of this data centre reported. It sends the result to
// them and to the aggregators of the other data centres.
func (x *Exchange) sendDigest(r *roster) { x.broadcastDigest(r, x.aggregateReports(r)) }

// urgentRetries is the number of new retries of a data centre from which they are sent at once;
// fewer wait for the next digest. Without faults, 59 instances retry four times a second in all.
// After the loss of a data centre's engines there are twenty retries at once.
const urgentRetries = 4

// sendRetriesDigest sends the counts of this data centre when many retries have been added since
// the last digest. In the seconds after a loss that is up to 16 times a second, 90 bytes to each
// instance.
func (x *Exchange) sendRetriesDigest(r *roster) {
	if !x.hasUrgentRetries() {
		return
	}
	counts := x.ServiceCounts()
	x.announcementsMu.Lock()
	d := x.nextDigest(counts)
	d.Uses = encodeCounts(x.aggregate.counts(x.Clock()))
	x.announcementsMu.Unlock()
	x.broadcastDigest(r, d)
}

// hasUrgentRetries reports whether this data centre has at least urgentRetries that no digest has
// held yet.
func (x *Exchange) hasUrgentRetries() bool {
	own := limits.TotalRetries(x.ServiceCounts())
	x.announcementsMu.Lock()
	defer x.announcementsMu.Unlock()
	return limits.TotalRetries(x.aggregate.totals)+own-x.aggregate.ownRetries >= x.aggregate.announcedRetries+urgentRetries
}

// broadcastDigest sends a digest to the instances of this data centre and to the aggregators of the
// others, and applies it here.
func (x *Exchange) broadcastDigest(r *roster, d *peerv1.Digest) {
	to := r.addressesIn(x.Self.DataCentre)
	for dc, ids := range r.aggregators {
		if dc != x.Self.DataCentre {
			to = append(to, r.addressesOf(ids...)...)
		}
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Digest{Digest: d}}, to...)
	x.applyDigest(d)
}

// aggregateReports returns the next digest, from this instance's report and those of its data
// centre.
func (x *Exchange) aggregateReports(r *roster) *peerv1.Digest {
	own, counts := x.Endpoints.OwnReport(), x.ServiceCounts()
	x.announcementsMu.Lock()
	defer x.announcementsMu.Unlock()
	reports, recent := []routing.PeerReport{own}, uint32(1)
	for i := range r.alive {
		if h := x.announcements[r.alive[i].ID]; h != nil && r.alive[i].DataCentre == x.Self.DataCentre {
			reports = append(reports, h.report)
			if x.Clock()-h.receivedAt < retryDigestTimeout {
				recent++
			}
		}
	}
	d := x.nextDigest(counts)
	d.Instances = recent
	return encodeDigest(d, routing.Combine(reports), x.aggregate.counts(x.Clock()), time.Now())
}

// nextDigest adds this instance's own counts to the totals, and returns the next digest without a
// report or counts. The caller holds announcementsMu.
func (x *Exchange) nextDigest(counts map[string]limits.RetryCounts) *peerv1.Digest {
	x.aggregate.add(x.Clock(), x.RetryWindow, x.Self.ID, counts)
	x.aggregate.ownRetries = limits.TotalRetries(counts)
	x.aggregate.announcedRetries = limits.TotalRetries(x.aggregate.totals)
	x.aggregate.sequence++
	return &peerv1.Digest{DataCentre: x.Self.DataCentre, Instance: x.Self.ID, Process: x.process, Sequence: x.aggregate.sequence}
}

// receiveDigest takes a digest. The aggregator of this data centre passes on those of other data
// centres to the instances of its own.
func (x *Exchange) receiveDigest(d *peerv1.Digest, raw []byte) {
	if d.DataCentre == "" || d.Instance == "" {
		x.metrics.malformed.Inc(1)
		return
	}
	if d.Instance == x.Self.ID || !x.applyDigest(d) {
		return
	}
	if r := x.roster(); d.DataCentre != x.Self.DataCentre && r.isAggregator() {
		x.sendRaw(raw, r.addressesIn(x.Self.DataCentre)...)
	}
}

// applyDigest applies a digest. It returns false for one that is not newer than the last one of the
// same sender.
func (x *Exchange) applyDigest(d *peerv1.Digest) bool {
	now := x.Clock()
	next := &digest{instance: d.Instance, process: d.Process, sequence: d.Sequence, receivedAt: now}
	x.announcementsMu.Lock()
	old := x.aggregate.digests[d.DataCentre]
	sameSender := old != nil && old.instance == next.instance && old.process == next.process
	if sameSender && next.sequence <= old.sequence {
		x.announcementsMu.Unlock()
		return false
	}
	if next.instances = int(d.Instances); d.Instances == 0 && old != nil { // a digest of counts only
		next.instances = old.instances
	}
	x.aggregate.digests[d.DataCentre] = next
	x.announcementsMu.Unlock()
	name := digestPeerName(d.DataCentre)
	if old != nil {
		x.metrics.digestAge.RecordDuration(now - old.receivedAt)
	}
	r := x.roster()
	report, counts := decodeDigest(d, time.Now())
	if d.Instances == 0 { // a digest of counts only
		x.Endpoints.SetPeerCounts(name, counts)
		return true
	}
	x.Endpoints.SetPeerReport(name, report.Filter(func(id string) bool { return !r.owns(id) }), counts)
	return true
}

// retryDigestTimeout is how old the last announcement of an instance to its aggregator, and the last digest of a data centre, may be for
// the instance to share the bound on retries. One or two of them may be lost.
const retryDigestTimeout = 3 * digestInterval

// digestCoverage returns which data centres share the bound on retries with this instance: those whose digests arrive. One that
// does not get the digest of its own data centre is alone.
func (x *Exchange) digestCoverage(known int) limits.PeerCoverage {
	now := x.Clock()
	sharing, reporting := map[string]bool{}, 0
	x.announcementsMu.Lock()
	defer x.announcementsMu.Unlock()
	for dc, d := range x.aggregate.digests {
		if now-d.receivedAt < retryDigestTimeout {
			sharing[digestPeerName(dc)] = true
			reporting += d.instances
		}
	}
	if !sharing[digestPeerName(x.Self.DataCentre)] {
		sharing, reporting = map[string]bool{}, 1
	}
	return limits.PeerCoverage{
		Reporting: min(max(reporting, 1), known), Known: known,
		Sharing: func(source string) bool { return source == x.Self.ID || sharing[source] },
	}
}

// expireDigests drops the digests of data centres that no instance aggregates any more.
func (x *Exchange) expireDigests(now time.Duration) {
	x.announcementsMu.Lock()
	var expired []string
	for dc, d := range x.aggregate.digests {
		if now-d.receivedAt >= digestTTL {
			delete(x.aggregate.digests, dc)
			expired = append(expired, dc)
		}
	}
	x.announcementsMu.Unlock()
	for _, dc := range expired {
		x.Endpoints.SetPeerReport(digestPeerName(dc), routing.PeerReport{}, nil)
	}
}
