package source

import (
	"slices"
	"time"

	"github.com/agateway/agateway/core/rendezvous"
)

// Choice is the source to ask next.
type Choice struct {
	// Peer is the instance to ask; empty for the store itself.
	Peer string
	// Timeout is the time that the store has for an answer, in addition to the wait that the call
	// asks for. It is 0 when Peer is set.
	Timeout time.Duration
	// Probe is set when the call only finds out whether the store answers; it should not wait for
	// changes.
	Probe bool
	// AwaitFresh is set when no instance is known that has fresh data. The call waits at Peer until
	// it has, since Peer gets it no later than any other instance that could be asked.
	AwaitFresh bool
}

// Chooser holds what one instance knows of the store and its peers.
type Chooser struct {
	settings Settings
	// unreachable is set when the store did not answer the last call.
	unreachable bool
	// storeFailures counts the failed calls to the store in a row. triedAt is when the store last
	// failed or was probed, or when storeDoubtful was set; the next probe counts from it.
	storeFailures int
	triedAt       time.Duration
	// storeLatency is how long the last answer of the store took; storeAnsweredAt is when it came.
	storeLatency, storeAnsweredAt time.Duration
	// storeDoubtful is set while this instance is a root but expects no answer from the store; see
	// chooseAsRoot.
	storeDoubtful bool
	// fleetStarting is set while no peer is ready. Peers without data are followed then.
	fleetStarting bool
	// failedPeers and stalePeers map excluded instances to the end of their exclusion.
	failedPeers, stalePeers map[string]time.Duration
	// currentParent is the instance that this one follows in the tree of its region, and parentSince
	// is when it began to.
	currentParent string
	parentSince   time.Duration
	// members is the memory that treeOf reuses.
	members []Peer
}

// New returns a chooser that assumes the store to be reachable.
func New(s Settings) *Chooser {
	return &Chooser{settings: s, failedPeers: map[string]time.Duration{}, stalePeers: map[string]time.Duration{}}
}

// Access returns whether the store answers this instance.
func (c *Chooser) Access(now time.Duration) Access {
	switch {
	case c.unreachable:
		return StoreUnreachable
	case c.storeAnsweredAt > 0 && now-c.storeAnsweredAt < c.settings.MinProbeInterval:
		return StoreReachable
	}
	return StoreUnknown
}

// StoreAnswered records an answer of the store. latency is the time it took, less the wait that the
// call asked for.
func (c *Chooser) StoreAnswered(now, latency time.Duration) {
	c.unreachable, c.storeFailures, c.storeLatency, c.storeAnsweredAt = false, 0, latency, now
}

// StoreFailed records that the store refused a call or did not answer it.
func (c *Chooser) StoreFailed(now time.Duration) {
	c.unreachable, c.triedAt = true, now
	c.storeFailures++
}

// PeerFailed records that an instance did not answer.
func (c *Chooser) PeerFailed(now time.Duration, id string) {
	c.failedPeers[id] = now + c.settings.ExclusionPeriod
}

// PeerStale records that an instance answered, but has no fresh data or can't reach the store.
func (c *Chooser) PeerStale(now time.Duration, id string) {
	c.stalePeers[id] = now + c.settings.ExclusionPeriod
}

// Choose returns the source to ask now. peers are the other instances that are alive; random is a
// random number between 0 and 1.
func (c *Chooser) Choose(now time.Duration, peers []Peer, random float64) Choice {
	c.expireExclusions(now)
	c.fleetStarting = !slices.ContainsFunc(peers, func(p Peer) bool { return p.Ready })
	if c.unreachable && c.probeDue(now, peers) {
		return c.probe(now)
	}
	regionTree := c.treeOf(peers, func(p *Peer) bool { return c.sameRegion(p) && c.canFollow(p) }, !c.unreachable)
	switch {
	case c.isRoot(regionTree):
		return c.chooseAsRoot(now, peers)
	case len(regionTree) > 0:
		c.storeDoubtful = false
		return Choice{Peer: c.keepParent(now, regionTree)}
	}
	if elsewhere := c.otherRegions(peers); len(elsewhere) > 0 {
		return c.pickByHash(elsewhere)
	}
	if reachable := c.treeOf(peers, c.isReachableInRegion, false); c.unreachable && len(reachable) > 0 {
		choice := c.pickByHash(reachable)
		choice.AwaitFresh = true
		return choice
	}
	wholeRegion := c.treeOf(peers, c.sameRegion, true)
	if c.isRoot(wholeRegion) || random < c.settings.StoreProbability {
		return Choice{Timeout: c.storeTimeout()}
	}
	return Choice{Peer: c.parent(wholeRegion), AwaitFresh: true}
}

// chooseAsRoot returns the source of an instance that reads the store for its followers. If the
// store does not answer another instance of the region and has not answered this one lately, it may
// be unreachable for the whole region. Then this instance follows one of another region that the
// store answers, and probes the store meanwhile. Otherwise, when a region loses the store, it would
// get no data until each of its instances had found out for itself.
func (c *Chooser) chooseAsRoot(now time.Duration, peers []Peer) Choice {
	doubtful := c.Access(now) != StoreReachable && slices.ContainsFunc(peers, func(p Peer) bool { return c.sameRegion(&p) && p.StoreAccess == StoreUnreachable })
	reachable := c.reachableElsewhere(peers)
	if !doubtful || len(reachable) == 0 {
		c.storeDoubtful = false
		return Choice{Timeout: c.storeTimeout()}
	}
	if !c.storeDoubtful {
		c.storeDoubtful, c.triedAt = true, now
	}
	if now >= c.triedAt+c.settings.MinProbeInterval {
		return c.probe(now)
	}
	return c.pickByHash(reachable)
}

