package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/reachability"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/platform"
)

// storeList is the list of instances in the store.
type storeList struct {
	mu      sync.Mutex
	objects map[string]json.RawMessage
	calls   int
}

func (l *storeList) ListStale(context.Context, string) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var page platform.Page
	for _, name := range slices.Sorted(maps.Keys(l.objects)) {
		page.Objects = append(page.Objects, platform.Object{Name: name, Spec: l.objects[name]})
	}
	return page, nil
}

func (l *storeList) Create(_ context.Context, _, name string, spec json.RawMessage) (platform.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.objects[name] = spec
	l.calls++
	return platform.Object{Name: name, Spec: spec}, nil
}

func (l *storeList) Replace(ctx context.Context, kind, name string, spec json.RawMessage, _ revision.Position) (platform.Object, error) {
	return l.Create(ctx, kind, name, spec)
}

// lose drops an entry, as a store does that returns from an older copy.
func (l *storeList) lose(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.objects, name)
}

// count returns the numbers of entries and of writes so far.
func (l *storeList) count() (entries, writes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.objects), l.calls
}

// node is one instance of a test fleet: its exchange, and what it knows of endpoints and requests.
type node struct {
	*Exchange
	index int
	ready atomic.Bool
	// access is a reachability.Access.
	access atomic.Int64
	stop   context.CancelFunc
	log    *logrus.Logger

	mu         sync.Mutex
	report     routing.PeerReport
	counts     map[string]limits.RetryCounts
	view       *routing.View
	peerCounts map[string]map[string]limits.RetryCounts

	crashes crashRecorder
}

// crashRecorder implements Crashes. It records the requests that facts were received about.
type crashRecorder struct {
	mu       sync.Mutex
	own      []crashers.Fact
	heard    map[crashers.Subject]time.Time
	complete bool
}

func (r *crashRecorder) Heard(_ string, facts []crashers.Fact, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = r.complete || complete
	for i := range facts {
		if r.heard == nil {
			r.heard = map[crashers.Subject]time.Time{}
		}
		r.heard[facts[i].Subject] = time.Now()
	}
}

func (r *crashRecorder) Facts() ([]crashers.Fact, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own, r.complete
}

func (r *crashRecorder) Forget(string) {}

// setOwn sets the facts that the instance tells when it is asked.
func (r *crashRecorder) setOwn(facts ...crashers.Fact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own = facts
}

func (r *crashRecorder) knows(req crashers.Subject) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.heard[req]
	return ok
}

func (n *node) OwnReport() routing.PeerReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.report
}

func (n *node) ownCounts() map[string]limits.RetryCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := make(map[string]limits.RetryCounts, len(n.counts))
	for service, c := range n.counts { // a test takes less time than the window
		c.RecentRequests, c.RecentRetries = c.Requests, c.Retries
		counts[service] = c
	}
	return counts
}

func (n *node) SetPeerReport(instance string, report routing.PeerReport, counts map[string]limits.RetryCounts) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetPeerReport(time.Now(), instance, report)
	n.peerCounts[instance] = counts
}

func (n *node) SetPeerCounts(instance string, counts map[string]limits.RetryCounts) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerCounts[instance] = counts
}

func (n *node) SetOwned(owned func(string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.SetOwned(owned)
}

func (n *node) Claim(endpoint, peer string, c routing.Claim) routing.Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Claim(time.Now(), endpoint, peer, c)
}

func (n *node) ReleaseRoom(endpoint string, l admission.Lease, o admission.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.ReleaseRoom(time.Now(), endpoint, l, o)
}

func (n *node) DropLeases(instance string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.DropLeases(instance)
}

func (n *node) KnownLimits() map[string]admission.Statement {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.KnownLimits()
}

func (n *node) ReportLimits(limits map[string]admission.Statement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.ReportLimits(limits)
}

func (n *node) Summary(endpoint, asking string, prompt uint64) (routing.Summary, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Summary(time.Now(), endpoint, asking, prompt)
}

