// Package demo runs requests and faults against running processes. It creates teams and deployments
// and sends generations and plain calls concurrently. While answers are in flight it kills an
// engine and an instance and freezes another engine. It compares every answer with the expected
// one, and counts the calls that ran twice.
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

// Config describes the processes and the load. Addresses are host:port. Process IDs of 0 leave out
// their fault.
type Config struct {
	Gateways, Engines        []string
	Service, OperatorKey     string
	Deployments              []string
	Generations, Calls       int
	Tokens                   int
	KillEngine, FreezeEngine int
	KillGateway              int
	// PauseGateway is the process ID of the instance that is stopped for pauseFor in a second
	// round, and then continues.
	PauseGateway int
	Operator     operatorv1connect.OperatorServiceClient
	Out          io.Writer
}

const (
	requestTimeout = 30 * time.Second
	setupTimeout   = 20 * time.Second
)

// demo is a run in progress.
type demo struct {
	Config
	key            string
	generations    *operatorv1.Deployment
	plain          *operatorv1.Deployment
	work           *load.EngineWork
	tokensReceived atomic.Int64
	faults         load.Faults
	tally          load.Tally
}

// errFailed means that an answer was lost or wrong, or that a call ran twice. The line that Run
// prints says which.
var errFailed = errors.New("demo: a promise was broken")

// Run runs the demo and prints one line with the results at the end. It returns an error if the
// setup or any check fails.
func Run(ctx context.Context, cfg Config) error {
	d := &demo{Config: cfg, key: pipeline.TeamKeyPrefix + "almaty-desk_" + uuid.NewString(), work: load.NewEngineWork(cfg.Engines)}
	d.tally.Resume = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	if err := d.setup(ctx); err != nil {
		return err
	}
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	go d.work.Poll(workCtx)
	d.logf("sending %d generations and %d calls at once", d.Generations, d.Calls)
	var wg sync.WaitGroup
	for i := range d.Generations {
		wg.Go(func() { d.generate(ctx, i) })
	}
	for i := range d.Calls {
		wg.Go(func() { d.call(ctx, i) })
	}
	wg.Go(func() { d.injectFaults(ctx) })
	wg.Wait()
	killRoundResume := d.tally.Resume
	if d.PauseGateway != 0 {
		d.runPauseRound(ctx)
	}
	return d.report(ctx, killRoundResume)
}

const (
	pauseRoundGenerations = 30              // sent in the second round
	pauseAfter            = time.Second / 2 // from the start of the round until the instance is stopped
	pauseFor              = 5 * time.Second
)

// runPauseRound runs the second round. An instance is stopped while answers are in flight, and
// continues when others have taken over its work. The tokens of its old attempts must not reach
// callers.
func (d *demo) runPauseRound(ctx context.Context) {
	d.tally.Resume = hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	d.logf("pausing an instance for %v, with %d generations in flight", pauseFor, pauseRoundGenerations)
	var wg sync.WaitGroup
	for i := range pauseRoundGenerations {
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
	d.logf("it returned; the answers it held went on elsewhere, resume_ms_p99=%d", d.tally.Resume.ValueAtPercentile(99))
	d.Generations += pauseRoundGenerations
}

func (d *demo) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, "demo: "+format+"\n", args...)
}

// setup creates the teams and deployments and waits until all instances have them.
func (d *demo) setup(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
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
	return d.waitForConfiguration(ctx)
}

// waitForConfiguration waits until all instances have the same configuration and all endpoints are
// live.
func (d *demo) waitForConfiguration(ctx context.Context) error {
	startedAt := time.Now()
	for {
		r, err := d.Operator.GetFleetStatus(ctx, connect.NewRequest(&operatorv1.GetFleetStatusRequest{}))
		if err != nil {
			return err
		}
		if instances, endpoints := countReady(r.Msg); instances == len(d.Gateways) && endpoints == len(d.Engines)+1 {
			d.logf("configuration in force at %d instances, %d endpoints, after %d ms", instances, endpoints, time.Since(startedAt).Milliseconds())
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("the fleet did not come together: %v", r.Msg)
		}
	}
}

// countReady counts the alive instances with the configuration of the one that answered, and the
// live endpoints with more than one slot.
func countReady(s *operatorv1.GetFleetStatusResponse) (instances, endpoints int) {
	for _, i := range s.Instances {
		if i.ConfigurationDigest == s.ConfigurationDigest && i.State == "alive" {
			instances++
		}
	}
	for _, e := range s.Endpoints {
		if e.State == "live" && e.Slots > 1 {
			endpoints++
		}
	}
	return instances, endpoints
}

