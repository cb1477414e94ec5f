// Package bench runs load tests with faults. One process runs instances with the daemon's own code,
// stand-ins for engines and the platform, and callers, connected over TCP. The sizes are those of
// the target workloads. It injects faults into the stand-ins or stops instances, checks every
// answer, and measures resume latency and extra work.
package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/load"
	"github.com/agateway/agateway/cli/standin/engine"
	standin "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/daemon"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/pipeline"
	"github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/gateway/settings"
)

// Config says what to run.
type Config struct {
	// Profile is a key of Profiles.
	Profile string
	// Policy is the recovery policy of the deployment: latency, frugal, restart or no-probe.
	Policy string
	// Fault is one of Faults.
	Fault string
	// Seed determines the arrivals and which engines or instances get a fault.
	Seed uint64
	// FaultShare is the share of the engines (of the instances with the fault gateway) that get the
	// fault. At least one gets it.
	FaultShare float64
	// Load overrides that of the profile, unless it is 0.
	Load float64
	// Duration overrides that of the profile, unless it is 0.
	Duration time.Duration
	// RetryByKey makes callers keep no cursor and retry with an idempotency key.
	RetryByKey bool
	// NoRetry makes callers accept a refusal without a retry.
	NoRetry bool
	// Log receives the logs of the instances.
	Log io.Writer
}

// Faults are the faults that a run can inject: none; an engine that closes (kill), stops for
// freezeTime (freeze) or falls silent on its open connections (silent); an instance that closes
// (gateway).
var Faults = []string{"none", "kill", "freeze", "silent", "gateway"}

// run is a run in progress. mu guards faultTimes, answers, deliveredTokens, killedGateways and the
// histogram of refusals in tally.
type run struct {
	Config
	profile      Profile
	platform     *standin.Platform
	engines      []*engine.Engine
	gateways     []*daemon.Daemon
	deployment   *operatorv1.Deployment
	arrivals     *rand.Rand
	sharedPrefix string

	mu              sync.Mutex
	tally           load.Tally
	report          Report
	faultTimes      map[string]time.Time // request ID -> time of the fault on its engine
	answers         []*caller.Answer
	deliveredTokens int64
	killedGateways  map[int]bool // gateways that the fault closed
}

const (
	teamSecret = "0123456789abcdef"
	// settleTime is the wait after the start until instances know each other, the engines and the
	// configuration.
	settleTime = 3 * time.Second
	// cancelTime is the wait after the last answer until engines have ended cancelled streams.
	cancelTime = 2 * time.Second
)

// Run does a run and returns its report. It returns an error if the run can't be set up. Lost and
// wrong answers are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	p, ok := Profiles[cfg.Profile]
	if !ok {
		return nil, fmt.Errorf("--profile: %q is none of dala, kurosawa", cfg.Profile)
	}
	if cfg.Load > 0 {
		p.Load = cfg.Load
	}
	if cfg.Duration > 0 {
		p.Duration = cfg.Duration
	}
	r := &run{
		Config: cfg, profile: p, arrivals: rand.New(rand.NewPCG(cfg.Seed, 3)), faultTimes: map[string]time.Time{}, killedGateways: map[int]bool{},
		sharedPrefix: strings.Repeat("rule ", p.SharedTokens*endpoint.BytesPerToken)[:p.SharedTokens*endpoint.BytesPerToken],
		report:       Report{Profile: cfg.Profile, Policy: cfg.Policy, Fault: cfg.Fault, Seed: cfg.Seed},
	}
	r.tally.FirstToken, r.tally.Refusal = newHistogram(), newHistogram()
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	r.sendRequests(ctx)
	r.report.Seconds = time.Since(began).Seconds()
	time.Sleep(cancelTime)
	r.fillReport()
	return &r.report, nil
}