// otherRegions returns the instances of other regions that can be followed: those that the store
// answers or, if there are none, all.
func (c *Chooser) otherRegions(peers []Peer) tree {
	if reachable := c.reachableElsewhere(peers); len(reachable) > 0 {
		return reachable
	}
	return c.treeOf(peers, func(p *Peer) bool { return !c.sameRegion(p) && c.canFollow(p) }, false)
}

// reachableElsewhere returns the instances of other regions that can be followed and that the store
// answers.
func (c *Chooser) reachableElsewhere(peers []Peer) tree {
	return c.treeOf(peers, func(p *Peer) bool { return !c.sameRegion(p) && c.canFollow(p) && p.StoreAccess == StoreReachable }, false)
}

// probe returns a call that finds out whether the store answers, and restarts the probe interval.
func (c *Chooser) probe(now time.Duration) Choice {
	c.triedAt = now
	return Choice{Timeout: c.storeTimeout(), Probe: true}
}

// pickByHash returns one of the candidates by a hash of this instance, so that instances which
// follow outside of their own tree are spread evenly.
func (c *Chooser) pickByHash(candidates tree) Choice {
	ids := make([]string, len(candidates))
	for i := range candidates {
		ids[i] = candidates[i].ID
	}
	return Choice{Peer: rendezvous.Rank(c.settings.Self, ids, 1)[0]}
}

// sameRegion reports whether an instance is in this instance's region.
func (c *Chooser) sameRegion(p *Peer) bool { return p.Region == c.settings.Region }

// isReachableInRegion reports whether the store answers an instance of this region, which may have had no fresh
// data when it was asked last.
func (c *Chooser) isReachableInRegion(p *Peer) bool {
	return c.sameRegion(p) && p.StoreAccess == StoreReachable
}

// expireExclusions lets instances be asked again whose exclusion has ended.
func (c *Chooser) expireExclusions(now time.Duration) {
	for _, excluded := range []map[string]time.Duration{c.failedPeers, c.stalePeers} {
		for id, until := range excluded {
			if now >= until {
				delete(excluded, id)
			}
		}
	}
}

// canFollow reports whether an instance may be followed. While the whole fleet starts, instances
// that are not ready may be: they let their followers wait until they have data, so that one
// instance asks the store instead of each of them.
func (c *Chooser) canFollow(p *Peer) bool {
	return (p.Ready || c.fleetStarting) && p.StoreAccess != StoreUnreachable && c.stalePeers[p.ID] == 0
}

// probeDue reports whether an instance that the store does not answer asks it again. The first in
// rank of a region do so at the shortest interval, since they would read for all others.
func (c *Chooser) probeDue(now time.Duration, peers []Peer) bool {
	interval := min(c.settings.MinProbeInterval<<min(c.storeFailures-1, 10), c.settings.MaxProbeInterval)
	if interval > c.settings.MinProbeInterval {
		if c.isRoot(c.treeOf(peers, c.sameRegion, true)) {
			interval = c.settings.MinProbeInterval
		}
	}
	return now >= c.triedAt+interval
}

// treeOf returns the tree of the peers for which include is true. Peers that failed are left out;
// this instance is added if includeSelf is set. The tree is valid until the next call.
func (c *Chooser) treeOf(peers []Peer, include func(*Peer) bool, includeSelf bool) tree {
	members := c.members[:0]
	for i := range peers {
		if c.failedPeers[peers[i].ID] == 0 && include(&peers[i]) {
			members = append(members, withWeight(peers[i]))
		}
	}
	if !slices.IsSortedFunc(members, compareRank) {
		slices.SortFunc(members, compareRank)
	}
	if includeSelf {
		self := withWeight(Peer{ID: c.settings.Self, DataCentre: c.settings.DataCentre, LinkMbps: c.settings.LinkMbps})
		at, _ := slices.BinarySearchFunc(members, self, compareRank)
		members = slices.Insert(members, at, self)
	}
	c.members = members
	return members
}

// isRoot reports whether this instance is among the first of a tree, which ask the store.
func (c *Chooser) isRoot(t tree) bool {
	index := t.indexOf(c.settings.Self)
	return index >= 0 && index < c.settings.Roots
}

// keepParent returns the instance that this one follows in a tree. It keeps one for MinTenure while
// that one ranks before this instance. When a fleet starts, each instance that is heard moves the
// places in the tree, and to follow each move would mean another source for every watch.
func (c *Chooser) keepParent(now time.Duration, t tree) string {
	if now < c.parentSince+c.settings.MinTenure && c.currentParent != "" {
		current, self := t.indexOf(c.currentParent), t.indexOf(c.settings.Self)
		if current >= 0 && (self < 0 || current < self) {
			return c.currentParent
		}
	}
	if p := c.parent(t); p != c.currentParent {
		c.currentParent, c.parentSince = p, now
	}
	return c.currentParent
}

// parent returns the instance that this one follows in a tree.
func (c *Chooser) parent(t tree) string { return t.parentOfSelf(&c.settings) }

// timeoutPerLatency times the latency of the store's last answer is the least time that the next
// answer gets, so that a store which has become slow is not taken for unreachable.
const timeoutPerLatency = 3

// storeTimeout returns how long the store may take for the next answer.
func (c *Chooser) storeTimeout() time.Duration {
	timeout := max(c.settings.MinTimeout, timeoutPerLatency*c.storeLatency)
	if c.storeFailures > 0 {
		timeout = max(timeout, min(c.settings.MinTimeout<<min(c.storeFailures, 10), c.settings.MaxFailingTimeout))
	}
	return min(timeout, c.settings.MaxTimeout)
}

// StoreLatency returns how long the store's last answer to this instance took.
func (c *Chooser) StoreLatency() time.Duration { return c.storeLatency }
