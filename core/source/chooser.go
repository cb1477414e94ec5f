package source

import (
	"slices"
	"time"

	"github.com/agateway/agateway/core/rendezvous"
)

// Choice is whom to ask.
type Choice struct {
	// Peer is the instance to follow; empty for the store itself.
	Peer string
	// Patience is how long the store may take, besides what the call waits for. It is 0 for an instance.
	Patience time.Duration
	// Probe tells that the store is asked to find out whether it answers: the call should not wait.
	Probe bool
}

// Chooser is the state of one instance.
type Chooser struct {
	set Settings
	// cutOff tells that the store did not answer the last call to it.
	cutOff bool
	// failures counts its failures in a row, and triedAt is when it was asked last while it failed.
	failures int
	triedAt  time.Duration
	// took is how long its last answer took, and answeredAt when that came.
	took, answeredAt time.Duration
	// doubting tells that this instance would ask the store, but doubts that it is answered.
	doubting bool
	// starting tells that no instance is ready: the whole fleet starts, and those that know nothing yet are followed.
	starting bool
	// silent and useless hold until when instances are left out.
	silent, useless map[string]time.Duration
}

// New returns a chooser that takes the store for reachable.
func New(s Settings) *Chooser {
	return &Chooser{set: s, silent: map[string]time.Duration{}, useless: map[string]time.Duration{}}
}

// Access tells whether the store answers this instance.
func (c *Chooser) Access(now time.Duration) Access {
	switch {
	case c.cutOff:
		return CutOff
	case c.answeredAt > 0 && now-c.answeredAt < c.set.ProbeFirst:
		return Answered
	}
	return Unknown
}

// StoreAnswered records an answer of the store. took is how long it took, less the time that the call itself waited.
func (c *Chooser) StoreAnswered(now, took time.Duration) {
	c.cutOff, c.failures, c.took, c.answeredAt = false, 0, took, now
}

// StoreFailed records that the store refused a call or did not answer it.
func (c *Chooser) StoreFailed(now time.Duration) {
	c.cutOff, c.triedAt = true, now
	c.failures++
}

// PeerSilent records that an instance did not answer.
func (c *Chooser) PeerSilent(now time.Duration, id string) { c.silent[id] = now + c.set.LeftOut }

// PeerUseless records that an instance answered, but is cut off itself or knows nothing fresh.
func (c *Chooser) PeerUseless(now time.Duration, id string) { c.useless[id] = now + c.set.LeftOut }

// Choose returns whom to ask now. peers are the other instances that are alive, and chance is a random number from 0
// to 1.
func (c *Chooser) Choose(now time.Duration, peers []Peer, chance float64) Choice {
	c.readmit(now)
	c.starting = !slices.ContainsFunc(peers, func(p Peer) bool { return p.Ready })
	if c.cutOff && c.probeDue(now, peers) {
		return c.probe(now)
	}
	near := c.ranked(peers, func(p *Peer) bool { return c.near(p) && c.follows(p) }, !c.cutOff)
	switch {
	case c.asksStore(near):
		return c.asRoot(now, peers)
	case len(near) > 0:
		c.doubting = false
		return Choice{Peer: c.above(near)}
	}
	if far := c.far(peers); len(far) > 0 {
		return c.anyOf(far)
	}
	all := c.ranked(peers, c.near, true)
	if c.asksStore(all) || chance < c.set.OwnTry {
		return Choice{Patience: c.patience()}
	}
	return Choice{Peer: c.above(all)}
}

// asRoot asks the store, on behalf of all that follow this instance. Where the store does not answer another instance of
// the region, it may not answer this one either: unless it did so lately, this instance follows one of another region that
// is answered, and probes the store meanwhile. Otherwise a region that is cut off as a whole would hear nothing until each
// of its instances had found out for itself.
func (c *Chooser) asRoot(now time.Duration, peers []Peer) Choice {
	doubtful := c.Access(now) != Answered && slices.ContainsFunc(peers, func(p Peer) bool { return c.near(&p) && p.Store == CutOff })
	answered := c.farAnswered(peers)
	if !doubtful || len(answered) == 0 {
		c.doubting = false
		return Choice{Patience: c.patience()}
	}
	if !c.doubting {
		c.doubting, c.triedAt = true, now
	}
	if now >= c.triedAt+c.set.ProbeFirst {
		return c.probe(now)
	}
	return c.anyOf(answered)
}

