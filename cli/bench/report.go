package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agateway/agateway/cli/standin/engine"
)

// Quantiles summarises a histogram of times in milliseconds. N is the number of values.
type Quantiles struct {
	N   int64 `json:"n"`
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.TotalCount(), h.ValueAtPercentile(50), h.ValueAtPercentile(95), h.ValueAtPercentile(99), h.Max()}
}

// ExtraWork is the work of the engines beyond that of a run without faults.
type ExtraWork struct {
	// PrefilledAgain counts tokens prefilled for attempts after the first, ThrownAway generated tokens
	// that reached no caller.
	PrefilledAgain int64 `json:"prefilled_again"`
	ThrownAway     int64 `json:"thrown_away"`
	// TokensPct is the extra work in percent of the needed work. It counts a prefilled token like a
	// generated one. SlotTimePct weights both by the time for which they occupy a slot, at the
	// rates of the engine.
	TokensPct   float64 `json:"tokens_pct"`
	SlotTimePct float64 `json:"slot_time_pct"`
}

// Report is the result of a run.
type Report struct {
	Profile string `json:"profile"`
	Policy  string `json:"policy"`
	Fault   string `json:"fault"`
	Seed    uint64 `json:"seed"`

	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
	Lost     int `json:"lost"`
	Wrong    int `json:"wrong"`
	// Affected counts the answers in flight at an engine when it got a fault. With the fault
	// gateway it counts the answers that continued at another instance.
	Affected int `json:"hit"`
	// Resume is the time from the fault to the next token at the caller. BeyondPrefill is the same
	// without the time that the new engine needs to prefill the prompt and the tokens delivered
	// before.
	Resume        Quantiles `json:"resume_ms"`
	BeyondPrefill Quantiles `json:"resume_beyond_prefill_ms"`
	FirstToken    Quantiles `json:"first_token_ms"`
	Refusal       Quantiles `json:"refusal_ms"`
	Extra         ExtraWork `json:"extra_work"`
	// ExtraStreams is the number of streams that engines began beyond one per request.
	ExtraStreams int64    `json:"streams_beyond_one"`
	Seconds      float64  `json:"seconds"`
	Failures     []string `json:"failures,omitempty"`
}

// computeExtraWork computes Extra from the totals of all engines and the number of tokens delivered
// to callers.
func (r *Report) computeExtraWork(p *Profile, st engine.Stats, delivered int64) {
	thrownAway := max(st.Generated-delivered, 0)
	first := st.Prefilled - st.PrefilledAgain
	r.Extra = ExtraWork{PrefilledAgain: st.PrefilledAgain, ThrownAway: thrownAway}
	r.Extra.TokensPct = 100 * float64(st.PrefilledAgain+thrownAway) / float64(first+delivered)
	prefill := func(n int64) float64 { return float64(n) / p.PrefillRate }
	generate := func(n int64) float64 { return float64(n) * p.Interval.Seconds() }
	r.Extra.SlotTimePct = 100 * (prefill(st.PrefilledAgain) + generate(thrownAway)) / (prefill(first) + generate(delivered))
}

// HasBadAnswers reports whether an answer was lost or wrong.
func (r *Report) HasBadAnswers() bool { return r.Lost > 0 || r.Wrong > 0 }

// Write writes the report as text.
func (r *Report) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, `%s, policy %s, fault %s, seed %d: %.0f s
  sent %d  complete %d  refused %d  lost %d  wrong %d
  resume ms             n %-5d p50 %-5d p95 %-5d p99 %-5d max %d
  beyond prefill ms             p50 %-5d p95 %-5d p99 %-5d max %d
  first token ms        n %-5d p50 %-5d p95 %-5d p99 %-5d max %d
  refusal ms            n %-5d p50 %-5d p95 %-5d p99 %-5d max %d
  extra work            prefilled again %d tokens, thrown away %d: %.2f%% of tokens, %.3f%% of slot time
  streams beyond one    %d (of %d answers hit)
`, r.Profile, r.Policy, r.Fault, r.Seed, r.Seconds, r.Sent, r.Complete, r.Refused, r.Lost, r.Wrong,
		r.Resume.N, r.Resume.P50, r.Resume.P95, r.Resume.P99, r.Resume.Max,
		r.BeyondPrefill.P50, r.BeyondPrefill.P95, r.BeyondPrefill.P99, r.BeyondPrefill.Max,
		r.FirstToken.N, r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.FirstToken.Max,
		r.Refusal.N, r.Refusal.P50, r.Refusal.P95, r.Refusal.P99, r.Refusal.Max,
		r.Extra.PrefilledAgain, r.Extra.ThrownAway, r.Extra.TokensPct, r.Extra.SlotTimePct, r.ExtraStreams, r.Affected)
	return err
}

// newHistogram returns a histogram of times from 1 ms to 10 min, with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	const digits = 3
	return hdrhistogram.New(1, (10 * time.Minute).Milliseconds(), digits)
}