// newClient returns a client for request i. Clients of successive requests start at different
// instances.
func (d *demo) newClient(i int) *caller.Client {
	n := i % len(d.Gateways)
	return caller.New(caller.Options{Entries: append(append([]string(nil), d.Gateways[n:]...), d.Gateways[:n]...), Key: d.key})
}

// generate runs generation i and records its outcome.
func (d *demo) generate(ctx context.Context, i int) {
	prompt := load.Prompt(i, 400)
	r := caller.Request{
		Model: d.generations.Name, Prompt: prompt, MaxTokens: d.Tokens, Seed: int64(i), Timeout: requestTimeout,
		IdempotencyKey: fmt.Sprintf("demo-%d", i), OnToken: func(string) { d.tokensReceived.Add(1) },
	}
	a, err := d.newClient(i).Generate(ctx, r)
	want := engine.ExpectedText(load.StartRequest(d.generations, prompt, d.Tokens, int64(i)))
	d.tally.RecordGeneration(a, err, want, d.Tokens, &d.faults)
}

// call makes plain call i and records its outcome. Even calls are reads; odd ones are not
// idempotent and run under a ticket.
func (d *demo) call(ctx context.Context, i int) {
	c := d.newClient(i)
	if i%2 == 0 {
		a, err := c.CallPlain(ctx, caller.PlainRequest{Service: d.plain.Name, Method: "GET", Path: "/status/" + fmt.Sprint(i), Timeout: requestTimeout})
		if caller.IsLost(err) { // the instance died: a read may be repeated
			a, err = c.CallPlain(ctx, caller.PlainRequest{Service: d.plain.Name, Method: "GET", Path: "/status/" + fmt.Sprint(i), Timeout: requestTimeout})
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
	r := caller.PlainRequest{Service: d.plain.Name, Method: "POST", Path: "/callbacks", Body: fmt.Appendf(nil, "callback-%d", i), Ticket: ticket, Timeout: requestTimeout}
	a, err := c.CallPlain(ctx, r)
	if caller.IsLost(err) {
		a, err = c.CallPlain(ctx, r) // safe under the ticket: the call runs at most once
	}
	d.tally.RecordCall(a, err, fmt.Sprintf("callback-%d", i))
}

// injectFaults kills and freezes processes while answers are in flight, each after a share of all
// tokens has arrived.
func (d *demo) injectFaults(ctx context.Context) {
	total := int64(d.Generations * d.Tokens)
	steps := []struct {
		afterTokens int64
		action      string
		pid         int
		sig         syscall.Signal
	}{
		{total * 2 / 10, "killing an engine", d.KillEngine, syscall.SIGKILL},
		{total * 4 / 10, "freezing an engine", d.FreezeEngine, syscall.SIGSTOP},
		{total * 6 / 10, "killing a gateway", d.KillGateway, syscall.SIGKILL},
	}
	for _, s := range steps {
		for d.tokensReceived.Load() < s.afterTokens && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if s.pid == 0 {
			continue
		}
		d.logf("%s (%d of %d tokens sent)", s.action, d.tokensReceived.Load(), total)
		d.faults.Add(time.Now())
		if err := syscall.Kill(s.pid, s.sig); err != nil {
			d.logf("can't: %v", err)
		}
	}
}

// report prints the results. It returns errFailed if an answer was lost or wrong or a call ran
// twice.
func (d *demo) report(ctx context.Context, resume *hdrhistogram.Histogram) error {
	runs, err := load.Runs(ctx, d.Service)
	if err != nil {
		return err
	}
	repeatedCalls := 0
	for call, n := range runs {
		if n > 1 && call[:4] == "POST" {
			repeatedCalls++
		}
	}
	t := &d.tally
	expectedWork := int64(d.Generations) * int64(d.Tokens+load.PromptTokens(400))
	extraPercent := 100 * (float64(d.work.Total())/float64(expectedWork) - 1)
	_, _ = fmt.Fprintf(d.Out, "demo: sent=%d complete=%d refused=%d wrong=%d missing_tokens=%d repeated_tokens=%d ran_twice=%d resume_ms_p50=%d resume_ms_p99=%d extra_work_pct=%.2f\n",
		d.Generations+d.Calls, t.Complete, t.Refused, t.Wrong, t.MissingTokens, t.RepeatedTokens, repeatedCalls,
		resume.ValueAtPercentile(50), resume.ValueAtPercentile(99), extraPercent)
	if t.Wrong+t.MissingTokens+t.RepeatedTokens+repeatedCalls > 0 || t.Complete+t.Refused != d.Generations+d.Calls {
		for _, f := range t.Failures {
			d.logf("failure: %s", f)
		}
		return errFailed
	}
	return nil
}
