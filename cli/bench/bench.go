// Package bench is a load and experiment tool: it runs the daemon's own code before the
// stand-ins in one process, over TCP, at the brief's sizes; brings faults about by the
// stand-ins' admin calls; checks every answer, and measures resume latency and extra work.
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
	Profile string
	// Policy is a deployment's recovery policy: latency, frugal, restart or no-probe.
	Policy string
	// Fault is none, kill, freeze, silent or gateway.
	Fault string
	Seed  uint64
	// Share is the part of the engines (or gateways) that the fault strikes.
	Share float64
	// Load overrides the profile's, when not 0.
	Load float64
	// Duration overrides the profile's, when not 0.
	Duration time.Duration
	// Key makes callers keep no cursor and ask again by key.
	Key bool
	// Once makes callers take a refusal as it is, without asking again.
	Once bool
	Log  io.Writer
}

// Faults are the faults that can be brought about.
var Faults = []string{"none", "kill", "freeze", "silent", "gateway"}

// run is a run in progress.
type run struct {
	Config
	profile  Profile
	platform *standin.Platform
	engines  []*engine.Engine
	gateways []*daemon.Daemon
	dep      *operatorv1.Deployment
	rnd      *rand.Rand
	preamble string

	mu        sync.Mutex
	tally     load.Tally
	report    Report
	hit       map[string]time.Time // generation to the time of the fault
	answers   []*caller.Answer
	delivered int64
	dead      map[int]bool // gateways that were killed
}

const (
	teamSecret = "0123456789abcdef"
	settle     = 3 * time.Second
	tailAfter  = 2 * time.Second
)

// Run does a run and returns its report.
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
		Config: cfg, profile: p, rnd: rand.New(rand.NewPCG(cfg.Seed, 3)), hit: map[string]time.Time{}, dead: map[int]bool{},
		preamble: strings.Repeat("rule ", p.Shared*endpoint.BytesPerToken)[:p.Shared*endpoint.BytesPerToken],
		report:   Report{Profile: cfg.Profile, Policy: cfg.Policy, Fault: cfg.Fault, Seed: cfg.Seed},
	}
	r.tally.FirstToken, r.tally.Refusal = histogram(), histogram()
	defer r.close()
	if err := r.build(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	r.drive(ctx)
	r.report.Seconds = time.Since(began).Seconds()
	time.Sleep(tailAfter) // cancelled streams end
	r.sumUp()
	return &r.report, nil
}

func (r *run) build(ctx context.Context) error {
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
	time.Sleep(settle)
	return nil
}

