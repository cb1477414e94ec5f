package exchange

import (
	"cmp"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/rendezvous"
	"github.com/agateway/agateway/core/source"
)

// Peer is another instance, or this one.
type Peer struct {
	// ID names the instance, Callers and Peers are its addresses.
	ID, Callers, Peers string
	DataCentre, Region string
	// Link is the bandwidth of its network link in Mbit/s; 0 for unknown.
	Link int
	// Ready tells that callers may be sent to it.
	Ready bool
	// Store tells whether the platform's store answers it.
	Store source.Access
}

// Sizes of a fleet.
const (
	// directMost is the number of other instances up to which all are told all. Each then sends and receives 64 datagrams
	// a second of some 300 bytes, 20 kB and 0.1% of a core; beyond that it would grow with the square of the fleet.
	directMost = 64
	// owners is how many instances hear all that is placed at an endpoint, so that one may be lost.
	owners = 2
	// summers is how many instances of a data centre hear from all others of it. The first sums up, the second takes over.
	summers = 2
)

// roster is the fleet as this instance believes it to be. It does not change once it is made.
type roster struct {
	self    Peer
	version uint64
	// alive are the other instances that are alive, by id, and known is how many are known.
	alive []Peer
	known int
	// addresses are those of the known instances, by id.
	addresses map[string]net.Addr
	// hashes are those of the ids in alive.
	hashes   []uint64
	selfHash uint64
	// summers are the instances that sum up, by data centre, the first in rank first.
	summers map[string][]string
}

// newRoster makes a roster of the known members but this instance.
func newRoster(self Peer, known []membership.Member, version uint64) *roster {
	r := &roster{
		self: self, version: version, known: len(known), addresses: make(map[string]net.Addr, len(known)),
		selfHash: xxhash.Sum64String(self.ID), summers: map[string][]string{},
	}
	for i := range known {
		m := &known[i]
		if address, err := net.ResolveUDPAddr("udp", m.PeerAddress); err == nil {
			r.addresses[m.ID] = address
		}
		if m.State == membership.Alive && m.HasReported() {
			r.alive = append(r.alive, peerOf(m))
			r.hashes = append(r.hashes, xxhash.Sum64String(m.ID))
		}
	}
	r.rankSummers()
	return r
}

func peerOf(m *membership.Member) Peer {
	return Peer{
		ID: m.ID, Callers: m.Address, Peers: m.PeerAddress, DataCentre: m.DataCentre, Region: m.Region, Link: m.LinkMbps, Ready: m.Ready, Store: source.Access(m.Store),
	}
}

// rankSummers finds who sums up: in each data centre those with the widest links, and of those the first by a hash.
func (r *roster) rankSummers() {
	type ranked struct {
		*Peer
		weight uint64
	}
	all := []ranked{{&r.self, rendezvous.Weight("sums", r.self.ID)}}
	for i := range r.alive {
		all = append(all, ranked{&r.alive[i], rendezvous.Weight("sums", r.alive[i].ID)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(b.weight, a.weight)) })
	for i := range all {
		if dc := all[i].DataCentre; len(r.summers[dc]) < summers {
			r.summers[dc] = append(r.summers[dc], all[i].ID)
		}
	}
}

// direct tells that the fleet is so small that all are told all.
func (r *roster) direct() bool { return len(r.alive) <= directMost }

// sumsUp tells whether this instance sums up for its data centre.
func (r *roster) sumsUp() bool { return !r.direct() && r.summers[r.self.DataCentre][0] == r.self.ID }

// owners returns the instances that hear all that is placed at an endpoint, the first in rank first.
func (r *roster) owners(endpoint string) [owners]string {
	key := xxhash.Sum64String(endpoint)
	var ids [owners]string
	var weights [owners]uint64
	consider := func(id string, weight uint64) {
		for i := range ids {
			if ids[i] == "" || weight > weights[i] {
				copy(ids[i+1:], ids[i:])
				copy(weights[i+1:], weights[i:])
				ids[i], weights[i] = id, weight
				return
			}
		}
	}
	consider(r.self.ID, rendezvous.WeightOfHashes(key, r.selfHash))
	for i := range r.alive {
		consider(r.alive[i].ID, rendezvous.WeightOfHashes(key, r.hashes[i]))
	}
	return ids
}

// owned tells whether this instance hears all that is placed at an endpoint.
func (r *roster) owned(endpoint string) bool {
	return r.direct() || slices.Contains(r.ownersOf(endpoint), r.self.ID)
}

func (r *roster) ownersOf(endpoint string) []string {
	ids := r.owners(endpoint)
	return ids[:]
}

// to returns the addresses of instances; those that are not known are left out.
func (r *roster) to(ids ...string) []net.Addr {
	out := make([]net.Addr, 0, len(ids))
	for _, id := range ids {
		if a := r.addresses[id]; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// everybody returns the addresses of all that are alive, or of all that are known.
func (r *roster) everybody(known bool) []net.Addr {
	out := make([]net.Addr, 0, len(r.addresses))
	if !known {
		for i := range r.alive {
			out = append(out, r.addresses[r.alive[i].ID])
		}
		return out
	}
	for _, a := range r.addresses {
		out = append(out, a)
	}
	return out
}

// inDataCentre returns the addresses of the other instances of a data centre that are alive.
func (r *roster) inDataCentre(name string) []net.Addr {
	var out []net.Addr
	for i := range r.alive {
		if r.alive[i].DataCentre == name {
			out = append(out, r.addresses[r.alive[i].ID])
		}
	}
	return out
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
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(distance(&a), distance(&b)) })
}