// start starts the platform, the engines and the instances, and configures the team and the
// deployment.
func (r *run) start(ctx context.Context) error {
	var err error
	if r.platform, err = standin.Start(network.TCP{}, "127.0.0.1:0", time.Second); err != nil {
		return err
	}
	for i := range r.profile.Engines {
		if err := r.startEngine(i); err != nil {
			return err
		}
	}
	for i := range r.profile.Gateways {
		if err := r.startGateway(i); err != nil {
			return err
		}
	}
	if err := r.configure(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

func (r *run) startEngine(i int) error {
	p := &r.profile
	e, err := engine.Start(engine.Config{
		ID: fmt.Sprintf("engine-%02d", i), Address: "127.0.0.1:0", DataCentre: p.DataCentres[i%3], Service: p.Deployment,
		Slots: p.Slots, Interval: p.Interval, PrefillRate: p.PrefillRate, CacheBlocks: 2000, Lag: 200 * time.Millisecond,
		EventLoss: 0.05, ChecksFencing: true, LoadTime: time.Second, Seed: r.Seed + uint64(i),
		Models:   []endpoint.LoadedModel{{Name: p.Model, Version: "1"}},
		Platform: platform.NewObjects(r.platform.URL(), time.Second, network.TCP{}), Network: network.TCP{},
	})
	r.engines = append(r.engines, e)
	return err
}

func (r *run) startGateway(i int) error {
	s, err := settings.Parse(fmt.Appendf(nil, `
[instance]
id = entry-%d
data_centre = %s
callers = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
url = %s
[keys]
cursor = bench-cursor-key-0123
peer = bench-peer-key-0123
operator_sha256 = %064d
`, i, r.profile.DataCentres[i%3], r.platform.URL(), 0))
	if err != nil {
		return err
	}
	d, err := daemon.Start(s, network.TCP{}, r.Log)
	r.gateways = append(r.gateways, d)
	return err
}

func (r *run) teamKey() string { return pipeline.TeamKeyPrefix + r.profile.Team + "_" + teamSecret }

// configure creates the team and the deployment through the first instance.
func (r *run) configure(ctx context.Context) error {
	p := &r.profile
	hash := sha256.Sum256([]byte(r.teamKey()))
	c := r.gateways[0].Config
	if _, err := c.PutTeam(ctx, &operatorv1.Team{Name: p.Team, KeySha256: []string{hex.EncodeToString(hash[:])}}, 0, "bench"); err != nil {
		return err
	}
	r.deployment = &operatorv1.Deployment{
		Name: p.Deployment, Kind: operatorv1.Kind_KIND_GENERATION, Service: p.Deployment, Model: p.Model, Version: "1",
		Teams: []string{p.Team}, Recovery: &operatorv1.Recovery{Policy: r.Policy},
		Contract: &operatorv1.Contract{Class: p.Class, DeadlineMs: uint32(p.Deadline.Milliseconds()), QueueMs: uint32(p.Queue.Milliseconds())},
	}
	_, err := c.PutDeployment(ctx, r.deployment, 0, "bench")
	return err
}

// sendRequests sends requests at the rate of the profile with random gaps, injects the faults
// meanwhile, and waits for all answers.
func (r *run) sendRequests(ctx context.Context) {
	var wg sync.WaitGroup
	clients := r.clients()
	began := time.Now()
	wg.Go(func() { r.injectFaults(ctx) })
	for i := 0; time.Since(began) < r.profile.Duration && ctx.Err() == nil; i++ {
		gap := r.arrivals.ExpFloat64() / r.profile.requestRate()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		r.report.Sent++
		wg.Go(func() { r.generate(ctx, clients[i%len(clients)], i) })
	}
	wg.Wait()
}

// clients returns one caller per instance. Each knows all instances and begins with another one.
func (r *run) clients() []*caller.Client {
	out := make([]*caller.Client, len(r.gateways))
	for i := range out {
		var entries []string
		for n := range r.gateways {
			entries = append(entries, r.gateways[(i+n)%len(r.gateways)].Callers)
		}
		out[i] = caller.New(caller.Options{Entries: entries, Key: r.teamKey(), DataCentre: r.profile.DataCentres[i%3]})
	}
	return out
}

func (r *run) prompt(i int) string {
	return r.sharedPrefix + load.Prompt(i, r.profile.PromptTokens-r.profile.SharedTokens)
}

// generate sends request i and compares the answer with the right one.
func (r *run) generate(ctx context.Context, c *caller.Client, i int) {
	p := &r.profile
	tokens := p.answerLength(i)
	q := caller.Request{Model: p.Deployment, Prompt: r.prompt(i), MaxTokens: tokens, Seed: int64(i), Timeout: p.Deadline, SendTokens: true, NoRetry: r.NoRetry}
	if r.RetryByKey {
		q.IdempotencyKey, q.NoCursor = fmt.Sprint("bench-", i), true
	}
	began := time.Now()
	a, err := c.Generate(ctx, q)
	want := engine.ExpectedText(load.StartRequest(r.deployment, q.Prompt, q.MaxTokens, q.Seed))
	r.tally.RecordGeneration(a, err, want, tokens, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
	r.deliveredTokens += int64(a.Tokens)
	if err != nil && a.Tokens == 0 {
		_ = r.tally.Refusal.RecordValue(max(time.Since(began).Milliseconds(), 1))
	}
}

// injectFaults injects the fault into a share of the engines or gateways, one after the other. It
// begins once answers are in flight, and spreads the faults over the rest of the run.
func (r *run) injectFaults(ctx context.Context) {
	if r.Fault == "none" {
		return
	}
	total := len(r.engines)
	if r.Fault == "gateway" {
		total = len(r.gateways)
	}
	n := max(1, int(r.FaultShare*float64(total)+0.5))
	victims := rand.New(rand.NewPCG(r.Seed, 4)).Perm(total)[:n]
	warmup := min(r.profile.answerTime(), r.profile.Duration/3)
	time.Sleep(warmup)
	for _, v := range victims {
		r.injectFault(v)
		select {
		case <-time.After((r.profile.Duration - warmup) / time.Duration(n+1)):
		case <-ctx.Done():
			return
		}
	}
}

// freezeTime is how long an engine with the fault freeze is stopped. Afterwards it continues.
const freezeTime = 5 * time.Second

// injectFault injects the fault into the engine or gateway with the index victim.
func (r *run) injectFault(victim int) {
	if r.Fault == "gateway" {
		r.gateways[victim].Close()
		r.mu.Lock()
		r.killedGateways[victim] = true
		r.mu.Unlock()
		return
	}
	e := r.engines[victim]
	r.recordFaultTime(e.Generations())
	switch r.Fault {
	case "kill":
		e.Close()
	case "silent":
		e.SetFault(engine.Fault{Silent: true})
	case "freeze":
		e.SetFault(engine.Fault{Freeze: true})
		time.AfterFunc(freezeTime, func() { e.SetFault(engine.Fault{}) })
	}
}

// recordFaultTime records now as the time of the fault for the given generations.
func (r *run) recordFaultTime(generations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, g := range generations {
		r.faultTimes["cmpl-"+g] = now
	}
}

// fillReport computes the figures of the report from the answers and the totals of the engines.
func (r *run) fillReport() {
	resume, beyondPrefill := newHistogram(), newHistogram()
	for _, a := range r.answers {
		at, hit := r.faultTimes[a.ID]
		if !hit {
			continue
		}
		r.report.Affected++
		for n, t := range a.TokenTimes {
			if t.After(at) {
				r.recordResume(t.Sub(at), n, resume, beyondPrefill)
				break
			}
		}
	}
	if r.Fault == "gateway" {
		r.recordGatewayGaps(resume)
	}
	var st engine.Stats
	for _, e := range r.engines {
		s := e.Stats()
		st.Generated += s.Generated
		st.Prefilled += s.Prefilled
		st.PrefilledAgain += s.PrefilledAgain
		st.Streams += s.Streams
	}
	rep, t := &r.report, &r.tally
	rep.computeExtraWork(&r.profile, st, r.deliveredTokens)
	rep.ExtraStreams = st.Streams - int64(rep.Sent)
	rep.Complete, rep.Refused, rep.Lost, rep.Failures = t.Complete, t.Refused, t.Lost, t.Failures
	rep.Wrong = t.Wrong + t.MissingTokens + t.RepeatedTokens
	rep.Resume, rep.BeyondPrefill = quantiles(resume), quantiles(beyondPrefill)
	rep.FirstToken, rep.Refusal = quantiles(t.FirstToken), quantiles(t.Refusal)
}

// recordResume records the time d from a fault to the next token. For faults after which another
// engine continues, beyondPrefill leaves out the time to prefill the prompt and the tokens
// delivered before.
func (r *run) recordResume(d time.Duration, tokens int, resume, beyondPrefill interface{ RecordValue(int64) error }) {
	_ = resume.RecordValue(max(d.Milliseconds(), 1))
	if r.Fault == "kill" || r.Fault == "freeze" {
		d -= time.Duration(float64(r.profile.PromptTokens+tokens) / r.profile.PrefillRate * float64(time.Second))
	}
	_ = beyondPrefill.RecordValue(max(d.Milliseconds(), 1))
}

// recordGatewayGaps records the longest gap of each answer that continued at another instance.
func (r *run) recordGatewayGaps(resume interface{ RecordValue(int64) error }) {
	for _, a := range r.answers {
		if a.Resumes > 0 && a.LongestGap > 0 {
			r.report.Affected++
			_ = resume.RecordValue(a.LongestGap.Milliseconds())
		}
	}
}

func (r *run) close() {
	for i, g := range r.gateways {
		if g != nil && !r.killedGateways[i] {
			g.Close()
		}
	}
	for _, e := range r.engines {
		if e != nil {
			e.SetFault(engine.Fault{})
			e.Close()
		}
	}
	if r.platform != nil {
		r.platform.Close()
	}
}