func (r *run) startEngine(i int) error {
	p := &r.profile
	e, err := engine.Start(engine.Config{
		ID: fmt.Sprintf("engine-%02d", i), Address: "127.0.0.1:0", DataCentre: p.DataCentre[i%3], Service: p.Deployment,
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
`, i, r.profile.DataCentre[i%3], r.platform.URL(), 0))
	if err != nil {
		return err
	}
	d, err := daemon.Start(s, network.TCP{}, r.Log)
	r.gateways = append(r.gateways, d)
	return err
}

func (r *run) teamKey() string { return pipeline.TeamKeyPrefix + r.profile.Team + "_" + teamSecret }

func (r *run) configure(ctx context.Context) error {
	p := &r.profile
	hash := sha256.Sum256([]byte(r.teamKey()))
	c := r.gateways[0].Config
	if _, err := c.PutTeam(ctx, &operatorv1.Team{Name: p.Team, KeySha256: []string{hex.EncodeToString(hash[:])}}, 0, "bench"); err != nil {
		return err
	}
	r.dep = &operatorv1.Deployment{
		Name: p.Deployment, Kind: operatorv1.Kind_KIND_GENERATION, Service: p.Deployment, Model: p.Model, Version: "1",
		Teams: []string{p.Team}, Recovery: &operatorv1.Recovery{Policy: r.Policy},
		Contract: &operatorv1.Contract{Class: p.Class, DeadlineMs: uint32(p.Deadline.Milliseconds()), QueueMs: uint32(p.Queue.Milliseconds())},
	}
	_, err := c.PutDeployment(ctx, r.dep, 0, "bench")
	return err
}

// drive sends requests at the profile's rate, with the fault in the middle, and waits for
// all answers.
func (r *run) drive(ctx context.Context) {
	var wg sync.WaitGroup
	clients := r.clients()
	began := time.Now()
	wg.Go(func() { r.bringFault(ctx) })
	for i := 0; time.Since(began) < r.profile.Duration && ctx.Err() == nil; i++ {
		gap := r.rnd.ExpFloat64() / r.profile.rate()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		r.report.Sent++
		wg.Go(func() { r.generate(ctx, clients[i%len(clients)], i) })
	}
	wg.Wait()
}

// clients returns callers, each beginning with another instance.
func (r *run) clients() []*caller.Client {
	out := make([]*caller.Client, len(r.gateways))
	for i := range out {
		var entries []string
		for n := range r.gateways {
			entries = append(entries, r.gateways[(i+n)%len(r.gateways)].Callers)
		}
		out[i] = caller.New(caller.Options{Entries: entries, Key: r.teamKey(), DataCentre: r.profile.DataCentre[i%3]})
	}
	return out
}

func (r *run) prompt(i int) string {
	return r.preamble + load.Prompt(i, r.profile.Prompt-r.profile.Shared)
}

func (r *run) generate(ctx context.Context, c *caller.Client, i int) {
	p := &r.profile
	tokens := p.tokens(i)
	q := caller.Request{Model: p.Deployment, Prompt: r.prompt(i), MaxTokens: tokens, Seed: int64(i), Timeout: p.Deadline, SendTokens: true, NoRetry: r.Once}
	if r.Key {
		q.IdempotencyKey, q.NoCursor = fmt.Sprint("bench-", i), true
	}
	began := time.Now()
	a, err := c.Generate(ctx, q)
	want := engine.ExpectedText(load.StartRequest(r.dep, q.Prompt, q.MaxTokens, q.Seed))
	r.tally.RecordGeneration(a, err, want, tokens, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
	r.delivered += int64(a.Tokens)
	if err != nil && a.Tokens == 0 {
		_ = r.tally.Refusal.RecordValue(max(time.Since(began).Milliseconds(), 1))
	}
}

// bringFault strikes a share of the engines or gateways, spread over the middle of the run.
func (r *run) bringFault(ctx context.Context) {
	if r.Fault == "none" {
		return
	}
	total := len(r.engines)
	if r.Fault == "gateway" {
		total = len(r.gateways)
	}
	n := max(1, int(r.Share*float64(total)+0.5))
	victims := rand.New(rand.NewPCG(r.Seed, 4)).Perm(total)[:n]
	warm := min(r.profile.answerTime(), r.profile.Duration/3)
	time.Sleep(warm)
	for _, v := range victims {
		r.strike(v)
		select {
		case <-time.After((r.profile.Duration - warm) / time.Duration(n+1)):
		case <-ctx.Done():
			return
		}
	}
}

// pauseFor is how long a frozen engine is frozen; then it returns.
const pauseFor = 5 * time.Second

func (r *run) strike(v int) {
	if r.Fault == "gateway" {
		r.gateways[v].Close()
		r.mu.Lock()
		r.dead[v] = true
		r.mu.Unlock()
		return
	}
	e := r.engines[v]
	r.mark(e.Generations())
	switch r.Fault {
	case "kill":
		e.Close()
	case "silent":
		e.SetFault(engine.Fault{Silent: true})
	case "freeze":
		e.SetFault(engine.Fault{Freeze: true})
		time.AfterFunc(pauseFor, func() { e.SetFault(engine.Fault{}) })
	}
}

func (r *run) mark(generations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, g := range generations {
		r.hit["cmpl-"+g] = now
	}
}

// sumUp works out the figures.
func (r *run) sumUp() {
	resume, beyond := histogram(), histogram()
	for _, a := range r.answers {
		at, hit := r.hit[a.ID]
		if !hit {
			continue
		}
		r.report.Hit++
		for n, t := range a.TokenTimes {
			if t.After(at) {
				r.recordResume(t.Sub(at), n, resume, beyond)
				break
			}
		}
	}
	if r.Fault == "gateway" {
		r.gatewayGaps(resume)
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
	rep.work(&r.profile, st, r.delivered)
	rep.Elsewhere = st.Streams - int64(rep.Sent)
	rep.Complete, rep.Refused, rep.Lost, rep.Failures = t.Complete, t.Refused, t.Lost, t.Failures
	rep.Wrong = t.Wrong + t.MissingTokens + t.RepeatedTokens
	rep.Resume, rep.BeyondPrefill = quantiles(resume), quantiles(beyond)
	rep.FirstToken, rep.Refusal = quantiles(t.FirstToken), quantiles(t.Refusal)
}

func (r *run) recordResume(d time.Duration, tokens int, resume, beyond interface{ RecordValue(int64) error }) {
	_ = resume.RecordValue(max(d.Milliseconds(), 1))
	if r.Fault == "kill" || r.Fault == "freeze" {
		d -= time.Duration(float64(r.profile.Prompt+tokens) / r.profile.PrefillRate * float64(time.Second))
	}
	_ = beyond.RecordValue(max(d.Milliseconds(), 1))
}

// gatewayGaps records the longest gap of the answers that went on at another instance.
func (r *run) gatewayGaps(resume interface{ RecordValue(int64) error }) {
	for _, a := range r.answers {
		if a.Resumes > 0 && a.LongestGap > 0 {
			r.report.Hit++
			_ = resume.RecordValue(a.LongestGap.Milliseconds())
		}
	}
}

func (r *run) close() {
	for i, g := range r.gateways {
		if g != nil && !r.dead[i] {
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
