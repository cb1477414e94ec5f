package shed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/shedding"
	"github.com/agateway/agateway/gateway/pause"
)

// metrics are tagged with the name of the guard.
type metrics struct {
	held           [shedding.Kinds]tally.Gauge
	maxBytes       tally.Gauge
	connections    tally.Gauge
	maxConnections tally.Gauge
	shed           map[shedding.State]tally.Counter
	refused        [shedding.Kinds]tally.Counter
}

func newMetrics(s tally.Scope, name string) metrics {
	s = s.Tagged(map[string]string{"connections": name})
	m := metrics{
		maxBytes: s.Gauge("held_bytes_max"), connections: s.Gauge("held_connections"), maxConnections: s.Gauge("held_connections_max"),
		shed: map[shedding.State]tally.Counter{},
	}
	for k := range shedding.Kinds {
		tagged := s.Tagged(map[string]string{"for": k.String()})
		m.held[k], m.refused[k] = tagged.Gauge("held_bytes"), tagged.Counter("no_room_total")
	}
	for state, text := range map[shedding.State]string{shedding.Idle: "idle", shedding.Receiving: "receiving", shedding.Sending: "sending"} {
		m.shed[state] = s.Tagged(map[string]string{"state": text}).Counter("connections_shed_total")
	}
	return m
}

// spell is a time in which connections are shed or refused.
type spell struct {
	began, last   time.Time // zero while there is none
	shed, refused int
}

// spellGap is the time without a shed connection after which a spell has ended.
const spellGap = 5 * time.Second

// countShed counts a connection that is shed. The caller holds the lock.
func (g *Guard) countShed(now time.Time, h *shedding.Holder) {
	g.metrics.shed[h.State()].Inc(1)
	g.inSpell(now).shed++
}

// refused counts a refusal for lack of room. The caller holds the lock.
func (g *Guard) refused(now time.Time, k shedding.Kind) {
	g.metrics.refused[k].Inc(1)
	g.inSpell(now).refused++
}

// inSpell returns the current spell, which begins if there is none. The caller holds the lock.
func (g *Guard) inSpell(now time.Time) *spell {
	if g.spell.began.IsZero() {
		g.spell = spell{began: now}
		g.logUsage("connections are shed for lack of room", nil)
	}
	g.spell.last = now
	return &g.spell
}

// logUsage logs what the connections hold. The caller holds the lock.
func (g *Guard) logUsage(message string, inputs logrus.Fields) {
	u := g.budget.Usage()
	fields := logrus.Fields{"connections": g.Name, "open": u.Connections, "max_open": u.Settings.Connections, "max_bytes": u.Settings.Bytes}
	for k, bytes := range u.Held {
		fields[shedding.Kind(k).String()+"_bytes"] = bytes
	}
	g.Log.WithFields(fields).WithFields(inputs).Warn(message)
}

// reportInterval is the time between two updates of the gauges.
const reportInterval = time.Second

// Run updates the gauges, and logs the end of a spell, until ctx ends.
func (g *Guard) Run(ctx context.Context) { pause.Every(ctx, reportInterval, g.report) }

func (g *Guard) report() {
	now := time.Now()
	g.mu.Lock()
	evicted := g.relieve(now)
	g.updateGauges()
	g.endSpell(now)
	g.mu.Unlock()
	evict(evicted)
}

// updateGauges sets the gauges. The caller holds the lock.
func (g *Guard) updateGauges() {
	u := g.budget.Usage()
	for k, bytes := range u.Held {
		g.metrics.held[k].Update(float64(bytes))
	}
	g.metrics.maxBytes.Update(float64(u.Settings.Bytes))
	g.metrics.connections.Update(float64(u.Connections))
	g.metrics.maxConnections.Update(float64(u.Settings.Connections))
}

// endSpell logs the end of a spell. The caller holds the lock.
func (g *Guard) endSpell(now time.Time) {
	if s := g.spell; !s.began.IsZero() && now.Sub(s.last) >= spellGap {
		g.logUsage("no connections are shed any more", logrus.Fields{"shed": s.shed, "refused": s.refused, "took_ms": s.last.Sub(s.began).Milliseconds()})
		g.spell = spell{}
	}
}
