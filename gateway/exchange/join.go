package exchange

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Pauses between tries to read the list of instances and to write the own object: they double up to joinMost, since a
// store that is away would else be asked by each instance again and again.
const (
	joinPause = 300 * time.Millisecond
	joinMost  = 2400 * time.Millisecond
	// gatherMost is how long an instance that starts waits for the others to answer its hello; they take 3 ms, and one
	// that starts at the same moment some more. Callers who come back to a fleet that was killed wait for that as well.
	gatherMost = 25 * time.Millisecond
	gatherStep = 2 * time.Millisecond
	// rejoinEvery times the size of the fleet is the time after which an instance reads the list again: one whose hello
	// was lost is found by it. A fleet of any size so reads the list about once a second.
	rejoinEvery = time.Second
	rejoinLeast = 20 * time.Second
)

// join finds the others, and makes this instance known to them.
//
// Nobody asks the store for routes and endpoints before: 295 instances that started at once and did not know of each other
// made 3,000 calls in two seconds, three in four of a calm day.
func (x *Exchange) join(ctx context.Context) {
	defer x.meet()
	own, read := x.find(ctx)
	if own || !read || x.anyReady() {
		x.meet()
	}
	if !read {
		x.until(ctx, func(ctx context.Context) bool {
			own, read = x.find(ctx)
			return read
		})
	}
	if !own {
		x.until(ctx, x.register)
		pause.For(ctx, joinPause+rand.N(joinPause)) // others may have come at the same time
		x.until(ctx, x.findAgain)
		x.meet()
	}
	for _, after := range helloAgain {
		pause.For(ctx, after)
		x.hello()
		x.askSomeCrashes()
	}
	for ctx.Err() == nil {
		_, known := x.Instances()
		every := max(rejoinEvery*time.Duration(known), rejoinLeast)
		pause.For(ctx, every+rand.N(every))
		x.until(ctx, x.findAgain)
	}
}

// helloAgain is when those are greeted again who were not heard: their answers may be among those that are lost when hundreds
// start at once.
var helloAgain = []time.Duration{300 * time.Millisecond, time.Second}

// meet lets others of this instance ask those that were heard.
func (x *Exchange) meet() {
	x.refresh()
	x.metOnce.Do(func() { close(x.met) })
}

// find reads the list of instances, says hello to those that are not heard, and waits for their answers. It tells whether this
// instance's own entry is there as it should be, and whether the list was to be had.
//
// The list may be old, which costs a tenth: whoever wrote its entry just before says hello itself.
func (x *Exchange) find(ctx context.Context) (own, read bool) {
	page, err := x.Store.ListStale(ctx, platform.KindInstance)
	if err != nil {
		x.Log.WithError(err).Warn("list of instances not read yet")
		return false, false
	}
	own, others := x.seed(&page)
	if others {
		x.hello()
		x.gather(ctx)
	}
	return own, true
}

// hello tells all that are not heard that this instance is there, and asks them to say the same.
func (x *Exchange) hello() {
	r := x.refresh()
	heard := map[string]bool{}
	for i := range r.alive {
		heard[r.alive[i].ID] = true
	}
	var to []net.Addr
	for id, address := range r.addresses {
		if !heard[id] {
			to = append(to, address)
		}
	}
	x.tell(peerv1.GossipKind_GOSSIP_KIND_HELLO, []membership.Member{x.ownEntry()}, to...)
}

// findAgain finds instances that came since.
func (x *Exchange) findAgain(ctx context.Context) bool {
	_, read := x.find(ctx)
	return read
}

// gather waits until an instance is heard that is ready, or until all that start now should have been heard.
func (x *Exchange) gather(ctx context.Context) {
	for until := x.Clock() + gatherMost; x.Clock() < until && !x.anyReady(); {
		if !pause.For(ctx, gatherStep) {
			return
		}
	}
}

func (x *Exchange) anyReady() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members.node.AnyOther(func(m *membership.Member) bool { return m.Ready && m.State == membership.Alive })
}

// until tries until something works.
func (x *Exchange) until(ctx context.Context, try func(context.Context) bool) {
	backoff := joinPause
	for ctx.Err() == nil && !try(ctx) {
		pause.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, joinMost)
	}
}

// entry is this instance's object in the store.
type entry struct {
	Callers    string `json:"callers"`
	Peers      string `json:"peers"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

func (x *Exchange) register(ctx context.Context) bool {
	spec, err := json.Marshal(x.entry())
	if err != nil {
		x.Log.WithError(err).Error("own entry can't be encoded")
		return true
	}
	_, err = x.Store.Create(ctx, platform.KindInstance, x.Self.ID, spec)
	if platform.IsConflict(err) { // from an earlier start
		_, err = x.Store.Replace(ctx, platform.KindInstance, x.Self.ID, spec, 0)
	}
	if err != nil {
		x.Log.WithError(err).Warn("own entry not written yet")
	}
	return err == nil
}

// entry returns this instance's own entry.
func (x *Exchange) entry() entry {
	return entry{x.Self.Callers, x.Self.Peers, x.Self.DataCentre, x.Self.Region}
}

// seed takes the entries of all instances. It tells whether this one's is among them as it should be, and whether there
// are others.
func (x *Exchange) seed(page *platform.Page) (own, others bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, o := range page.Objects {
		var e entry
		if err := json.Unmarshal(o.Spec, &e); err != nil {
			x.Log.WithError(err).WithField("peer", o.Name).Warn("entry of an instance can't be read")
			continue
		}
		if o.Name == x.Self.ID {
			own = e == x.entry()
			continue
		}
		if e.Peers == "" {
			continue
		}
		others = true
		x.members.node.Seed(x.time(), membership.Member{ID: o.Name, Address: e.Callers, PeerAddress: e.Peers, DataCentre: e.DataCentre, Region: e.Region})
	}
	return own, others
}
