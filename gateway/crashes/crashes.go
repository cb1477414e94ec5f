package crashes

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/platform"
)

// Store keeps what outlasts all instances.
type Store interface {
	List(ctx context.Context, kind string) (platform.Page, error)
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (platform.Object, error)
	Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (platform.Object, error)
	Delete(ctx context.Context, kind, name string, revision uint64) error
}

// Options of a register.
type Options struct {
	Settings crashers.Settings
	// Self names this instance.
	Self  string
	Store Store
	// Met is closed once the other instances were looked for, and Instances returns how many there are.
	Met       func() <-chan struct{}
	Instances func() (alive, known int)
	// Tell tells all others. complete says that this instance knows the stops that the store keeps.
	Tell func(facts []crashers.Fact, complete bool)
	// Stopped is called when a request was stopped, by this instance or another one.
	Stopped func(crashers.Request)
	Log     *logrus.Entry
	Scope   tally.Scope
}

// Register is what this instance knows of requests that end endpoints. It is safe for concurrent use.
type Register struct {
	Options
	metrics metrics
	// known tells that anything is known of any request: while nothing is, requests need not be looked up.
	known atomic.Bool
	// wake and keeperWake tell that there is news, and that the store is to be read or written.
	wake, keeperWake chan struct{}

	mu     sync.Mutex
	core   *crashers.Registry
	trials map[crashers.Request]any // whose trial each request is, of this instance
	news   map[crashers.Request]int // how often each is still to be told
	writes map[crashers.Request]time.Time
	// complete tells that the stops that the store keeps are known.
	complete bool
}

// New returns an empty register.
func New(o Options) *Register {
	return &Register{
		Options: o, metrics: newMetrics(o.Scope), wake: make(chan struct{}, 1), keeperWake: make(chan struct{}, 1), core: crashers.New(o.Settings),
		trials: map[crashers.Request]any{}, news: map[crashers.Request]int{}, writes: map[crashers.Request]time.Time{},
	}
}

// Known tells whether anything is held against any request: while nothing is, a request need not be named.
func (r *Register) Known() bool { return r.known.Load() }