func (n *node) ApplySummary(s *routing.Summary, prompt uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.ApplySummary(time.Now(), s, prompt)
}

// peerRetries returns the retries of all data centres, as this instance received them.
func (n *node) peerRetries() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := uint64(0)
	for _, counts := range n.peerCounts {
		sum += counts["s"].Retries
	}
	return sum
}

// fleet is a set of instances on a network in memory, in virtual time.
type fleet struct {
	*testing.T
	net   *memnet.Net
	began time.Time
	store *storeList
	nodes []*node
}

const fleetDataCentres = 5

// runFleet starts n instances, gives them five seconds to find each other, and runs f. With listed
// set, the store lists them all before the start.
func runFleet(t *testing.T, n int, listed bool, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fleet{T: t, net: memnet.New(), began: time.Now(), store: &storeList{objects: map[string]json.RawMessage{}}}
		for i := range n {
			if listed {
				w.addToStore(i)
			}
		}
		for i := range n {
			w.start(i)
		}
		defer func() {
			for _, node := range w.nodes {
				node.stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(5 * time.Second)
		f(w)
	})
}

func peersAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:83", i/250, i%250+1) }

func (w *fleet) peer(i int) Peer {
	p := Peer{
		ID: fmt.Sprintf("front-hall-%d-%d", i%fleetDataCentres, i), Callers: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Peers: peersAddress(i),
		DataCentre: fmt.Sprint("hall-", i%fleetDataCentres), Region: "south", Link: 20,
	}
	if i < 3*fleetDataCentres {
		p.Link = 200
	}
	return p
}

func (w *fleet) addToStore(i int) {
	s := w.peer(i)
	raw, err := json.Marshal(instanceEntry{s.Callers, s.Peers, s.DataCentre, s.Region, s.Link, true})
	assert.NilError(w, err)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.objects[s.ID] = raw
}

// start starts an instance for the first time or again.
func (w *fleet) start(i int) *node {
	name := fmt.Sprint("f", i)
	w.net.SetCrashed(name, false)
	conn, err := w.net.Node(name).ListenPacket(peersAddress(i))
	assert.NilError(w, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{index: i, log: log, counts: map[string]limits.RetryCounts{}, view: routing.NewView(routing.DefaultSettings()), peerCounts: map[string]map[string]limits.RetryCounts{}}
	n.ready.Store(true)
	n.Exchange = New(Options{
		Self: w.peer(i), Conn: conn, Store: w.store, Ready: n.ready.Load, StoreAccess: func() source.Access { return source.StoreUnknown },
		EndpointAccess: func() reachability.Access { return reachability.Access(n.access.Load()) },
		Endpoints:      n, Crashes: &n.crashes, ServiceCounts: n.ownCounts, Clock: func() time.Duration { return time.Since(w.began) + time.Hour },
		Log: logrus.NewEntry(log), Scope: tally.NewTestScope("", nil),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.Run(ctx)
	if i < len(w.nodes) {
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	return n
}

// kill ends an instance without letting it say that it leaves.
func (w *fleet) kill(i int) {
	w.net.SetCrashed(fmt.Sprint("f", i), true)
	w.nodes[i].stop()
}

func (n *node) knows(id string) bool {
	return slices.ContainsFunc(n.Others(), func(p Peer) bool { return p.ID == id })
}

// timeUntil returns how long it takes until all instances but those in except agree, or limit where
// they don't.
func (w *fleet) timeUntil(limit time.Duration, agreed func(*node) bool, except ...int) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		if !slices.ContainsFunc(w.nodes, func(n *node) bool { return !slices.Contains(except, n.index) && !agreed(n) }) {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return limit
}

// datagrams returns how many datagrams and bytes all instances have sent.
func (w *fleet) datagrams() (count, bytes int64) {
	for _, n := range w.nodes {
		for _, c := range n.Scope.(tally.TestScope).Snapshot().Counters() {
			switch c.Name() {
			case "datagrams_sent_total":
				count += c.Value()
			case "datagram_bytes_sent_total":
				bytes += c.Value()
			}
		}
	}
	return count, bytes
}
