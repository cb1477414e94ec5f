package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// Options configures a soak. Instances, Engines, PlainEndpoints and Callers are numbers of them.
type Options struct {
	Seed           uint64
	FaultDuration  time.Duration
	Instances      int
	Engines        int
	PlainEndpoints int
	Callers        int
	// Program is the path of the daemon. DisabledMechanisms names mechanisms of it that are
	// switched off, which shows whether the checks notice.
	Program            string
	DisabledMechanisms []string
	// OverloadParts names the parts of the daemon that the settings switch on and the checks expect in
	// soaks with overload: of ranks, deadlines, speeds and shared_queue. A part that is in
	// DisabledMechanisms too is off, and its checks are made.
	OverloadParts []string
	// OtherProgram is a second build of the daemon, which every other instance runs; empty for none.
	OtherProgram string
	// FaultNames lists the faults that are drawn; empty for those of the seed.
	FaultNames []string
	// ShutdownGrace is the time that a process has to end after SIGTERM. WorkTime is how long plain
	// requests take.
	ShutdownGrace, WorkTime time.Duration
	// Out receives a line for each fault and finding.
	Out io.Writer
}

// Default times of processes and plain endpoints.
const (
	DefaultShutdownGrace = 4 * time.Second
	DefaultWorkTime      = 15 * time.Millisecond
)