// Verdict returns what may be done with a request to a service, and for how long it is stopped.
func (r *Register) Verdict(req crashers.Request, service string) (crashers.Verdict, time.Duration) {
	if !r.Known() {
		return crashers.Free, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict(time.Now(), req, service)
}

// verdict is Verdict for who holds mu.
func (r *Register) verdict(now time.Time, req crashers.Request, service string) (crashers.Verdict, time.Duration) {
	return r.core.Verdict(now, req, service), max(r.core.Stop(req).Until.Sub(now), 0)
}

// Admission says whether a request may be sent to an endpoint: not one that is stopped, nor one that is busy.
type Admission struct {
	Verdict crashers.Verdict
	// Left is for how long a stopped request stays so.
	Left time.Duration
	// Busy tells that the request is to be handled with care, and that another one tries it, here or at another instance.
	Busy bool
}

// Admit tells whether a request may be sent to an endpoint of a service. One that is to be handled with care is tried by the
// caller from then on, until Tried.
func (r *Register) Admit(req crashers.Request, service string, by any) Admission {
	if !r.Known() {
		return Admission{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	v, left := r.verdict(now, req, service)
	return Admission{Verdict: v, Left: left, Busy: v == crashers.Careful && !r.try(now, req, service, by)}
}

// try asks for the trial of a request; false while another one is out. The caller holds mu.
func (r *Register) try(now time.Time, req crashers.Request, service string, by any) bool {
	if other := r.trials[req]; other != nil && other != by {
		return false
	}
	if !r.core.AcquireTrial(now, req, service, r.Self) {
		return false
	}
	r.trials[req] = by
	r.tell(req)
	return true
}

// Ended reports that an endpoint ended under a request. inputs are what else led to that, for the log.
func (r *Register) Ended(req crashers.Request, end crashers.Crash, inputs logrus.Fields) {
	r.mu.Lock()
	now := time.Now()
	stopped := r.core.RecordCrash(now, req, end)
	verdict := r.core.Verdict(now, req, end.Service)
	f, _ := r.core.Fact(now, req, r.Self)
	r.tell(req)
	if stopped {
		r.writeAt(req, now)
	}
	r.readAfterEnd()
	r.mu.Unlock()
	r.metrics.blamed(end.Phase)
	r.log(req, inputs).WithFields(logrus.Fields{
		"endpoint": end.Endpoint, "begun": end.Phase == crashers.Begun, "late": end.Phase == crashers.Late, "had_it_ms": end.At.Sub(end.Sent).Milliseconds(),
		"endpoints": len(f.Crashes), "verdict": verdict.String(),
	}).Warn("an endpoint ended under a request")
	if stopped {
		r.stopped(req, "decided")
	}
}

// log returns a logger that names a request.
func (r *Register) log(req crashers.Request, inputs logrus.Fields) *logrus.Entry {
	return r.Log.WithFields(inputs).WithFields(logrus.Fields{"team": req.Team, "content": hex.EncodeToString(req.Content[:])})
}

// stopped makes known here that a request is stopped.
func (r *Register) stopped(req crashers.Request, how string) {
	r.mu.Lock()
	f, _ := r.core.Fact(time.Now(), req, r.Self)
	r.mu.Unlock()
	r.metrics.stops.Inc(1)
	r.log(req, nil).WithFields(logrus.Fields{
		"how": how, "endpoints": endpoints(&f), "times": f.Stop.Count, "for_ms": time.Until(f.Stop.Until).Milliseconds(),
	}).Warn("request stopped")
	r.Options.Stopped(req)
}

// Served reports that a request was served: it does not end what runs it.
func (r *Register) Served(req crashers.Request) {
	if r.Known() {
		r.clear(req, "served")
	}
}

// Progressed reports that a request has been served for a while.
func (r *Register) Progressed(req crashers.Request) {
	if r.Known() {
		r.clearBy(req, "served for a while", r.core.ClearOnProgress)
	}
}

// endpoints names the endpoints that ended under a request.
func endpoints(f *crashers.Fact) []string {
	out := make([]string, len(f.Crashes))
	for i := range f.Crashes {
		out[i] = f.Crashes[i].Endpoint
	}
	return out
}

// Release lets a request go again, by an operator's word. It returns false when nothing is held against it.
func (r *Register) Release(req crashers.Request) bool { return r.clear(req, "released") }

func (r *Register) clear(req crashers.Request, why string) bool {
	return r.clearBy(req, why, r.core.Clear)
}

func (r *Register) clearBy(req crashers.Request, why string, by func(time.Time, crashers.Request) bool) bool {
	r.mu.Lock()
	stored := r.core.Stop(req).Stored
	cleared := by(time.Now(), req)
	if cleared {
		r.tell(req)
		delete(r.writes, req)
	}
	r.mu.Unlock()
	if !cleared {
		return false
	}
	r.log(req, nil).WithField("why", why).Info("request cleared")
	if stored {
		go r.unstore(req)
	}
	return true
}

// Tried ends a trial.
func (r *Register) Tried(req crashers.Request, by any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trials[req] != by {
		return
	}
	delete(r.trials, req)
	r.core.ReleaseTrial(req, r.Self)
	r.tell(req)
}

// Heard takes what another instance told.
func (r *Register) Heard(from string, facts []crashers.Fact, complete bool) {
	r.mu.Lock()
	now := time.Now()
	r.complete = r.complete || complete
	var stopped []crashers.Request
	for i := range facts {
		req := facts[i].Request
		if r.core.Merge(now, from, facts[i]).Stopped {
			stopped = append(stopped, req)
		}
		r.mayWrite(now, req)
	}
	r.count(now)
	r.mu.Unlock()
	for _, req := range stopped {
		r.stopped(req, "heard from "+from)
	}
}

// Facts returns what is stopped, for an instance that asks, and whether that is all.
func (r *Register) Facts() ([]crashers.Fact, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []crashers.Fact
	for _, req := range r.core.StoppedRequests() {
		if f, ok := r.core.Fact(now, req, r.Self); ok {
			out = append(out, f)
		}
	}
	return out, r.complete
}

// Forget drops the trials of an instance that is gone.
func (r *Register) Forget(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.DropTrials(instance)
}

// State is what is held against a request, for operators.
type State struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Content string `json:"content"`
	Verdict string `json:"verdict"`
	// Endpoints ended under it.
	Endpoints []string `json:"endpoints"`
	// Times it was stopped, and ForMS for how much longer it is.
	Times  int   `json:"times"`
	ForMS  int64 `json:"for_ms"`
	Stored bool  `json:"stored"`
}

// State returns the requests that are held back or were, the stopped ones.
func (r *Register) State() []State {
	facts, _ := r.Facts()
	out := make([]State, len(facts))
	for i := range facts {
		f := &facts[i]
		v, left := r.Verdict(f.Request, f.Service)
		out[i] = State{
			Team: f.Request.Team, Service: f.Service, Content: hex.EncodeToString(f.Request.Content[:]), Verdict: v.String(),
			Times: f.Stop.Count, ForMS: left.Milliseconds(), Stored: f.Stop.Stored, Endpoints: endpoints(f),
		}
	}
	return out
}

// ReleaseContent lets all stopped requests of a content go; it returns how many there were.
func (r *Register) ReleaseContent(content string) int {
	n := 0
	facts, _ := r.Facts()
	for i := range facts {
		if req := facts[i].Request; hex.EncodeToString(req.Content[:]) == content && r.Release(req) {
			n++
		}
	}
	return n
}
