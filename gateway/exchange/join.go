package exchange

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Delays of discovery. The pause between tries to read the list of instances or to write this
// instance's object doubles up to maxBackoff. Otherwise all instances would call a store that is
// down again and again.
const (
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2400 * time.Millisecond
	// maxReplyWait is how long an instance that starts waits for the others to reply to its hello.
	// They take 3 ms, and one that starts at the same moment somewhat longer. Callers that return
	// to a fleet that was killed wait for that time as well.
	maxReplyWait      = 25 * time.Millisecond
	replyPollInterval = 2 * time.Millisecond
	// relistIntervalPerInstance times the size of the fleet, and at least minRelistInterval, is the
	// time after which an instance reads the list again. That finds instances whose hello was lost.
	// A large fleet of any size thus reads the list about once a second.
	relistIntervalPerInstance = time.Second
	minRelistInterval         = 20 * time.Second
)

// joinFleet finds the other instances, and makes this one known to them.
//
// The store is not asked for routes and endpoints before discovery is done. Without that rule, 295
// instances that started at once and did not know of each other made 3,000 calls in two seconds,
// three quarters of the calls of 24 hours without faults.
func (x *Exchange) joinFleet(ctx context.Context) {
	defer x.finishDiscovery()
	registered, listed := x.discover(ctx)
	if registered || !listed || x.anyReady() {
		x.finishDiscovery()
	}
	if !listed {
		x.retry(ctx, func(ctx context.Context) bool {
			registered, listed = x.discover(ctx)
			return listed
		})
	}
	if !registered {
		x.retry(ctx, x.registerSelf)
		pause.For(ctx, minBackoff+rand.N(minBackoff)) // others may have registered at the same time
		x.retry(ctx, x.rediscover)
		x.finishDiscovery()
	}
	for i, after := range helloRetryDelays {
		pause.For(ctx, after)
		x.hello()
		if i == renewAtRetry {
			x.renewSelf()
		}
		x.askAnyForCrashes()
	}
	for ctx.Err() == nil {
		_, known := x.Instances()
		interval := max(relistIntervalPerInstance*time.Duration(known), minRelistInterval)
		pause.For(ctx, interval+rand.N(interval))
		x.retry(ctx, x.rediscover)
	}
}

// helloRetryDelays are the delays before hello is sent again to the instances that were not heard.
// Their replies may be among those that are lost when hundreds start at once.
var helloRetryDelays = []time.Duration{300 * time.Millisecond, 300 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond}

// renewAtRetry is the retry of hello at which this instance makes its entry known to all anew. When
// many instances start at once, those that spread its entry before may not have known all others.
const renewAtRetry = 1

// renewSelf spreads this instance's own entry under a new incarnation. Those that have spread the one
// before would not do so again.
func (x *Exchange) renewSelf() {
	if !x.currentRoster.Load().large() {
		return
	}
	x.mu.Lock()
	x.members.node.Renew()
	x.mu.Unlock()
	x.broadcastSelf()
}

// finishDiscovery closes the channel of DiscoveryDone, after the roster has taken in the instances
// that were heard. It may be called more than once.
func (x *Exchange) finishDiscovery() {
	x.refreshRoster()
	x.discoveryOnce.Do(func() { close(x.discoveryDone) })
}

// discover reads the list of instances, says hello to those that are not heard, and waits for their
// replies. It returns whether the list holds this instance's own entry as it should be, and whether
// the list could be read.
//
// The list may be old, which costs a tenth of a current one: an instance that has only just written
// its entry says hello itself.
func (x *Exchange) discover(ctx context.Context) (registered, listed bool) {
	page, err := x.Store.ListStale(ctx, platform.KindInstance)
	if err != nil {
		x.Log.WithError(err).Warn("cannot list instances yet; will retry")
		return false, false
	}
	x.Unusable.Listed(platform.KindInstance, page.Objects)
	registered, others := x.seedMembers(&page)
	if !registered && !others && x.Retries != nil {
		x.Retries.MergeHistory(x.process, nil, x.RetryWindow) // no instance has run before
	}
	if others {
		x.hello()
		x.awaitReplies(ctx)
	}
	return registered, true
}

// hello makes this instance known to those that are not heard, and asks for their entries.
func (x *Exchange) hello() {
	r := x.refreshRoster()
	unheard := r.unheard()
	if r.large() && (x.joins == 0 || float64(len(unheard)) > maxDirectShare*float64(r.knownCount)) && x.join(r) {
		return
	}
	x.sendMembers(peerv1.GossipKind_GOSSIP_KIND_HELLO, []membership.Member{x.ownMember()}, unheard...)
}