// Result holds the counts and findings of a soak.
type Result struct {
	Asked   int `json:"asked"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Streams int `json:"streams"`
	Faults  int `json:"faults"`
	// Findings describe the guarantees that were broken.
	Findings []string `json:"findings"`
	// Logs is the directory with the logs of the processes. It is removed if there are no findings.
	Logs string `json:"logs"`
}

// soak is one run of the test.
type soak struct {
	Options
	env       *environment
	startedAt time.Time

	mu           sync.Mutex
	calls        map[string]*call
	result       Result
	measurements measurements
	// overload holds the requests to the overloaded service. It is written by runOverload alone.
	overload []*overloadRequest
}

// Run runs a soak and returns its report. Broken guarantees are findings in the report and no
// error. It returns an error if a fault name is unknown, or if the environment does not start or
// become ready.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := checkFaultNames(o.FaultNames); err != nil {
		return Report{}, err
	}
	dir, err := os.MkdirTemp("", "agateway-soak-")
	if err != nil {
		return Report{}, err
	}
	s := &soak{Options: o, startedAt: time.Now(), calls: map[string]*call{}, result: Result{Logs: dir}, measurements: newMeasurements()}
	if s.env, err = newEnvironment(dir, o.Program, o); err != nil {
		return Report{}, err
	}
	defer s.env.close()
	if !s.waitReady(ctx) {
		return Report{}, fmt.Errorf("the instances did not become ready; logs in %s", dir)
	}
	s.runLoad(ctx)
	s.checkRuns()
	s.checkRetries()
	s.checkLimits()
	s.checkCuts()
	s.checkWords()
	s.checkRollouts()
	s.checkOverload()
	s.checkCrowds()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.result.Findings) == 0 {
		_ = os.RemoveAll(dir) // files that stay behind do no damage
	}
	return s.measurements.report(s.Seed, s.result), nil
}

// Timing and concurrency of a soak.
const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// maxOverlappingFaults is how many faults with an end may overlap.
	maxOverlappingFaults = 4
	// quietPeriod is the time without new faults at the end. After it everything has to be served
	// again.
	quietPeriod = 6 * time.Second
)

// waitReady waits until all instances report that they are ready. It returns false after
// readyTimeout.
func (s *soak) waitReady(ctx context.Context) bool {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(readyPollInterval) {
		ready := 0
		for _, p := range s.env.processes {
			a, err := standin.Do(ctx, dial, p.readyAddress, standin.Request{Method: http.MethodGet, Path: "/ready", Host: "x"})
			if err == nil && a.Status == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.env.processes) {
			return true
		}
	}
	return false
}

// runLoad runs callers and faults, then a quiet period after which everything has to be served
// again.
func (s *soak) runLoad(ctx context.Context) {
	work, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var started atomic.Uint64
	addCallers := func(ctx context.Context, n int) {
		for range n {
			number := started.Add(1) - 1
			c := &caller{soak: s, rnd: rand.New(rand.NewPCG(s.Seed, number)), name: fmt.Sprint("c", number)}
			wg.Go(func() { c.run(ctx) })
		}
	}
	addCallers(work, s.Callers)
	s.env.burst = addCallers
	var overload sync.WaitGroup
	if s.env.overload {
		overload.Go(func() { s.runOverload(ctx) })
	}
	s.injectFaults(ctx)
	overload.Wait()
	time.Sleep(quietPeriod / 2)
	if !s.waitReady(ctx) {
		s.addFinding("instances are not ready %v after the last fault", quietPeriod/2+readyTimeout)
	}
	if s.Seed >= firstPauseSeed && s.Seed < firstOverloadSeed {
		s.env.pauseAlone(rand.New(rand.NewPCG(s.Seed, firstPauseSeed)))
	}
	time.Sleep(quietPeriod / 2)
	s.checkServed(ctx)
	s.checkChangesTakeEffect(ctx)
	stop()
	wg.Wait()
}

// injectFaults starts random faults and ends them later, the oldest first, so that they overlap.
func (s *soak) injectFaults(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, ^uint64(0)))
	var ends []func()
	all := faultNamesForSeed(s.Seed)
	if len(s.FaultNames) > 0 {
		all = s.FaultNames
	}
	until := time.Now().Add(s.FaultDuration)
	for time.Now().Before(until) && ctx.Err() == nil {
		what, end := faults[all[rnd.IntN(len(all))]](s.env, rnd)
		s.mu.Lock()
		s.result.Faults++
		s.measurements.moments = append(s.measurements.moments, Moment{time.Since(s.startedAt).Seconds(), what})
		s.mu.Unlock()
		s.logf("%s", what)
		if end != nil {
			ends = append(ends, end)
		}
		if len(ends) > maxOverlappingFaults || len(ends) > 0 && rnd.IntN(2) == 0 {
			ends[0]()
			ends = ends[1:]
		}
		time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
	}
	for _, end := range ends {
		end()
	}
	time.Sleep(time.Until(s.env.pauses.lastEnd()))
	s.logf("no more faults")
}

func (s *soak) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, "%8.3f s  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (s *soak) addFinding(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.logf("FINDING: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Findings = append(s.result.Findings, text)
}

// checkCall records the outcome of a request and checks its answer.
func (s *soak) checkCall(r *standin.Request, a *call) {
	s.mu.Lock()
	s.calls[a.id] = a
	s.countOutcome(r, a)
	s.mu.Unlock()
	if a.err != nil || a.answer.Status != http.StatusOK {
		return
	}
	if r.PromptID != "" {
		if wrong := streamDefect(&a.answer, r.PromptID); wrong != "" {
			s.addFinding("stream %s: %s", a.id, wrong)
		}
		return
	}
	if a.answer.Complete && a.answer.Body != "answer to "+a.id {
		s.addFinding("request %s got %q", a.id, a.answer.Body)
	}
}

// countOutcome counts the outcome of a request. The caller holds the mutex.
func (s *soak) countOutcome(r *standin.Request, a *call) {
	s.result.Asked++
	now := s.measurements.second(a.ended.Sub(s.startedAt))
	switch {
	case a.err != nil || !a.answer.Complete:
		s.result.Unknown++
		now.Unknown++
	case a.answer.Status != http.StatusOK:
		s.result.Refused++
		now.Refused++
	default:
		s.result.Served++
		now.Served++
		s.recordLatency(r, a)
	}
}

// recordLatency records the latencies of a request that was served.
func (s *soak) recordLatency(r *standin.Request, a *call) {
	if r.PromptID == "" {
		record(s.measurements.plain, a.ended.Sub(a.sent))
		return
	}
	s.result.Streams++
	if len(a.answer.Events) > 0 {
		record(s.measurements.firstEvent, a.answer.Events[0].At.Sub(a.sent))
		record(s.measurements.longestPause, a.answer.LongestGap())
	}
}

// checkServed sends each kind of request to each instance after the faults are over.
func (s *soak) checkServed(ctx context.Context) {
	for i, p := range s.env.processes {
		for _, r := range []standin.Request{
			{Path: "/ping/1", Timeout: plainWait}, {Path: "/brief/1", Timeout: streamWait, PromptID: "ca1f", PromptTokens: promptTokens},
		} {
			r.Method, r.Host, r.Key, r.ID = http.MethodPost, host, permanentKey, fmt.Sprintf("calm-%d-%s", i, r.Path[1:5])
			a, err := s.retryWhenAllRunning(ctx, p, r)
			if err != nil || a.Status != http.StatusOK || !a.Complete {
				s.addFinding("%s does not serve %s %v after the last fault: status %d, %v", p.name, r.Path, quietPeriod, a.Status, err)
			}
		}
	}
}

// checkChangesTakeEffect publishes a route after the faults are over, and checks that each instance serves it
// in time. Where the seed draws returns of the store, that happens in one of these.
func (s *soak) checkChangesTakeEffect(ctx context.Context) {
	version, returns := uint64(0), s.Seed >= firstReturnSeed && s.Seed <= lastSeed
	if returns {
		version = s.env.returnUnnoticed()
	} else {
		version = s.env.replaceRoute()
	}
	time.Sleep(applyWithin)
	for i, p := range s.env.processes {
		r := standin.Request{Method: http.MethodPost, Host: host, Key: permanentKey, Path: versionPath(version) + "1", Timeout: plainWait, ID: fmt.Sprint("change-", i)}
		a, err := s.retryWhenAllRunning(ctx, p, r)
		if err != nil || a.Status != http.StatusOK || !a.Complete {
			s.addFinding("%s does not serve the route of version %d, %v after it: status %d, %v", p.name, version, applyWithin, a.Status, err)
		}
	}
	if returns {
		s.checkRestored()
	}
}

// checkRestored checks that what processes had written is in the store again, after that has returned from a
// copy without it.
func (s *soak) checkRestored() {
	if missing := s.env.missingEntries(); len(missing) > 0 {
		s.addFinding("%v after its return, the store lacks the entries of %v", restoreWithin, missing)
	}
}

// retryWhenAllRunning sends a request, and once more if it failed while endpoints were down.
// Callers still send fatal requests at this time, and each may crash a few endpoints.
func (s *soak) retryWhenAllRunning(ctx context.Context, p *process, r standin.Request) (standin.Answer, error) {
	a, err := standin.Do(ctx, dial, p.callersAddress, r)
	if err == nil && a.Status == http.StatusOK && a.Complete || s.env.allRunning() {
		return a, err
	}
	for until := time.Now().Add(settleTime); time.Now().Before(until) && !s.env.allRunning(); {
		time.Sleep(readyPollInterval)
	}
	time.Sleep(settleTime)
	r.ID += "-again"
	return standin.Do(ctx, dial, p.callersAddress, r)
}
