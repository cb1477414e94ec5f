package exchange

import (
	"sort"
	"time"

	"github.com/agateway/agateway/core/source"
)

// Peer is another instance, or this one.
type Peer struct {
	// ID names the instance, Callers and Peers are its addresses.
	ID, Callers, Peers string
	DataCentre, Region string
	// Ready tells that callers may be sent to it.
	Ready bool
	// Store tells whether the platform's store answers it.
	Store source.Access
}

// record is what is known of another instance.
type record struct {
	Peer
	sequence uint64
	heard    time.Duration // on the clock that counts suspension
	alive    bool
}

// table is what is known of the others. It is not safe for concurrent use.
type table struct {
	self    string
	records map[string]*record
}

func newTable(self string) *table { return &table{self: self, records: map[string]*record{}} }

// lately returns how many other instances were heard since a time.
func (t *table) lately(since time.Duration) int {
	n := 0
	for _, r := range t.records {
		if r.alive && r.heard >= since {
			n++
		}
	}
	return n
}

// sizes returns how many other instances are known in a data centre, and in all others.
func (t *table) sizes(dataCentre string) (near, far int) {
	for _, r := range t.records {
		if r.DataCentre == dataCentre {
			near++
		} else {
			far++
		}
	}
	return near, far
}

// known adds an instance that the store names, unless it has been heard.
func (t *table) known(p Peer) {
	if p.ID == t.self || p.Peers == "" {
		return
	}
	if r := t.records[p.ID]; r == nil {
		t.records[p.ID] = &record{Peer: p}
	}
}

// heard takes an announcement; false when it is older than what is known.
func (t *table) heard(now time.Duration, p Peer, sequence uint64) bool {
	if p.ID == t.self {
		return false
	}
	r := t.records[p.ID]
	if r == nil {
		r = &record{}
		t.records[p.ID] = r
	}
	if sequence <= r.sequence {
		return false
	}
	r.Peer, r.sequence, r.heard, r.alive = p, sequence, now, true
	return true
}

// expire returns the instances that have fallen silent since the last call. silence returns how long one of
// a data centre may say nothing.
func (t *table) expire(now time.Duration, silence func(dataCentre string) time.Duration) []string {
	var out []string
	for id, r := range t.records {
		if r.alive && now-r.heard > silence(r.DataCentre) {
			r.alive, r.Ready = false, false
			out = append(out, id)
		}
	}
	return out
}

// alive returns the other instances that are heard from, by id.
func (t *table) alive() []Peer {
	var out []Peer
	for _, r := range t.records {
		if r.alive {
			out = append(out, r.Peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// addresses returns where to announce: to all that are known, also silent ones, which may be back; in a
// large fleet to some of them, at random, most of them of the own data centre.
func (t *table) addresses(dataCentre string, rnd func(n int, swap func(i, j int))) []string {
	var near, far []string
	for _, r := range t.records {
		if r.DataCentre == dataCentre {
			near = append(near, r.Peers)
		} else {
			far = append(far, r.Peers)
		}
	}
	some := func(all []string, most int) []string {
		sort.Strings(all)
		rnd(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all[:min(len(all), most)]
	}
	if len(near)+len(far) <= nearMost+farMost {
		return append(near, far...)
	}
	return append(some(near, nearMost), some(far, farMost)...)
}

// sortNearest orders instances for a caller: those of its data centre, then those of its region.
func sortNearest(peers []Peer, dataCentre, region string) {
	distance := func(p *Peer) int {
		switch {
		case p.DataCentre == dataCentre:
			return 0
		case p.Region == region:
			return 1
		}
		return 2
	}
	sort.SliceStable(peers, func(i, j int) bool { return distance(&peers[i]) < distance(&peers[j]) })
}
