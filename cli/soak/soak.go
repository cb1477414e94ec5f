package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// Options of a soak.
type Options struct {
	Seed    uint64
	Length  time.Duration
	Fronts  int
	Engines int
	Plain   int
	Callers int
	// Program is the daemon, and Without names mechanisms of it that are switched off: whether the checks notice.
	Program string
	Without []string
	// Only names the faults that are drawn; empty for those of the seed.
	Only []string
	// Grace is the time that a process has to end after SIGTERM, Work how long plain requests take.
	Grace, Work time.Duration
	// Out takes a line for each fault and finding.
	Out io.Writer
}

// Usual times of processes and plain endpoints.
const (
	DefaultGrace = 4 * time.Second
	DefaultWork  = 15 * time.Millisecond
)

// Result is what a soak found.
type Result struct {
	Asked   int `json:"asked"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Streams int `json:"streams"`
	Faults  int `json:"faults"`
	// Findings are promises that were broken.
	Findings []string `json:"findings"`
	// Logs is the folder with the logs of the processes; it is kept when there are findings.
	Logs string `json:"logs"`
}

// soak is one run.
type soak struct {
	Options
	world *world
	began time.Time

	mu      sync.Mutex
	all     map[string]*asked
	result  Result
	figures figures
}

// Run runs a soak.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := checkNames(o.Only); err != nil {
		return Report{}, err
	}
	dir, err := os.MkdirTemp("", "agateway-soak-")
	if err != nil {
		return Report{}, err
	}
	s := &soak{Options: o, began: time.Now(), all: map[string]*asked{}, result: Result{Logs: dir}, figures: newFigures()}
	if s.world, err = newWorld(dir, o.Program, o); err != nil {
		return Report{}, err
	}
	defer s.world.close()
	if !s.waitReady(ctx) {
		return Report{}, fmt.Errorf("the instances did not become ready; logs in %s", dir)
	}
	s.play(ctx)
	s.checkRuns()
	s.checkRollouts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.result.Findings) == 0 {
		_ = os.RemoveAll(dir) // what is left there is of no use
	}
	return s.figures.report(s.Seed, s.result), nil
}

// Times of a run.
const (
	readyWithin = 10 * time.Second
	readyStep   = 50 * time.Millisecond
	// faultsMost is how many faults overlap.
	faultsMost = 4
	// calm is the time at the end without new faults: after it all has to be served again.
	calm = 6 * time.Second
)

// waitReady waits until all instances say that they are ready.
func (s *soak) waitReady(ctx context.Context) bool {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(readyStep) {
		ready := 0
		for _, p := range s.world.processes {
			a, err := standin.Do(ctx, dial, p.ready, standin.Request{Method: http.MethodGet, Path: "/ready", Host: "x"})
			if err == nil && a.Status == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.world.processes) {
			return true
		}
	}
	return false
}

// play runs callers and faults, then a calm time in which all has to be served again.
func (s *soak) play(ctx context.Context) {
	work, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range s.Callers {
		c := &caller{soak: s, rnd: rand.New(rand.NewPCG(s.Seed, uint64(i))), name: fmt.Sprint("c", i)}
		wg.Go(func() { c.run(work) })
	}
	s.injectFaults(ctx)
	time.Sleep(calm / 2)
	if !s.waitReady(ctx) {
		s.finding("instances are not ready %v after the last fault", calm/2+readyWithin)
	}
	time.Sleep(calm / 2)
	s.checkServed(ctx)
	stop()
	wg.Wait()
}

// injectFaults brings faults about at random, some at a time, each for a while.
func (s *soak) injectFaults(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, ^uint64(0)))
	var ends []func()
	all := faultsOf(s.Seed)
	if len(s.Only) > 0 {
		all = s.Only
	}
	until := time.Now().Add(s.Length)
	for time.Now().Before(until) && ctx.Err() == nil {
		what, end := faults[all[rnd.IntN(len(all))]](s.world, rnd)
		s.mu.Lock()
		s.result.Faults++
		s.figures.moments = append(s.figures.moments, Moment{time.Since(s.began).Seconds(), what})
		s.mu.Unlock()
		s.say("%s", what)
		if end != nil {
			ends = append(ends, end)
		}
		if len(ends) > faultsMost || len(ends) > 0 && rnd.IntN(2) == 0 {
			ends[0]()
			ends = ends[1:]
		}
		time.Sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
	}
	for _, end := range ends {
		end()
	}
	s.say("no more faults")
}

func (s *soak) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *soak) finding(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.say("FINDING: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Findings = append(s.result.Findings, text)
}

// check looks at what became of a request.
func (s *soak) check(r *standin.Request, a *asked) {
	s.mu.Lock()
	s.all[a.id] = a
	s.count(r, a)
	s.mu.Unlock()
	if a.err != nil || a.answer.Status != http.StatusOK {
		return
	}
	if r.PromptID != "" {
		if wrong := whole(&a.answer, r.PromptID); wrong != "" {
			s.finding("stream %s: %s", a.id, wrong)
		}
		return
	}
	if a.answer.Complete && a.answer.Body != "answer to "+a.id {
		s.finding("request %s got %q", a.id, a.answer.Body)
	}
}

// count counts what became of a request.
func (s *soak) count(r *standin.Request, a *asked) {
	s.result.Asked++
	now := s.figures.second(a.ended.Sub(s.began))
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
		s.time(r, a)
	}
}

// time records how long a request that was served took.
func (s *soak) time(r *standin.Request, a *asked) {
	if r.PromptID == "" {
		record(s.figures.plain, a.ended.Sub(a.sent))
		return
	}
	s.result.Streams++
	if len(a.answer.Events) > 0 {
		record(s.figures.firstEvent, a.answer.Events[0].At.Sub(a.sent))
		record(s.figures.longestPause, a.answer.LongestGap())
	}
}

// checkServed asks each instance for each kind of thing after the faults are over.
func (s *soak) checkServed(ctx context.Context) {
	for i, p := range s.world.processes {
		for _, r := range []standin.Request{
			{Path: "/ping/1", Timeout: plainWait}, {Path: "/brief/1", Timeout: streamWait, PromptID: "ca1f", PromptTokens: promptSize},
		} {
			r.Method, r.Host, r.Key, r.ID = http.MethodPost, host, keptKey, fmt.Sprintf("calm-%d-%s", i, r.Path[1:5])
			a, err := s.askAgainOnceUp(ctx, p, r)
			if err != nil || a.Status != http.StatusOK || !a.Complete {
				s.finding("%s does not serve %s %v after the last fault: status %d, %v", p.name, r.Path, calm, a.Status, err)
			}
		}
	}
}

// askAgainOnceUp asks once more where the answer was not good while endpoints were down: requests that end endpoints still come, and each may
// end a few.
func (s *soak) askAgainOnceUp(ctx context.Context, p *process, r standin.Request) (standin.Answer, error) {
	a, err := standin.Do(ctx, dial, p.callers, r)
	if err == nil && a.Status == http.StatusOK && a.Complete || s.world.allUp() {
		return a, err
	}
	for until := time.Now().Add(settle); time.Now().Before(until) && !s.world.allUp(); {
		time.Sleep(readyStep)
	}
	time.Sleep(settle)
	r.ID += "-again"
	return standin.Do(ctx, dial, p.callers, r)
}
