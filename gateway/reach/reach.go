// Package reach watches whether this instance can reach the endpoints. It feeds the failures and
// contacts of requests to core/reachability, probes endpoints when that asks for it, and while the
// instance is cut off, to find out when the cut ends.
//
// A probe is a new connection on which nothing is sent. It has reached its endpoint if the
// connection stays open for a moment: something in between may accept connections and reset them.
package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/reachability"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/pause"
)

const (
	// probesPerRound is how many endpoints a round probes, and firstProbes how many the first round
	// of a check does: one of them is reached nearly always, and connections to endpoints are dear.
	probesPerRound = 5
	firstProbes    = 2
	// probeInterval is the time between two rounds while the instance is cut off.
	probeInterval = 250 * time.Millisecond
	// openTime is how long a probe's connection has to stay open.
	openTime = 25 * time.Millisecond
)

// Options configures a Monitor.
type Options struct {
	// Dial connects to an endpoint, with a timeout.
	Dial network.DialFunc
	// Sample returns up to n random endpoints without those in except.
	Sample func(n int, except map[string]bool) []routing.Endpoint
	// OnChange is called when the instance has become cut off, or connected again.
	OnChange func(cutOff bool)
	Log      *logrus.Entry
	Scope    tally.Scope
}

// Monitor watches whether this instance can reach the endpoints. It is safe for concurrent use.
type Monitor struct {
	Options
	mu    sync.Mutex
	state reachability.State
	// check is the check in progress; nil if there is none.
	check   *check
	cutOff  atomic.Bool
	suspect chan struct{}
	metrics metrics
}

// check is a series of rounds that decides whether the instance is cut off.
type check struct{ done chan struct{} }

type metrics struct {
	cutOff         tally.Gauge
	cuts, probes   tally.Counter
	reachedProbes  tally.Counter
	failedConnects tally.Counter
}

// New returns a monitor of an instance that is connected. It probes nothing before Run.
func New(o Options) *Monitor {
	return &Monitor{Options: o, suspect: make(chan struct{}, 1), metrics: metrics{
		cutOff: o.Scope.Gauge("endpoints_unreachable"), cuts: o.Scope.Counter("endpoint_cuts_total"), probes: o.Scope.Counter("reach_probes_total"),
		reachedProbes: o.Scope.Counter("reach_probes_reached_total"), failedConnects: o.Scope.Counter("endpoint_connects_failed_total"),
	}}
}

// CutOff reports whether this instance is cut off from the endpoints.
func (m *Monitor) CutOff() bool { return m.cutOff.Load() }

// Failed records that an endpoint could not be connected to, or reset a connection before it
// answered.
func (m *Monitor) Failed(endpoint string) {
	m.metrics.failedConnects.Inc(1)
	m.mu.Lock()
	probe := m.state.Failed(time.Now(), endpoint)
	m.mu.Unlock()
	if probe {
		select {
		case m.suspect <- struct{}{}:
		default:
		}
	}
}

// Connected records that an endpoint answered on a new connection.
func (m *Monitor) Connected() {
	m.mu.Lock()
	m.state.Connected(time.Now())
	changed := m.update()
	m.mu.Unlock()
	m.report(changed, 0, 0)
}

// Run probes endpoints when they are suspected to be unreachable, and while the instance is cut off,
// until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if m.CutOff() {
			pause.For(ctx, probeInterval)
			m.round(ctx, probesPerRound, map[string]bool{})
			continue
		}
		select {
		case <-m.suspect:
			m.Check(ctx)
		case <-ctx.Done():
		}
	}
}

// Check finds out whether the instance is cut off, and returns the result. It takes a round trip,
// or two timeouts of a connection where endpoints don't answer. Concurrent calls share a check.
func (m *Monitor) Check(ctx context.Context) (cutOff bool) {
	if m.CutOff() {
		return true
	}
	m.mu.Lock()
	c := m.check
	if c == nil {
		c = &check{done: make(chan struct{})}
		m.check = c
		go m.run(c)
	}
	m.mu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	return m.CutOff()
}

// run carries out a check. It does not end with the request that asked for it, since others may wait
// for the result.
func (m *Monitor) run(c *check) {
	defer close(c.done)
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.check = nil
	}()
	probed := map[string]bool{}
	probes := firstProbes
	for range reachability.Rounds {
		if m.round(context.Background(), probes, probed) > 0 {
			return
		}
		probes = probesPerRound
	}
}

// round probes up to n endpoints that are not in probed, and adds them. If there are none left, it
// probes any. It returns how many were reached.
func (m *Monitor) round(ctx context.Context, n int, probed map[string]bool) (reached int) {
	sample := m.Sample(n, probed)
	if len(sample) == 0 {
		sample = m.Sample(n, nil)
	}
	results := make(chan bool, len(sample))
	for i := range sample {
		probed[sample[i].ID] = true
		go func() { results <- m.probe(ctx, sample[i].Address) }()
	}
	for range sample {
		if <-results {
			reached++
		}
	}
	m.metrics.probes.Inc(int64(len(sample)))
	m.metrics.reachedProbes.Inc(int64(reached))
	m.mu.Lock()
	m.state.Probed(time.Now(), len(sample), reached)
	changed := m.update()
	m.mu.Unlock()
	m.report(changed, len(probed), reached)
	return reached
}

// probe reports whether an endpoint takes a connection and leaves it open.
func (m *Monitor) probe(ctx context.Context, address string) bool {
	conn, err := m.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(openTime))
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}

// update takes the result of the state machine. It returns whether that has changed. The caller
// holds mu.
func (m *Monitor) update() (changed bool) {
	return m.cutOff.Swap(m.state.CutOff()) != m.state.CutOff()
}

// report logs a change with its evidence, and calls OnChange.
func (m *Monitor) report(changed bool, tried, reached int) {
	if !changed {
		return
	}
	m.mu.Lock()
	cutOff, suspects, since := m.state.CutOff(), m.state.Suspects(), m.state.Since()
	m.mu.Unlock()
	if cutOff {
		m.metrics.cuts.Inc(1)
		m.metrics.cutOff.Update(1)
		m.Log.WithFields(logrus.Fields{"failed": suspects, "probed": tried}).Warn("cut off from the endpoints")
	} else {
		m.metrics.cutOff.Update(0)
		m.Log.WithFields(logrus.Fields{"probed": tried, "reached": reached, "took_ms": time.Since(since).Milliseconds()}).Info("endpoints reached again")
	}
	m.OnChange(cutOff)
}
