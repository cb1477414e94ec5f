package exchange

import (
	"cmp"
	"maps"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/reachability"
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
	// Spreads says that it spreads the entries of others.
	Spreads bool
	// Ready says that callers may be sent to it.
	Ready bool
	// Store says whether the platform's store answers it.
	Store source.Access
	// Endpoints says whether it reaches the endpoints.
	Endpoints reachability.Access
	// start is when its process started.
	start membership.Start
}

// Limits that depend on the size of a fleet.
const (
	// maxFullMeshPeers is the number of other instances up to which every instance announces to
	// every other, at most at maxAnnouncementRate. Beyond that, what all receive together would grow
	// with the square of the fleet's size: with 61 others under overload each instance sent 840 kB a
	// second, which filled links of 10 Mbit/s. Pings were lost, and instances were taken for dead.
	maxFullMeshPeers = 32
	// maxDirectPeers is the number of other instances up to which an instance tells all others of its
	// own start, end and changes. In a larger fleet a few instances spread these entries.
	maxDirectPeers = 64
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
	// located holds the addresses and hashes of the other known instances, by id.
	located map[string]located
	// aliveHashes holds the hashes of the ids in alive, in the same order.
	aliveHashes []uint64
	selfHash    uint64
	// aggregators holds the ids of the instances that aggregate, and spreaders those of the
	// instances that spread the entries of members; both by data centre, highest rank first.
	aggregators, spreaders map[string][]string
	// listedSpreaders are all other instances that spread entries and are not known to be lost, and
	// listedSpreadersNear those of this data centre.
	listedSpreaders, listedSpreadersNear []string
}

// located is what does not change while an instance keeps its address.
type located struct {
	text    string // the address as the member gives it
	address net.Addr
	// hash is that of the id, and weight the rank of the id among equal links.
	hash, weight uint64
}

func locate(id, address string) located {
	l := located{text: address, hash: xxhash.Sum64String(id), weight: rendezvous.Weight("sums", id)}
	if resolved, err := net.ResolveUDPAddr("udp", address); err == nil {
		l.address = resolved
	}
	return l
}

// newRoster returns a roster of this instance and the other known members. before is the roster
// that it replaces, or nil: what is known of an address is taken from there.
func newRoster(self Peer, known []membership.Member, version uint64, before *roster) *roster {
	r := &roster{
		self: self, version: version, knownCount: len(known), located: make(map[string]located, len(known)),
		selfHash: xxhash.Sum64String(self.ID), aggregators: map[string][]string{}, spreaders: map[string][]string{},
	}
	var unheard []membership.Member
	for i := range known {
		m := &known[i]
		l, ok := before.location(m.ID)
		if !ok || l.text != m.PeerAddress {
			l = locate(m.ID, m.PeerAddress)
		}
		r.located[m.ID] = l
		if m.State == membership.Alive && m.Spreads {
			r.listedSpreaders = append(r.listedSpreaders, m.ID)
			if m.DataCentre == self.DataCentre {
				r.listedSpreadersNear = append(r.listedSpreadersNear, m.ID)
			}
		}
		switch {
		case m.State == membership.Alive && m.HasReported():
			r.alive = append(r.alive, peerOf(m))
			r.aliveHashes = append(r.aliveHashes, l.hash)
		case m.State == membership.Alive && m.Spreads:
			unheard = append(unheard, *m)
		}
	}
	r.rank(unheard)
	return r
}

// location returns what is known of the address of an instance. r may be nil.
func (r *roster) location(id string) (located, bool) {
	if r == nil {
		return located{}, false
	}
	l, ok := r.located[id]
	return l, ok
}

func peerOf(m *membership.Member) Peer {
	return Peer{
		ID: m.ID, Callers: m.Address, Peers: m.PeerAddress, DataCentre: m.DataCentre, Region: m.Region, Link: m.LinkMbps, Spreads: m.Spreads, Ready: m.Ready, Store: source.Access(m.Store), Endpoints: reachability.Access(m.Endpoints),
		start: m.Start(),
	}
}

// ranked is an instance in a ranking: those with faster links come first, and among equal links the
// order is by a hash.
type ranked struct {
	id, dataCentre string
	link           int
	weight         uint64
}

func (a *ranked) before(b *ranked) bool {
	return a.link > b.link || a.link == b.link && a.weight > b.weight
}