// far returns the instances of other regions that are worth following: those that the store answers, or any.
func (c *Chooser) far(peers []Peer) tree {
	if answered := c.farAnswered(peers); len(answered) > 0 {
		return answered
	}
	return c.ranked(peers, func(p *Peer) bool { return !c.near(p) && c.follows(p) }, false)
}

func (c *Chooser) farAnswered(peers []Peer) tree {
	return c.ranked(peers, func(p *Peer) bool { return !c.near(p) && c.follows(p) && p.Store == Answered }, false)
}

// probe asks the store whether it answers, once for all that is followed.
func (c *Chooser) probe(now time.Duration) Choice {
	c.triedAt = now
	return Choice{Patience: c.patience(), Probe: true}
}

// anyOf chooses one of some instances by a hash, so that those which follow outside of their own tree spread evenly.
func (c *Chooser) anyOf(some tree) Choice {
	ids := make([]string, len(some))
	for i := range some {
		ids[i] = some[i].ID
	}
	return Choice{Peer: rendezvous.Rank(c.set.Self, ids, 1)[0]}
}

// near tells whether an instance is of the own region.
func (c *Chooser) near(p *Peer) bool { return p.Region == c.set.Region }

// readmit lets instances be asked again that were left out for long enough.
func (c *Chooser) readmit(now time.Duration) {
	for _, out := range []map[string]time.Duration{c.silent, c.useless} {
		for id, until := range out {
			if now >= until {
				delete(out, id)
			}
		}
	}
}

// follows tells whether an instance is worth following. While the whole fleet starts, those that are not ready are: they
// let their followers wait until they know something, so that one instance asks the store and not each of them.
func (c *Chooser) follows(p *Peer) bool {
	return (p.Ready || c.starting) && p.Store != CutOff && c.useless[p.ID] == 0
}

// probeDue tells whether an instance that is cut off asks the store again. One that would ask it for all does so
// often.
func (c *Chooser) probeDue(now time.Duration, peers []Peer) bool {
	wait := min(c.set.ProbeFirst<<min(c.failures-1, 10), c.set.ProbeMost)
	if wait > c.set.ProbeFirst {
		if c.asksStore(c.ranked(peers, c.near, true)) {
			wait = c.set.ProbeFirst
		}
	}
	return now >= c.triedAt+wait
}

// ranked returns the tree of the instances that fit, with this one where self is set.
func (c *Chooser) ranked(peers []Peer, fits func(*Peer) bool, self bool) tree {
	some := make([]Peer, 0, len(peers)+1)
	for i := range peers {
		if c.silent[peers[i].ID] == 0 && fits(&peers[i]) {
			some = append(some, peers[i])
		}
	}
	if self {
		some = append(some, Peer{ID: c.set.Self, DataCentre: c.set.DataCentre, Link: c.set.Link})
	}
	return rank(some)
}

// asksStore tells whether this instance is among the first of a tree.
func (c *Chooser) asksStore(t tree) bool {
	at := t.place(c.set.Self)
	return at >= 0 && at < c.set.Roots
}

// above returns whom this instance follows in a tree.
func (c *Chooser) above(t tree) string { return t.above(&c.set) }

// slowFactor times the store's last answer is what the next one may take: one that has become slow is not given
// up for it.
const slowFactor = 3

// patience returns how long the store may take.
func (c *Chooser) patience() time.Duration {
	p := max(c.set.PatienceLeast, slowFactor*c.took)
	if c.failures > 0 {
		p = max(p, min(c.set.PatienceLeast<<min(c.failures, 10), c.set.PatienceFailing))
	}
	return min(p, c.set.PatienceMost)
}

// Took returns how long the store's last answer to this instance took.
func (c *Chooser) Took() time.Duration { return c.took }
