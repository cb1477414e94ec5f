// Package relay lets instances follow each other in place of the platform's store, as core/source decides: what
// the store is asked grows with the number of data centres and not of instances.
//
// Failure modes: nothing is proved by an instance's word alone, since the age that it tells counts from the
// beginning of the call that asked for it. An instance that is cut off from the store answers those who wait for
// it at once, so that they follow another one before their own knowledge is too old.
package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/peers"
)

// Options of a relay.
type Options struct {
	// Settings say who this instance is and how many ask the store.
	Settings source.Settings
	Store    follow.Store
	Mirror   *follow.Mirror
	Others   func() []exchange.Peer
	Pool     *peers.Pool
	// Changed is called when the store stops or begins to answer this instance.
	Changed func()
	Clock   clock.Func
	Log     *logrus.Entry
}

// Relay asks the store, or another instance, and answers those that follow this one. It is safe for concurrent
// use.
type Relay struct {
	Options
	mu      sync.Mutex
	chooser *source.Chooser
	follows string
	// took is how long the store's answers take now: to this instance, or as the one that it follows tells.
	took time.Duration
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{Options: o, chooser: source.New(o.Settings), follows: unknown}
}

// unknown is followed before the first choice.
const unknown = "nobody yet"

// Source returns whom to ask next.
func (r *Relay) Source() follow.Source {
	others := r.Others()
	choice := r.choose(others)
	for i := range others {
		if others[i].ID == choice.Peer {
			return follow.Source{Store: &remote{r, choice.Peer, others[i].Peers}}
		}
	}
	return follow.Source{Store: &store{r, choice}, Direct: true}
}

func (r *Relay) choose(others []exchange.Peer) source.Choice {
	known := make([]source.Peer, len(others))
	for i := range others {
		p := &others[i]
		known[i] = source.Peer{ID: p.ID, DataCentre: p.DataCentre, Region: p.Region, Ready: p.Ready, StoreAccess: p.Store, LinkMbps: p.Link}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock()
	choice := r.chooser.Choose(now, known, rand.Float64())
	if !choice.Probe && choice.Peer != r.follows {
		r.Log.WithFields(logrus.Fields{"follows": choice.Peer, "before": r.follows, "cut_off": r.chooser.Access(now) == source.StoreUnreachable}).Info("source changed")
		r.follows = choice.Peer
	}
	return choice
}

// Follows returns the instance that is followed; empty for the store itself.
func (r *Relay) Follows() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follows
}

// Access tells whether the store answers this instance.
func (r *Relay) Access() source.Access {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.Access(r.Clock())
}

// staleFactor times what the store's answers take is how much older than in calm times knowledge may be that is
// passed on: a watch that ends with a change proves what was known when it began, and the next one takes as long.
const staleFactor = 2

// StaleMost is the most that a slow store adds, so that keys can still be served.
const StaleMost = time.Second

// Slack returns by how much knowledge may be older than in calm times, since the store is slow.
func (r *Relay) Slack() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(staleFactor*r.took, StaleMost)
}

func (r *Relay) tookMS() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint32(r.took.Milliseconds())
}

// storeTook takes how long the store's answers take now.
func (r *Relay) storeTook(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = d
}

// report hands an outcome to the chooser, and tells when the store stops or begins to answer this instance.
func (r *Relay) report(take func(c *source.Chooser, now time.Duration)) {
	r.mu.Lock()
	now := r.Clock()
	before := r.chooser.Access(now)
	take(r.chooser, now)
	access := r.chooser.Access(now)
	r.mu.Unlock()
	if access == before {
		return
	}
	r.Changed()
	if access == source.StoreUnreachable {
		r.Mirror.Interrupt()
	}
}
