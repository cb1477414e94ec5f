// Package demo drives running processes through their main job: it creates a deployment,
// sends generations and plain calls at once, kills an engine and a gateway and freezes
// another engine while answers are in flight, and compares every answer with the right one.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/api/operator/v1/operatorv1connect"
	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/load"
	"github.com/agateway/agateway/cli/standin/engine"
	"github.com/agateway/agateway/gateway/pipeline"
)

// Config says what to drive.
type Config struct {
	Gateways, Engines        []string
	Service, OperatorKey     string
	Deployments              []string
	Generations, Calls       int
	Tokens                   int
	KillEngine, FreezeEngine int
	KillGateway              int
	// PauseGateway is stopped for a while in a second round, and returns.
	PauseGateway int
	Operator     operatorv1connect.OperatorServiceClient
	Out          io.Writer
}

const (
	deadline   = 30 * time.Second
	setupLimit = 20 * time.Second
)

// demo is a run in progress.
type demo struct {
	Config
	key         string
	generations *operatorv1.Deployment
	plain       *operatorv1.Deployment
	work        *load.EngineWork
	tokens      atomic.Int64
	faults      load.Faults
	tally       load.Tally
}

// errFailed means that a promise was broken; the line says which.
var errFailed = errors.New("demo: a promise was broken")

// Run does it all and prints one line at the end.
func Run(ctx context.Context, cfg Config) error {
	d := &demo{Config: cfg, key: pipeline.TeamKeyPrefix + "almaty-desk_" + uuid.NewString(), work: load.NewEngineWork(cfg.Engines)}
	d.tally.Resume = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	if err := d.setup(ctx); err != nil {
		return err
	}
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	go d.work.Poll(workCtx)
	d.say("sending %d generations and %d calls at once", d.Generations, d.Calls)
	var wg sync.WaitGroup
	for i := range d.Generations {
		wg.Go(func() { d.generate(ctx, i) })
	}
	for i := range d.Calls {
		wg.Go(func() { d.call(ctx, i) })
	}
	wg.Go(func() { d.bringFaults(ctx) })
	wg.Wait()
	first := d.tally.Resume
	if d.PauseGateway != 0 {
		d.pause(ctx)
	}
	return d.report(ctx, first)
}

const (
	pausedRound = 30              // generations of the second round
	pauseAfter  = time.Second / 2 // when the instance is stopped
	pauseFor    = 5 * time.Second
)

// pause is the second round: an instance is stopped with answers in flight and returns when
// others have taken its work over. Its old attempts must not get a token through.
func (d *demo) pause(ctx context.Context) {
	d.tally.Resume = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	d.say("pausing an instance for %v, with %d generations in flight", pauseFor, pausedRound)
	var wg sync.WaitGroup
	for i := range pausedRound {
		wg.Go(func() { d.generate(ctx, d.Generations+i) })
	}
	wg.Go(func() {
		time.Sleep(pauseAfter)
		d.faults.Add(time.Now())
		_ = syscall.Kill(d.PauseGateway, syscall.SIGSTOP)
		time.Sleep(pauseFor)
		_ = syscall.Kill(d.PauseGateway, syscall.SIGCONT)
	})
	wg.Wait()
	d.say("it returned; the answers it held went on elsewhere, resume_ms_p99=%d", d.tally.Resume.ValueAtPercentile(99))
	d.Generations += pausedRound
}

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, "demo: "+format+"\n", args...)
}

// setup creates teams and deployments, and waits until they are in force everywhere.
func (d *demo) setup(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupLimit)
	defer cancel()
	sum := sha256.Sum256([]byte(d.key))
	for _, team := range []string{"almaty-desk", "karaganda-desk"} {
		t := &operatorv1.Team{Name: team, KeySha256: []string{hex.EncodeToString(sum[:])}}
		if _, err := d.Operator.PutTeam(ctx, connect.NewRequest(&operatorv1.PutTeamRequest{Team: t, OperationId: uuid.NewString()})); err != nil {
			return err
		}
	}
	for i, file := range d.Deployments {
		raw, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		dep := &operatorv1.Deployment{}
		if err := protojson.Unmarshal(raw, dep); err != nil {
			return err
		}
		if _, err := d.Operator.CreateDeployment(ctx, connect.NewRequest(&operatorv1.CreateDeploymentRequest{Deployment: dep, OperationId: uuid.NewString()})); err != nil {
			return err
		}
		if d.generations = dep; i > 0 {
			d.generations, d.plain = d.plain, dep
		} else {
			d.plain = dep
		}
	}
	return d.inForce(ctx)
}

// inForce waits until all instances hold the same configuration and see all endpoints.
func (d *demo) inForce(ctx context.Context) error {
	began := time.Now()
	for {
		r, err := d.Operator.GetFleetStatus(ctx, connect.NewRequest(&operatorv1.GetFleetStatusRequest{}))
		if err != nil {
			return err
		}
		if same, endpoints := count(r.Msg); same == len(d.Gateways) && endpoints == len(d.Engines)+1 {
			d.say("configuration in force at %d instances, %d endpoints, after %d ms", same, endpoints, time.Since(began).Milliseconds())
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("the fleet did not come together: %v", r.Msg)
		}
	}
}