// maxDirectShare is the share of the known instances that may be asked directly. An instance sends
// the entries of all in as many datagrams as a tenth of them has instances.
const maxDirectShare = 0.1

// join asks a random instance of a large fleet, of this data centre at first, for the entries of
// all, and makes it spread the one of this instance. At the start the first spreader of the data
// centre is asked too. When many instances return, that one may know as little as this one. join
// returns false if no listed instance spreads entries, as in a fleet that runs an earlier build.
func (x *Exchange) join(r *roster) bool {
	if len(r.listedSpreaders) == 0 {
		return false
	}
	near := r.listedSpreaders
	if x.joins == 0 && len(r.listedSpreadersNear) > 0 {
		near = r.listedSpreadersNear
	}
	to := near[rand.IntN(len(near)):][:1]
	if first := r.otherSpreaders(r.self.DataCentre); x.joins == 0 && len(first) > 0 && first[0] != to[0] {
		to = []string{to[0], first[0]}
	}
	x.joins++
	x.askForAll(r, to...)
	return true
}

// rediscover finds instances that were added since. It returns whether the list could be read.
func (x *Exchange) rediscover(ctx context.Context) bool {
	_, listed := x.discover(ctx)
	return listed
}

// awaitReplies waits until an instance is heard that is ready, and one has told what was sent again and what endpoints
// can bear, at most for maxReplyWait.
func (x *Exchange) awaitReplies(ctx context.Context) {
	for deadline := x.Clock() + maxReplyWait; x.Clock() < deadline && !(x.anyReady() && (x.Retries == nil || x.historyHeard.Load())); {
		if !pause.For(ctx, replyPollInterval) {
			return
		}
	}
}

func (x *Exchange) anyReady() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.node.AnyOther(func(m *membership.Member) bool { return m.Ready && m.State == membership.Alive })
}

// retry calls try until it returns true or ctx ends, with random pauses that grow.
func (x *Exchange) retry(ctx context.Context, try func(context.Context) bool) {
	backoff := minBackoff
	for ctx.Err() == nil && !try(ctx) {
		pause.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// instanceEntry is an instance's object in the store.
type instanceEntry struct {
	Callers    string `json:"callers"`
	Peers      string `json:"peers"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Link is the bandwidth of the instance's link in Mbit/s; 0 if unknown.
	Link int `json:"link,omitempty"`
	// Spreads is set by instances that spread the entries of others.
	Spreads bool `json:"spreads,omitempty"`
}

// registerSelf writes this instance's entry to the store. It returns false where it should be tried
// again.
func (x *Exchange) registerSelf(ctx context.Context) bool {
	spec, err := json.Marshal(x.instanceEntryOf(&x.Self))
	if err != nil {
		x.Log.WithError(err).Error("cannot encode this instance's entry")
		return true
	}
	_, err = x.Store.Create(ctx, platform.KindInstance, x.Self.ID, spec)
	if platform.IsConflict(err) { // left by an earlier start
		_, err = x.Store.Replace(ctx, platform.KindInstance, x.Self.ID, spec, revision.Position{})
	}
	if err != nil {
		x.Log.WithError(err).Warn("cannot write this instance's entry yet; will retry")
	}
	return err == nil
}

// instanceEntryOf returns the entry of an instance. This instance spreads the entries of others.
func (x *Exchange) instanceEntryOf(p *Peer) instanceEntry {
	return instanceEntry{Callers: p.Callers, Peers: p.Peers, DataCentre: p.DataCentre, Region: p.Region, Link: p.Link, Spreads: p.Spreads || p.ID == x.Self.ID}
}

// seedMembers adds the listed instances to the members. It returns whether this instance's own
// entry is among them as it should be, and whether there are others.
func (x *Exchange) seedMembers(page *platform.Page) (registered, others bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range page.Objects {
		var e instanceEntry
		if err := json.Unmarshal(o.Spec, &e); err != nil {
			x.Unusable.Found(platform.KindInstance, &o, err, "the instance is left out")
			others = others || o.Name != x.Self.ID
			continue
		}
		x.Unusable.Gone(platform.KindInstance, o.Name)
		if o.Name == x.Self.ID {
			registered = e == x.instanceEntryOf(&x.Self)
			continue
		}
		if e.Peers == "" {
			continue
		}
		others = true
		x.members.node.Seed(x.membershipTime(), membership.Member{
			ID: o.Name, Address: e.Callers, PeerAddress: e.Peers, DataCentre: e.DataCentre, Region: e.Region, LinkMbps: e.Link, Spreads: e.Spreads,
		})
	}
	return registered, others
}
