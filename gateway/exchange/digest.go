package exchange

import (
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// sums are what one instance sums up for its data centre, and the digests of all data centres that it has heard.
type sums struct {
	sequence uint64
	// uses is what the instances of this data centre have counted since this one began to sum up, and own what of it
	// this instance had counted itself when it looked last.
	uses, own map[string]limits.RetryCounts
	// told is how many repeats of uses were told.
	told    uint64
	digests map[string]*digest
}

// digest is the last one heard of a data centre.
type digest struct {
	instance          string
	process, sequence uint64
	at                time.Duration
}

func newSums() sums {
	return sums{uses: map[string]limits.RetryCounts{}, own: map[string]limits.RetryCounts{}, digests: map[string]*digest{}}
}

// count adds what an instance has counted since its last announcement. What it counted before the first one that is heard
// is not known to be recent.
func (s *sums) count(_ string, before, now *heard) {
	if before != nil && before.process == now.process {
		s.add(before.uses, now.uses)
	}
}

func (s *sums) add(before, now map[string]limits.RetryCounts) {
	for service, c := range now {
		b := before[service]
		if c.Requests < b.Requests || c.Retries < b.Retries {
			continue
		}
		u := s.uses[service]
		s.uses[service] = limits.RetryCounts{Requests: u.Requests + c.Requests - b.Requests, Retries: u.Retries + c.Retries - b.Retries}
	}
}

// digestOf is the name under which the sums of a data centre are taken: as if it were one more instance.
func digestOf(dataCentre string) string { return "sums of " + dataCentre }

// digestTTL is how long a digest counts that is not followed by another one: an instance that sums up and dies is
// replaced within that.
const digestTTL = 4 * time.Second

// digest sums up what the instances of this data centre told, and tells the others of it and those that sum up
// elsewhere.
func (x *Exchange) digest(r *roster) { x.tellSums(r, x.sumUp(r)) }

// repeatsSoon is how many repeats of a data centre are told on at once: fewer wait for the next digest. In calm times four a second
// are sent again by 59 instances, after the loss of a data centre's engines twenty at once.
const repeatsSoon = 4

// digestRepeats tells what the instances of this data centre have counted, where much was sent again since that was told. In
// the seconds after a loss that is up to 16 times a second, 90 bytes to each instance.
func (x *Exchange) digestRepeats(r *roster) {
	if !x.repeatsToTell() {
		return
	}
	uses := x.Uses()
	x.heardMu.Lock()
	d := x.newDigest(uses)
	d.Uses = encodeUses(x.sums.uses)
	x.heardMu.Unlock()
	x.tellSums(r, d)
}

// repeatsToTell tells whether so much was sent again in this data centre that the others should know now.
func (x *Exchange) repeatsToTell() bool {
	own := limits.TotalRetries(x.Uses())
	x.heardMu.Lock()
	defer x.heardMu.Unlock()
	return limits.TotalRetries(x.sums.uses)+own-limits.TotalRetries(x.sums.own) >= x.sums.told+repeatsSoon
}

func (x *Exchange) tellSums(r *roster, d *peerv1.Digest) {
	to := r.inDataCentre(x.Self.DataCentre)
	for dc, ids := range r.summers {
		if dc != x.Self.DataCentre {
			to = append(to, r.to(ids...)...)
		}
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Digest{Digest: d}}, to...)
	x.take(d)
}

func (x *Exchange) sumUp(r *roster) *peerv1.Digest {
	own, uses := x.Endpoints.Told(), x.Uses()
	x.heardMu.Lock()
	defer x.heardMu.Unlock()
	all := []routing.PeerReport{own}
	for i := range r.alive {
		if h := x.heard[r.alive[i].ID]; h != nil && r.alive[i].DataCentre == x.Self.DataCentre {
			all = append(all, h.told)
		}
	}
	d := x.newDigest(uses)
	d.Instances = uint32(len(all))
	return encodeDigest(d, routing.Combine(all), x.sums.uses)
}

// newDigest takes what this instance has counted itself into the sums, and returns the next digest without them. The caller
// holds heardMu.
func (x *Exchange) newDigest(uses map[string]limits.RetryCounts) *peerv1.Digest {
	x.sums.add(x.sums.own, uses)
	x.sums.own = uses
	x.sums.told = limits.TotalRetries(x.sums.uses)
	x.sums.sequence++
	return &peerv1.Digest{DataCentre: x.Self.DataCentre, Instance: x.Self.ID, Process: x.process, Sequence: x.sums.sequence}
}

// digested takes a digest. One of another data centre is passed on to the instances of this one by the one that sums up
// here.
func (x *Exchange) digested(d *peerv1.Digest, raw []byte) {
	if d.DataCentre == "" || d.Instance == "" {
		x.metrics.malformed.Inc(1)
		return
	}
	if d.Instance == x.Self.ID || !x.take(d) {
		return
	}
	if r := x.roster(); d.DataCentre != x.Self.DataCentre && r.sumsUp() {
		x.sendRaw(raw, r.inDataCentre(x.Self.DataCentre)...)
	}
}

// take takes the sums of a data centre; false when they are known already.
func (x *Exchange) take(d *peerv1.Digest) bool {
	now := x.Clock()
	next := &digest{instance: d.Instance, process: d.Process, sequence: d.Sequence, at: now}
	x.heardMu.Lock()
	old := x.sums.digests[d.DataCentre]
	same := old != nil && old.instance == next.instance && old.process == next.process
	if same && next.sequence <= old.sequence {
		x.heardMu.Unlock()
		return false
	}
	x.sums.digests[d.DataCentre] = next
	x.heardMu.Unlock()
	name := digestOf(d.DataCentre)
	if old != nil {
		x.metrics.sumAge.RecordDuration(now - old.at)
	}
	if old != nil && !same {
		x.Endpoints.Heard(name, routing.PeerReport{}, nil) // it has begun to count anew
	}
	r := x.roster()
	told, uses := decodeDigest(d)
	if d.Instances == 0 { // it tells only what was counted
		x.Endpoints.Counted(name, uses)
		return true
	}
	x.Endpoints.Heard(name, told.Filter(func(id string) bool { return !r.owned(id) }), uses)
	return true
}

// expireDigests forgets the sums of data centres that nobody sums up any more.
func (x *Exchange) expireDigests(now time.Duration) {
	x.heardMu.Lock()
	var late []string
	for dc, d := range x.sums.digests {
		if now-d.at >= digestTTL {
			delete(x.sums.digests, dc)
			late = append(late, dc)
		}
	}
	x.heardMu.Unlock()
	for _, dc := range late {
		x.Endpoints.Heard(digestOf(dc), routing.PeerReport{}, nil)
	}
}