func count(s *operatorv1.GetFleetStatusResponse) (same, endpoints int) {
	for _, i := range s.Instances {
		if i.ConfigurationDigest == s.ConfigurationDigest && i.State == "alive" {
			same++
		}
	}
	for _, e := range s.Endpoints {
		if e.State == "live" && e.Slots > 1 {
			endpoints++
		}
	}
	return same, endpoints
}

// client returns a caller that begins at another instance than the one before.
func (d *demo) client(i int) *caller.Client {
	n := i % len(d.Gateways)
	return caller.New(caller.Options{Entries: append(append([]string(nil), d.Gateways[n:]...), d.Gateways[:n]...), Key: d.key})
}

func (d *demo) generate(ctx context.Context, i int) {
	prompt := load.Prompt(i, 400)
	r := caller.Request{
		Model: d.generations.Name, Prompt: prompt, MaxTokens: d.Tokens, Seed: int64(i), Timeout: deadline,
		IdempotencyKey: fmt.Sprintf("demo-%d", i), OnToken: func(string) { d.tokens.Add(1) },
	}
	a, err := d.client(i).Generate(ctx, r)
	want := engine.ExpectedText(load.StartRequest(d.generations, prompt, d.Tokens, int64(i)))
	d.tally.RecordGeneration(a, err, want, d.Tokens, &d.faults)
}

// call makes every second call a non-idempotent one under a ticket.
func (d *demo) call(ctx context.Context, i int) {
	c := d.client(i)
	if i%2 == 0 {
		a, err := c.CallPlain(ctx, caller.PlainRequest{Service: d.plain.Name, Method: "GET", Path: "/status/" + fmt.Sprint(i), Timeout: deadline})
		if caller.IsLost(err) { // the instance died: a read may be asked again
			a, err = c.CallPlain(ctx, caller.PlainRequest{Service: d.plain.Name, Method: "GET", Path: "/status/" + fmt.Sprint(i), Timeout: deadline})
		}
		d.tally.RecordCall(a, err, fmt.Sprintf("/status/%d", i))
		return
	}
	ticket, err := c.Ticket(ctx)
	if caller.IsLost(err) {
		ticket, err = c.Ticket(ctx)
	}
	if err != nil {
		d.tally.RecordCall(nil, err, "")
		return
	}
	r := caller.PlainRequest{Service: d.plain.Name, Method: "POST", Path: "/callbacks", Body: fmt.Appendf(nil, "callback-%d", i), Ticket: ticket, Timeout: deadline}
	a, err := c.CallPlain(ctx, r)
	if caller.IsLost(err) {
		a, err = c.CallPlain(ctx, r) // the ticket makes it safe
	}
	d.tally.RecordCall(a, err, fmt.Sprintf("callback-%d", i))
}

// bringFaults kills and freezes processes while answers are in flight.
func (d *demo) bringFaults(ctx context.Context) {
	total := int64(d.Generations * d.Tokens)
	steps := []struct {
		at   int64
		what string
		pid  int
		sig  syscall.Signal
	}{
		{total * 2 / 10, "killing an engine", d.KillEngine, syscall.SIGKILL},
		{total * 4 / 10, "freezing an engine", d.FreezeEngine, syscall.SIGSTOP},
		{total * 6 / 10, "killing a gateway", d.KillGateway, syscall.SIGKILL},
	}
	for _, s := range steps {
		for d.tokens.Load() < s.at && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if s.pid == 0 {
			continue
		}
		d.say("%s (%d of %d tokens sent)", s.what, d.tokens.Load(), total)
		d.faults.Add(time.Now())
		if err := syscall.Kill(s.pid, s.sig); err != nil {
			d.say("can't: %v", err)
		}
	}
}

func (d *demo) report(ctx context.Context, resume *hdrhistogram.Histogram) error {
	runs, err := load.Runs(ctx, d.Service)
	if err != nil {
		return err
	}
	twice := 0
	for call, n := range runs {
		if n > 1 && call[:4] == "POST" {
			twice++
		}
	}
	t := &d.tally
	ideal := int64(d.Generations) * int64(d.Tokens+load.PromptTokens(400))
	extra := 100 * (float64(d.work.Total())/float64(ideal) - 1)
	_, _ = fmt.Fprintf(d.Out, "demo: sent=%d complete=%d refused=%d wrong=%d missing_tokens=%d repeated_tokens=%d ran_twice=%d resume_ms_p50=%d resume_ms_p99=%d extra_work_pct=%.2f\n",
		d.Generations+d.Calls, t.Complete, t.Refused, t.Wrong, t.MissingTokens, t.RepeatedTokens, twice,
		resume.ValueAtPercentile(50), resume.ValueAtPercentile(99), extra)
	if t.Wrong+t.MissingTokens+t.RepeatedTokens+twice > 0 || t.Complete+t.Refused != d.Generations+d.Calls {
		for _, f := range t.Failures {
			d.say("failure: %s", f)
		}
		return errFailed
	}
	return nil
}
