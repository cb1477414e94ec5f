package source

import (
	"slices"
	"time"

	"github.com/agateway/agateway/core/rendezvous"
)

// Peer is another instance that is heard from.
type Peer struct {
	ID, DataCentre string
	// Ready tells that it knows a configuration to be in force: what it passes on is fresh.
	Ready bool
	// Store tells whether the store answers it.
	Store Access
}

// Access says whether the store answers an instance.
type Access int

// What is known of an instance's access to the store.
const (
	// Unknown: it follows another instance and has not asked the store lately.
	Unknown Access = iota
	Answered
	CutOff
)

// Settings of a chooser. The zero value is not usable; see [DefaultSettings].
type Settings struct {
	// Self is the name of this instance, DataCentre where it runs.
	Self, DataCentre string
	// Roots is how many instances of a cell ask the store, and Cell how many data centres make a cell.
	Roots, Cell int
	// Fanout is how many instances follow the same one.
	Fanout int
	// PatienceLeast and PatienceMost bound how long the store may take for an answer, besides what the call
	// itself waits for. It is given more each time that it fails, PatienceFailing at the most: an outage in which it
	// says nothing ends that much later.
	PatienceLeast, PatienceFailing, PatienceMost time.Duration
	// ProbeFirst is how long after a failure the store is asked again. It doubles with each failure up to
	// ProbeMost, but for the instance that ranks first.
	ProbeFirst, ProbeMost time.Duration
	// LeftOut is how long an instance that was of no use is not asked.
	LeftOut time.Duration
	// OwnTry is how often an instance asks the store while it answers nobody, as a share of its calls.
	OwnTry float64
}

// DefaultSettings returns the settings used by the daemon.
//
// A store that falls silent is noticed after a watch of 0.9 s and PatienceLeast, so that another instance is asked
// before knowledge is 1.5 s old. Eight that follow the same one keep what a change of
// 200 kB costs an instance with 10 Mbit/s within its share of two seconds, and make two levels of 73 instances.
// LeftOut is as long as an instance that died takes to be left out of the announcements.
func DefaultSettings() Settings {
	return Settings{
		Roots: 1, Cell: 1, Fanout: 8,
		PatienceLeast: 500 * time.Millisecond, PatienceFailing: time.Second, PatienceMost: 2500 * time.Millisecond,
		ProbeFirst: 2 * time.Second, ProbeMost: 30 * time.Second,
		LeftOut: 3 * time.Second, OwnTry: 1.0 / 16,
	}
}

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
	// cell holds the data centres of this instance's cell.
	cell map[string]bool
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

// StoreAnswered takes an answer of the store, and how long it took besides what the call waited for.
func (c *Chooser) StoreAnswered(now, took time.Duration) {
	c.cutOff, c.failures, c.took, c.answeredAt = false, 0, took, now
}

// StoreFailed takes that the store did not answer, or refused.
func (c *Chooser) StoreFailed(now time.Duration) {
	c.cutOff, c.triedAt = true, now
	c.failures++
}

// PeerSilent takes that an instance did not answer.
func (c *Chooser) PeerSilent(now time.Duration, id string) { c.silent[id] = now + c.set.LeftOut }

// PeerUseless takes that an instance answered, but is cut off itself or knows nothing fresh.
func (c *Chooser) PeerUseless(now time.Duration, id string) { c.useless[id] = now + c.set.LeftOut }

// Choose returns whom to ask now. peers are the instances that are heard from, and chance is a random number
// from 0 to 1.
func (c *Chooser) Choose(now time.Duration, peers []Peer, chance float64) Choice {
	c.forgive(now)
	c.findCell(peers)
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

// asRoot asks the store for those who follow. Where another instance of the cell is cut off, this one
// may be so too: unless it was answered lately, it follows one of another cell that is answered, and probes
// the store meanwhile. Else a cell that is cut off as a whole would hear nothing until each of its instances
// had found out for itself.
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

// far returns the instances of other cells that are worth following: those that the store answers, or any.
func (c *Chooser) far(peers []Peer) []string {
	if answered := c.farAnswered(peers); len(answered) > 0 {
		return answered
	}
	return c.ranked(peers, func(p *Peer) bool { return !c.near(p) && c.follows(p) }, false)
}

func (c *Chooser) farAnswered(peers []Peer) []string {
	return c.ranked(peers, func(p *Peer) bool { return !c.near(p) && c.follows(p) && p.Store == Answered }, false)
}

// probe asks the store whether it answers, once for all that is followed.
func (c *Chooser) probe(now time.Duration) Choice {
	c.triedAt = now
	return Choice{Patience: c.patience(), Probe: true}
}

// anyOf spreads the instances that follow others without a place in their tree.
func (c *Chooser) anyOf(ids []string) Choice {
	return Choice{Peer: rendezvous.Rank(c.set.Self, ids, 1)[0]}
}

// near tells whether an instance is of the own cell.
func (c *Chooser) near(p *Peer) bool { return c.cell[p.DataCentre] }

// findCell joins the data centres that are heard of to cells, in the order of their names. Instances that have not heard
// of the same ones for a moment disagree, which does no harm: each follows one that ranks higher.
func (c *Chooser) findCell(peers []Peer) {
	all := []string{c.set.DataCentre}
	for i := range peers {
		all = append(all, peers[i].DataCentre)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	size := max(c.set.Cell, 1)
	first := slices.Index(all, c.set.DataCentre) / size * size
	c.cell = map[string]bool{}
	for _, name := range all[first:min(first+size, len(all))] {
		c.cell[name] = true
	}
}

// forgive lets instances be asked again whose time is over.
func (c *Chooser) forgive(now time.Duration) {
	for _, out := range []map[string]time.Duration{c.silent, c.useless} {
		for id, until := range out {
			if now >= until {
				delete(out, id)
			}
		}
	}
}

// follows tells whether an instance is worth following.
func (c *Chooser) follows(p *Peer) bool {
	return p.Ready && p.Store != CutOff && c.useless[p.ID] == 0
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

// ranked returns the instances that fit, and this one where it counts, in the order that all agree on.
func (c *Chooser) ranked(peers []Peer, fits func(*Peer) bool, self bool) []string {
	ids := make([]string, 0, len(peers)+1)
	for i := range peers {
		if c.silent[peers[i].ID] == 0 && fits(&peers[i]) {
			ids = append(ids, peers[i].ID)
		}
	}
	if self {
		ids = append(ids, c.set.Self)
	}
	return rendezvous.Rank("source", ids, len(ids))
}

// asksStore tells whether this instance is among the first of a ranked tree.
func (c *Chooser) asksStore(ranked []string) bool {
	at := slices.Index(ranked, c.set.Self)
	return at >= 0 && at < c.set.Roots
}

// above returns whom this instance follows in a ranked tree. One that is not in it follows as if it were last.
func (c *Chooser) above(ranked []string) string {
	at := slices.Index(ranked, c.set.Self)
	if at < 0 {
		at = len(ranked)
	}
	return ranked[max(at-c.set.Roots, 0)/c.set.Fanout]
}

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
