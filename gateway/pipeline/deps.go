package pipeline

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/gateway/answerhead"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/backends"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/decisions"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/fleet"
	"github.com/agateway/agateway/gateway/generations"
	"github.com/agateway/agateway/gateway/settings"
)

// Deps holds what the filters depend on.
type Deps struct {
	Settings *settings.Settings
	Config   *config.Config
	Backends *backends.Backends
	Client   *endpoint.Client
	// Crashes holds what is known of requests that crash the endpoints that run them.
	Crashes *crashes.Registry
	Fleet   *fleet.Fleet
	Running *generations.Directory
	Tickets *atmostonce.Tickets
	Claims  *atmostonce.Claims
	Tracer  trace.Tracer
	Scope   tally.Scope
	Log     *logrus.Entry

	openRequests atomic.Int64
	draining     atomic.Bool
	recovery     generation.Config
	retries      retryBudget
	metrics      *metrics
	failures     *decisions.Log
	attributor   crashes.Attributor
	usage        func() map[string]limits.Usage
}

// prepare sets the fields that are derived from the exported ones.
func (d *Deps) prepare() {
	r := &d.Settings.Recovery
	d.recovery = generation.Config{
		Policy: generation.Policy(r.Policy), SilenceFactor: r.SilenceFactor, SilenceFloor: r.SilenceFloor,
		SilenceCeiling: r.SilenceCeiling, FirstTokenSilence: r.FirstTokenSilence, ProbeTimeout: r.ProbeTimeout,
		AckTimeout: r.AckTimeout, WaitForEndpoint: r.Wait, MaxAttempts: r.MaxAttempts,
	}
	e := &d.Settings.Endpoints
	d.retries.budget = limits.NewRetryBudget(e.RetryShare, e.RetryReserve)
	d.metrics, d.failures = newMetrics(d.Scope), decisions.New(d.Log)
	d.attributor.Record, d.attributor.HasCrashed, d.attributor.DataCentreFailures = d.Crashes.RecordCrash, d.hasCrashed, d.dataCentreFailures
}

// recordMalformed counts and logs the answer of an endpoint to a request that failed for a malformed field.
func (d *Deps) recordMalformed(request, endpoint string, err error) {
	if errors.Is(err, answerhead.ErrMalformed) {
		d.metrics.malformedAnswers.Inc(1)
		d.failures.Refusal(request, "malformed answer", logrus.Fields{"endpoint": endpoint, "error": err.Error()})
	}
}

// retryBudget is the retry budget that all requests of the instance share. It is safe for
// concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *limits.RetryBudget
}

func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
}

func (b *retryBudget) tryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry()
}

// metrics holds the counters and timers of the hot path, which are created once.
type metrics struct {
	scope                                              tally.Scope
	tokens, resumesSameStream, resumesElsewhere        tally.Counter
	restarts, silences, probes, probesDead             tally.Counter
	staleTokens, repeatedTokens, gaps, falseSuspicions tally.Counter
	prefilledAgain, discardedTokens, takeovers         tally.Counter
	malformedAnswers                                   tally.Counter
	firstToken, resume                                 tally.Timer
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		scope: s, tokens: s.Counter("tokens_relayed"),
		resumesSameStream: s.Counter("resumes_same_stream"), resumesElsewhere: s.Counter("resumes_elsewhere"),
		restarts: s.Counter("restarts"), silences: s.Counter("silences"), probes: s.Counter("probes"), probesDead: s.Counter("probes_dead"),
		staleTokens: s.Counter("stale_tokens"), repeatedTokens: s.Counter("repeated_tokens"), gaps: s.Counter("token_gaps"), falseSuspicions: s.Counter("false_suspicions"),
		prefilledAgain: s.Counter("tokens_prefilled_again"), discardedTokens: s.Counter("tokens_thrown_away"), takeovers: s.Counter("takeovers"),
		malformedAnswers: s.Counter("malformed_answers"),
		firstToken:       s.Timer("first_token"), resume: s.Timer("resume"),
	}
}

// recordGeneration adds the counters of one generation.
func (m *metrics) recordGeneration(stats generation.Stats) {
	m.resumesSameStream.Inc(int64(stats.ResumesSameStream))
	m.resumesElsewhere.Inc(int64(stats.ResumesElsewhere))
	m.restarts.Inc(int64(stats.Restarts))
	m.silences.Inc(int64(stats.Silences))
	m.probes.Inc(int64(stats.Probes))
	m.probesDead.Inc(int64(stats.ProbesDead))
	m.staleTokens.Inc(int64(stats.StaleTokens))
	m.repeatedTokens.Inc(int64(stats.RepeatedTokens))
	m.gaps.Inc(int64(stats.Gaps))
	m.falseSuspicions.Inc(int64(stats.FalseSuspicions))
	m.prefilledAgain.Inc(int64(stats.PrefilledAgain))
	m.discardedTokens.Inc(int64(stats.DiscardedTokens))
}