// rank selects the aggregators and the spreaders of each data centre: the first ones that are
// alive. Where too few spreaders are alive, those that were only listed take their places: while a
// fleet starts, none is known to be alive.
func (r *roster) rank(unheard []membership.Member) {
	aggregators, spreaders := topRanked{}, topRanked{}
	self := ranked{r.self.ID, r.self.DataCentre, r.self.Link, rendezvous.Weight("sums", r.self.ID)}
	aggregators.add(self)
	spreaders.add(self)
	for i := range r.alive {
		p := &r.alive[i]
		one := ranked{p.ID, p.DataCentre, p.Link, r.located[p.ID].weight}
		aggregators.add(one)
		if p.Spreads {
			spreaders.add(one)
		}
	}
	listed := topRanked{}
	for i := range unheard {
		m := &unheard[i]
		listed.add(ranked{m.ID, m.DataCentre, m.LinkMbps, r.located[m.ID].weight})
	}
	r.aggregators, r.spreaders = aggregators.ids(), spreaders.ids()
	for dc, ids := range listed.ids() {
		r.spreaders[dc] = append(r.spreaders[dc], ids[:min(len(ids), max(aggregatorsPerDataCentre-len(r.spreaders[dc]), 0))]...)
	}
}

// topRanked holds the first aggregatorsPerDataCentre instances of each data centre.
type topRanked map[string][]ranked

func (t topRanked) add(one ranked) {
	top := t[one.dataCentre]
	at := len(top)
	for at > 0 && one.before(&top[at-1]) {
		at--
	}
	if at < aggregatorsPerDataCentre {
		top = slices.Insert(top, at, one)
		t[one.dataCentre] = top[:min(len(top), aggregatorsPerDataCentre)]
	}
}

func (t topRanked) ids() map[string][]string {
	out := make(map[string][]string, len(t))
	for dc, top := range t {
		for i := range top {
			out[dc] = append(out[dc], top[i].id)
		}
	}
	return out
}

// large reports whether the fleet is so large that entries of members are spread by a few instances
// instead of being sent to all directly.
func (r *roster) large() bool { return r.knownCount > maxDirectPeers }

// firstSpreader returns the first instance that spreads entries in this data centre. While this
// instance knows no other one there, that is this one.
func (r *roster) firstSpreader() string { return r.spreaders[r.self.DataCentre][0] }

// otherSpreaders returns the instances that spread entries in a data centre, without this one.
func (r *roster) otherSpreaders(dataCentre string) []string {
	return slices.DeleteFunc(slices.Clone(r.spreaders[dataCentre]), func(id string) bool { return id == r.self.ID })
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

// rankOfSelf returns the rank of this instance among the owners of an endpoint, 0 for the first. An
// instance that is no owner comes after them.
func (r *roster) rankOfSelf(endpoint string) int {
	if rank := slices.Index(r.ownerIDs(endpoint), r.self.ID); rank >= 0 {
		return rank
	}
	return ownersPerEndpoint
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
		if a := r.located[id].address; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// allAddresses returns the addresses of the other instances that are alive. With includeNotAlive it
// returns those of all that are known.
func (r *roster) allAddresses(includeNotAlive bool) []net.Addr {
	out := make([]net.Addr, 0, len(r.located))
	if !includeNotAlive {
		for i := range r.alive {
			out = append(out, r.located[r.alive[i].ID].address)
		}
		return out
	}
	for _, l := range r.located {
		out = append(out, l.address)
	}
	return out
}

// unheard returns the addresses of the known instances that are not alive as far as this instance
// has heard.
func (r *roster) unheard() []net.Addr {
	heard := make(map[string]bool, len(r.alive))
	for i := range r.alive {
		heard[r.alive[i].ID] = true
	}
	var out []net.Addr
	for id, l := range r.located {
		if !heard[id] {
			out = append(out, l.address)
		}
	}
	return out
}

// addressesIn returns the addresses of the other instances of a data centre that are alive.
func (r *roster) addressesIn(name string) []net.Addr {
	var out []net.Addr
	for i := range r.alive {
		if r.alive[i].DataCentre == name {
			out = append(out, r.located[r.alive[i].ID].address)
		}
	}
	return out
}

// dataCentres returns the names of all data centres with instances that are alive or spread
// entries, sorted.
func (r *roster) dataCentres() []string {
	names := map[string]bool{}
	for dc := range r.aggregators {
		names[dc] = true
	}
	for dc := range r.spreaders {
		names[dc] = true
	}
	return slices.Sorted(maps.Keys(names))
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
