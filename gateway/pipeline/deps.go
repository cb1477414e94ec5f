package pipeline

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/backends"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/fleet"
	"github.com/agateway/agateway/gateway/generations"
	"github.com/agateway/agateway/gateway/settings"
)

// Deps is what the filters need.
type Deps struct {
	Settings *settings.Settings
	Config   *config.Config
	Backends *backends.Backends
	Client   *endpoint.Client
	// Crashes is what is known of requests that end endpoints.
	Crashes *crashes.Registry
	Fleet   *fleet.Fleet
	Running *generations.Directory
	Tickets *atmostonce.Tickets
	Claims  *atmostonce.Claims
	Tracer  trace.Tracer
	Scope   tally.Scope
	Log     *logrus.Entry

	open     atomic.Int64
	draining atomic.Bool
	recovery generation.Config
	retries  retryBudget
	metrics  *metrics
	judge    crashes.Attributor
	usage    func() map[string]limits.Usage
}

func (d *Deps) prepare() {
	r := &d.Settings.Recovery
	d.recovery = generation.Config{
		Policy: generation.Policy(r.Policy), SilenceFactor: r.SilenceFactor, SilenceFloor: r.SilenceFloor,
		SilenceCeiling: r.SilenceCeiling, FirstTokenSilence: r.FirstTokenSilence, ProbeTimeout: r.ProbeTimeout,
		AckTimeout: r.AckTimeout, WaitForEndpoint: r.Wait, MaxAttempts: r.MaxAttempts,
	}
	e := &d.Settings.Endpoints
	d.retries.budget = limits.NewRetryBudget(e.RetryShare, e.RetryReserve)
	d.metrics = newMetrics(d.Scope)
	d.judge.Record, d.judge.HasCrashed, d.judge.Nearby = d.Crashes.Ended, d.hasEnded, d.nearby
}

// retryBudget is a budget shared by all requests of the instance.
type retryBudget struct {
	mu     sync.Mutex
	budget *limits.RetryBudget
}

func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
}

func (b *retryBudget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry()
}

// metrics are the counters of the hot path, made once.
type metrics struct {
	scope                                         tally.Scope
	tokens, recoveriesSame, recoveriesElsewhere   tally.Counter
	restarts, silences, probes, probesDead        tally.Counter
	staleTokens, repeatedTokens, gaps, falseAlarm tally.Counter
	prefilledAgain, thrownAway, takeovers         tally.Counter
	firstToken, resume                            tally.Timer
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		scope: s, tokens: s.Counter("tokens_relayed"),
		recoveriesSame: s.Counter("resumes_same_stream"), recoveriesElsewhere: s.Counter("resumes_elsewhere"),
		restarts: s.Counter("restarts"), silences: s.Counter("silences"), probes: s.Counter("probes"), probesDead: s.Counter("probes_dead"),
		staleTokens: s.Counter("stale_tokens"), repeatedTokens: s.Counter("repeated_tokens"), gaps: s.Counter("token_gaps"), falseAlarm: s.Counter("false_suspicions"),
		prefilledAgain: s.Counter("tokens_prefilled_again"), thrownAway: s.Counter("tokens_thrown_away"), takeovers: s.Counter("takeovers"),
		firstToken: s.Timer("first_token"), resume: s.Timer("resume"),
	}
}

func (m *metrics) generation(st generation.Stats) {
	m.recoveriesSame.Inc(int64(st.ResumesSameStream))
	m.recoveriesElsewhere.Inc(int64(st.ResumesElsewhere))
	m.restarts.Inc(int64(st.Restarts))
	m.silences.Inc(int64(st.Silences))
	m.probes.Inc(int64(st.Probes))
	m.probesDead.Inc(int64(st.ProbesDead))
	m.staleTokens.Inc(int64(st.StaleTokens))
	m.repeatedTokens.Inc(int64(st.RepeatedTokens))
	m.gaps.Inc(int64(st.Gaps))
	m.falseAlarm.Inc(int64(st.FalseSuspicions))
	m.prefilledAgain.Inc(int64(st.PrefilledAgain))
	m.thrownAway.Inc(int64(st.DiscardedTokens))
}
