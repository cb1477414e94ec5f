// Package relay reads the platform's store through other instances, and serves what this instance
// has read to those that follow it. Package core/source decides which source is read. So the number
// of calls to the store grows with the number of regions and not with the number of instances.
//
// Invariant: data of another instance never counts as newer than it is. The time at which it was
// current is computed from the start of the call on this instance's own clock. So neither the clock
// of the other instance nor a delayed answer can make it newer.
//
// Failure modes: when the store stops answering an instance, the instance ends the watches of its
// followers at once, so that they choose another source before their own data is too old. An
// instance whose data is too old answers that it is stale. While no instance has fresh data, followers
// wait at the one that they follow, and get the data as soon as it has it. The first answer of a source
// after failures ends the calls and pauses of the loops for other kinds.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/peers"
	"github.com/agateway/agateway/platform"
)

// Store is the platform's store.
type Store interface {
	List(ctx context.Context, kind string) (platform.Page, error)
	// Watch watches from a revision of the store's current era.
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error)
}

// Options configure a [Relay].
type Options struct {
	// Settings name this instance, and say how many instances ask the store.
	Settings source.Settings
	Store    Store
	Mirror   *follow.Mirror
	// Others returns the other instances that are alive.
	Others func() []exchange.Peer
	Pool   *peers.Pool
	// AccessChanged is called when the outcome of a call changes [Relay.Access].
	AccessChanged func()
	// Regained tells that a source answers again after calls have failed.
	Regained *pause.Signal
	// EraChanged is called when the store is found to have returned from an older copy.
	EraChanged func(era uint64)
	Clock      clock.Func
	Log        *logrus.Entry
}

// Relay reads from the store or from another instance. It is safe for concurrent use.
type Relay struct {
	Options
	mu      sync.Mutex
	chooser *source.Chooser
	// follows is the ID of the instance that is followed; empty for the store.
	follows string
	// storeLatency is how long the store's last answer took, to this instance or to the one at the
	// root of the chain that it follows.
	storeLatency time.Duration
	// era is the newest era of the store that is known, and eraChanged is set once it was another one.
	era        uint64
	eraChanged bool
	// ranked are the other instances in the order of their rank, and rankedFrom is the first element
	// of the slice that they come from.
	ranked     []source.Peer
	rankedFrom *exchange.Peer
}

// New returns a relay that has not chosen a source yet.
func New(o Options) *Relay {
	return &Relay{Options: o, chooser: source.New(o.Settings), follows: notChosen}
}

// acceptsEra takes the era of an answer, and reports whether it is the newest one known. An answer that
// states none comes from an instance of an earlier build. It is taken for one of the newest era as long
// as no other one was known: such an instance does not notice that the store has returned from a copy.
func (r *Relay) acceptsEra(page *platform.Page) bool {
	accepted, changed := r.takeEra(page)
	if changed {
		r.EraChanged(page.Era)
	}
	return accepted
}

func (r *Relay) takeEra(page *platform.Page) (accepted, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case page.Era > r.era:
		changed = r.era > 0
		r.eraChanged = r.eraChanged || changed
		r.era = page.Era
	case page.Era == 0 && !r.eraChanged:
		page.Era = r.era
	case page.Era < r.era:
		return false, false
	}
	return true, changed
}

// Era returns the newest era of the store that is known; 0 if none is.
func (r *Relay) Era() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// notChosen is the value of Relay.follows before the first choice. Operators see it as it is.
const notChosen = "nobody yet"

// Source returns where to read next.
func (r *Relay) Source() follow.Source {
	others := r.Others()
	choice := r.choose(others)
	for i := range others {
		if others[i].ID == choice.Peer {
			return follow.Source{Store: &peerStore{relay: r, id: choice.Peer, address: others[i].Peers, awaitFresh: choice.AwaitFresh}}
		}
	}
	return follow.Source{Store: &directStore{r, choice}, Direct: true}
}

// maxFirstReady and maxFirstOthers are how many instances that serve callers, and how many others, are
// tried as the source of the first list. When a whole fleet starts, nobody knows anything.
const maxFirstReady, maxFirstOthers = 6, 2

// First returns another instance of this region to try as the source of the first list; false after the
// last one.
func (r *Relay) First(tried int) (follow.Source, bool) {
	var ready, others []exchange.Peer
	for _, p := range r.Others() {
		switch {
		case p.Region != r.Settings.Region:
		case p.Ready:
			ready = append(ready, p)
		default:
			others = append(others, p)
		}
	}
	all := append(ready[:min(len(ready), maxFirstReady)], others[:min(len(others), maxFirstOthers)]...)
	if tried >= len(all) {
		return follow.Source{}, false
	}
	p := &all[tried]
	return follow.Source{Store: &peerStore{relay: r, id: p.ID, address: p.Peers, anyAge: true}, First: true}, true
}

func (r *Relay) choose(others []exchange.Peer) source.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock()
	choice := r.chooser.Choose(now, r.rankedPeers(others), rand.Float64())
	if !choice.Probe && choice.Peer != r.follows {
		r.Log.WithFields(logrus.Fields{"follows": choice.Peer, "before": r.follows, "cut_off": r.chooser.Access(now) == source.StoreUnreachable}).Info("source changed")
		r.follows = choice.Peer
	}
	return choice
}

// rankedPeers returns the other instances in the order of their rank. It keeps the result while the
// caller passes the same slice, which never changes. The caller holds mu.
func (r *Relay) rankedPeers(others []exchange.Peer) []source.Peer {
	if len(others) == 0 {
		return nil
	}
	if len(others) == len(r.ranked) && &others[0] == r.rankedFrom {
		return r.ranked
	}
	known := make([]source.Peer, len(others))
	for i := range others {
		p := &others[i]
		known[i] = source.Peer{ID: p.ID, DataCentre: p.DataCentre, Region: p.Region, Ready: p.Ready, StoreAccess: p.Store, LinkMbps: p.Link}
	}
	r.ranked, r.rankedFrom = source.Ranked(known), &others[0]
	return r.ranked
}

// Follows returns the ID of the instance that is followed. It is empty for the store itself, and
// "nobody yet" before the first choice.
func (r *Relay) Follows() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follows
}

// Access returns whether the store answers this instance.
func (r *Relay) Access() source.Access {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.Access(r.Clock())
}

// slackFactor is how many times the store's latency is added to the age that served data may have.
// A watch that ends with a change only shows that the data was the newest when the watch began, and
// the next watch takes as long again.
const slackFactor = 2

// MaxSlack bounds [Relay.Slack], since requests with keys are refused if the configuration is too
// old.
const MaxSlack = time.Second

// Slack returns how much older than usual served data may be because the store is slow.
func (r *Relay) Slack() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(slackFactor*r.storeLatency, MaxSlack)
}

func (r *Relay) storeLatencyMS() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint32(r.storeLatency.Milliseconds())
}

// setStoreLatency records how long the store's last answer took.
func (r *Relay) setStoreLatency(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLatency = d
}

// report calls record with the chooser. If that changes whether the store answers this instance, it
// calls AccessChanged, and ends the waiting watches of followers if the store has stopped
// answering.
func (r *Relay) report(record func(c *source.Chooser, now time.Duration)) {
	r.mu.Lock()
	now := r.Clock()
	before := r.chooser.Access(now)
	record(r.chooser, now)
	access := r.chooser.Access(now)
	r.mu.Unlock()
	if access == before {
		return
	}
	r.AccessChanged()
	if access == source.StoreUnreachable {
		r.Mirror.Interrupt()
	}
}
