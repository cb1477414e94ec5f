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

// Peer describes another instance, or this one.
type Peer struct {
	// ID names the instance. Callers is its address for callers, and Peers that for other
	// instances.
	ID, Callers, Peers string
	DataCentre, Region string
	// Link is the bandwidth of its network link in Mbit/s; 0 for unknown.
	Link int
	// Ready says that callers may be sent to it.
	Ready bool
	// Store says whether the platform's store answers it.
	Store source.Access
}

// Limits that depend on the size of a fleet.
const (
	// maxFullMeshPeers is the number of other instances up to which every instance announces to
	// every other. Each then sends and receives 64 datagrams a second of some 300 bytes, 20 kB and
	// 0.1% of a core. Beyond that, what all receive together would grow with the square of the
	// fleet's size.
	maxFullMeshPeers = 64
	// ownersPerEndpoint is how many instances receive all placements at an endpoint, so that one
	// may be lost.
	ownersPerEndpoint = 2
	// aggregatorsPerDataCentre is how many instances of a data centre receive the announcements of
	// all its others. The first one aggregates them; the second one takes over when the first is
	// lost.
	aggregatorsPerDataCentre = 2
)

// roster is the fleet as this instance believes it to be. It is immutable.
type roster struct {
	self    Peer
	version uint64
	// alive holds the other instances that are alive, by id, and knownCount is how many others are
	// known.
	alive      []Peer
	knownCount int
	// addresses holds those of the other known instances, by id.
	addresses map[string]net.Addr
	// aliveHashes holds the hashes of the ids in alive, in the same order.
	aliveHashes []uint64
	selfHash    uint64
	// aggregators holds the ids of the instances that aggregate, by data centre, highest rank
	// first.
	aggregators map[string][]string
}

// newRoster returns a roster of this instance and the other known members.
func newRoster(self Peer, known []membership.Member, version uint64) *roster {
	r := &roster{
		self: self, version: version, knownCount: len(known), addresses: make(map[string]net.Addr, len(known)),
		selfHash: xxhash.Sum64String(self.ID), aggregators: map[string][]string{},
	}
	for i := range known {
		m := &known[i]
		if address, err := net.ResolveUDPAddr("udp", m.PeerAddress); err == nil {
			r.addresses[m.ID] = address
		}
		if m.State == membership.Alive && m.HasReported() {
			r.alive = append(r.alive, peerOf(m))
			r.aliveHashes = append(r.aliveHashes, xxhash.Sum64String(m.ID))
		}
	}
	r.rankAggregators()
	return r
}

func peerOf(m *membership.Member) Peer {
	return Peer{
		ID: m.ID, Callers: m.Address, Peers: m.PeerAddress, DataCentre: m.DataCentre, Region: m.Region, Link: m.LinkMbps, Ready: m.Ready, Store: source.Access(m.Store),
	}
}

// rankAggregators selects the aggregators of each data centre: the instances with the fastest
// links, and among those the highest by a hash.
func (r *roster) rankAggregators() {
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
		if dc := all[i].DataCentre; len(r.aggregators[dc]) < aggregatorsPerDataCentre {
			r.aggregators[dc] = append(r.aggregators[dc], all[i].ID)
		}
	}
}

// fullMesh reports whether the fleet is so small that every instance announces to every other.
func (r *roster) fullMesh() bool { return len(r.alive) <= maxFullMeshPeers }

// isAggregator reports whether this instance aggregates for its data centre; false in a full mesh.
func (r *roster) isAggregator() bool {
	return !r.fullMesh() && r.aggregators[r.self.DataCentre][0] == r.self.ID
}

// owners returns the instances that receive all placements at an endpoint, highest rank first.
// Names are empty where the fleet has fewer instances.
func (r *roster) owners(endpoint string) [ownersPerEndpoint]string {
	key := xxhash.Sum64String(endpoint)
	var ids [ownersPerEndpoint]string
	var weights [ownersPerEndpoint]uint64
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
		consider(r.alive[i].ID, rendezvous.WeightOfHashes(key, r.aliveHashes[i]))
	}
	return ids
}

// owns reports whether this instance receives all placements at an endpoint. In a full mesh it does
// for every endpoint.
func (r *roster) owns(endpoint string) bool {
	return r.fullMesh() || slices.Contains(r.ownerIDs(endpoint), r.self.ID)
}

// ownerIDs returns the result of owners as a slice.
func (r *roster) ownerIDs(endpoint string) []string {
	ids := r.owners(endpoint)
	return ids[:]
}

// addressesOf returns the addresses of instances; those that are not known are left out.
func (r *roster) addressesOf(ids ...string) []net.Addr {
	out := make([]net.Addr, 0, len(ids))
	for _, id := range ids {
		if a := r.addresses[id]; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// allAddresses returns the addresses of the other instances that are alive. With includeNotAlive it
// returns those of all that are known.
func (r *roster) allAddresses(includeNotAlive bool) []net.Addr {
	out := make([]net.Addr, 0, len(r.addresses))
	if !includeNotAlive {
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

// addressesIn returns the addresses of the other instances of a data centre that are alive.
func (r *roster) addressesIn(name string) []net.Addr {
	var out []net.Addr
	for i := range r.alive {
		if r.alive[i].DataCentre == name {
			out = append(out, r.addresses[r.alive[i].ID])
		}
	}
	return out
}

// sortByDistance orders instances for a caller: those of its data centre first, then those of its
// region. Equally near ones keep their order.
func sortByDistance(peers []Peer, dataCentre, region string) {
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
