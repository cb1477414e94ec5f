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
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/platform"
)

// Store keeps stops beyond the lifetime of all instances.
type Store interface {
	List(ctx context.Context, kind string) (platform.Page, error)
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (platform.Object, error)
	Replace(ctx context.Context, kind, name string, spec json.RawMessage, condition revision.Position) (platform.Object, error)
	Delete(ctx context.Context, kind, name string, condition revision.Position) error
}

// Options configure a [Registry].
type Options struct {
	Settings crashers.Settings
	// Self is the id of this instance.
	Self  string
	Store Store
	// Discovered is closed once this instance has looked for the others. Instances returns how many
	// instances are alive and how many are known; both counts include this one.
	Discovered func() <-chan struct{}
	Instances  func() (alive, known int)
	// Broadcast sends facts to all other instances. complete says that this instance knows all
	// stops in the store.
	Broadcast func(facts []crashers.Fact, complete bool)
	// OnStopped is called when a request has been stopped, by this instance or by another one.
	OnStopped func(crashers.Subject)
	Log       *logrus.Entry
	Scope     tally.Scope
}

// Registry holds what this instance knows of requests that crash endpoints. It is safe for
// concurrent use.
type Registry struct {
	Options
	metrics metrics
	// hasRecords reports whether any request is recorded. While none is, requests need not be
	// looked up.
	hasRecords atomic.Bool
	// wake announces facts to broadcast, storeWake work for syncStore. Both have a buffer of one.
	wake, storeWake chan struct{}

	mu         sync.Mutex
	core       *crashers.Registry
	trials     map[crashers.Subject]any       // owner of each trial of this instance
	broadcasts map[crashers.Subject]int       // how often to send each fact still
	writes     map[crashers.Subject]time.Time // when to write each stop to the store
	// complete reports whether all stops in the store are known.
	complete bool
}

// New returns an empty registry. Only while [Registry.Run] runs, it sends changes to the other
// instances, and reads and writes stops in the store.
func New(o Options) *Registry {
	return &Registry{
		Options: o, metrics: newMetrics(o.Scope), wake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1), core: crashers.New(o.Settings),
		trials: map[crashers.Subject]any{}, broadcasts: map[crashers.Subject]int{}, writes: map[crashers.Subject]time.Time{},
	}
}

// HasRecords reports whether any request is recorded. While none is, the caller need not compute
// the identity of a request.
func (r *Registry) HasRecords() bool { return r.hasRecords.Load() }

// Verdict returns how a request may be sent to a service, and for how long it is still stopped.
func (r *Registry) Verdict(req crashers.Subject, service string) (crashers.Verdict, time.Duration) {
	if !r.HasRecords() {
		return crashers.Free, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict(time.Now(), req, service)
}

// verdict is [Registry.Verdict] for a caller that holds mu.
func (r *Registry) verdict(now time.Time, req crashers.Subject, service string) (crashers.Verdict, time.Duration) {
	return r.core.Verdict(now, req, service), max(r.core.Stop(req).Until.Sub(now), 0)
}

// Admission says whether a request may be sent to an endpoint. It may not if Verdict is Stopped or
// Busy is true.
type Admission struct {
	Verdict crashers.Verdict
	// Remaining is how long a stopped request is still stopped.
	Remaining time.Duration
	// Busy reports that the request is Careful and is tried by another owner, here or at another
	// instance.
	Busy bool
}

// Admit decides whether a request may be sent to an endpoint of a service. If the request is
// Careful and not Busy, its trial belongs to owner from then on, and owner ends it with
// [Registry.ReleaseTrial].
func (r *Registry) Admit(req crashers.Subject, service string, owner any) Admission {
	if !r.HasRecords() {
		return Admission{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	v, left := r.verdict(now, req, service)
	return Admission{Verdict: v, Remaining: left, Busy: v == crashers.Careful && !r.acquireTrial(now, req, service, owner)}
}

// acquireTrial acquires the trial of a request for owner. It returns false while another owner or
// instance has it. The caller holds mu.
func (r *Registry) acquireTrial(now time.Time, req crashers.Subject, service string, owner any) bool {
	if other := r.trials[req]; other != nil && other != owner {
		return false
	}
	if !r.core.AcquireTrial(now, req, service, r.Self) {
		return false
	}
	r.trials[req] = owner
	r.scheduleBroadcast(req)
	return true
}

// RecordCrash records that an endpoint crashed while it had a request. inputs are what the attribution
// was based on, for the log.
func (r *Registry) RecordCrash(req crashers.Subject, crash crashers.Crash, inputs logrus.Fields) {
	r.mu.Lock()
	now := time.Now()
	stopped := r.core.RecordCrash(now, req, crash)
	verdict := r.core.Verdict(now, req, crash.Service)
	f, _ := r.core.Fact(now, req, r.Self)
	r.scheduleBroadcast(req)
	if stopped {
		r.scheduleWrite(req, now)
	}
	r.reloadIfPeersMissing()
	r.mu.Unlock()
	r.metrics.countCrash(crash.Phase)
	r.log(req, inputs).WithFields(logrus.Fields{
		"endpoint": crash.Endpoint, "begun": crash.Phase == crashers.Begun, "late": crash.Phase == crashers.Late, "had_it_ms": crash.At.Sub(crash.Sent).Milliseconds(),
		"endpoints": len(f.Crashes), "verdict": verdict.String(),
	}).Warn("endpoint crashed while it had a request")
	if stopped {
		r.reportStopped(req, "decided")
	}
}

// log returns a logger with the fields that identify a request.
func (r *Registry) log(req crashers.Subject, inputs logrus.Fields) *logrus.Entry {
	return r.Log.WithFields(inputs).WithFields(logrus.Fields{"team": req.Team, "content": hex.EncodeToString(req.Content[:])})
}

// reportStopped counts and logs that a request was stopped, and calls OnStopped. how says who
// decided it.
func (r *Registry) reportStopped(req crashers.Subject, how string) {
	r.mu.Lock()
	f, _ := r.core.Fact(time.Now(), req, r.Self)
	r.mu.Unlock()
	r.metrics.stops.Inc(1)
	r.log(req, nil).WithFields(logrus.Fields{
		"how": how, "endpoints": crashedEndpoints(&f), "times": f.Stop.Count, "for_ms": time.Until(f.Stop.Until).Milliseconds(),
	}).Warn("request stopped")
	r.Options.OnStopped(req)
}

// ClearOnAnswer records that a request was answered, and clears it: it does not crash the endpoints
// that run it.
func (r *Registry) ClearOnAnswer(req crashers.Subject) {
	if r.HasRecords() {
		r.clear(req, "served")
	}
}

// ClearOnProgress records that a request has been served for [ProgressAfter]. It clears the request
// unless a late crash is recorded for it.
func (r *Registry) ClearOnProgress(req crashers.Subject) {
	if r.HasRecords() {
		r.clearWith(req, "served for a while", r.core.ClearOnProgress)
	}
}

// crashedEndpoints returns the endpoints that crashed while they had a request.
func crashedEndpoints(f *crashers.Fact) []string {
	out := make([]string, len(f.Crashes))
	for i := range f.Crashes {
		out[i] = f.Crashes[i].Endpoint
	}
	return out
}

// Release clears a request on behalf of an operator. It returns false if nothing is recorded for
// it.
func (r *Registry) Release(req crashers.Subject) bool { return r.clear(req, "released") }

func (r *Registry) clear(req crashers.Subject, why string) bool {
	return r.clearWith(req, why, r.core.Clear)
}

// clearWith clears a request by a function of the core registry, tells the others, and deletes a
// stored stop in the background. It returns false if there was nothing to clear.
func (r *Registry) clearWith(req crashers.Subject, why string, clear func(time.Time, crashers.Subject) bool) bool {
	r.mu.Lock()
	stored := r.core.Stop(req).Stored
	cleared := clear(time.Now(), req)
	if cleared {
		r.scheduleBroadcast(req)
		delete(r.writes, req)
	}
	r.mu.Unlock()
	if !cleared {
		return false
	}
	r.log(req, nil).WithField("why", why).Info("request cleared")
	if stored {
		go r.deleteStop(req)
	}
	return true
}

// ReleaseTrial ends the trial of a request. It does nothing if owner does not have that trial.
func (r *Registry) ReleaseTrial(req crashers.Subject, owner any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trials[req] != owner {
		return
	}
	delete(r.trials, req)
	r.core.ReleaseTrial(req, r.Self)
	r.scheduleBroadcast(req)
}

// Heard merges facts from another instance or from the store. complete says that the sender knows
// all stops in the store; this instance then knows them too.
func (r *Registry) Heard(from string, facts []crashers.Fact, complete bool) {
	r.mu.Lock()
	now := time.Now()
	r.complete = r.complete || complete
	var stopped []crashers.Subject
	for i := range facts {
		req := facts[i].Subject
		if r.core.Merge(now, from, facts[i]).Stopped {
			stopped = append(stopped, req)
		}
		r.scheduleBackupWrite(now, req)
	}
	r.updateGauges(now)
	r.mu.Unlock()
	for _, req := range stopped {
		r.reportStopped(req, "heard from "+from)
	}
}

// Facts returns the stopped requests, to answer another instance. The second result reports whether
// these are all stops in the store.
func (r *Registry) Facts() ([]crashers.Fact, bool) {
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
func (r *Registry) Forget(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.DropTrials(instance)
}

// State describes a request that is or was stopped, for operators.
type State struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Content string `json:"content"`
	Verdict string `json:"verdict"`
	// Endpoints are the endpoints that crashed while they had the request.
	Endpoints []string `json:"endpoints"`
	// Times is how often the request was stopped. ForMS is how long it is still stopped, in
	// milliseconds.
	Times  int   `json:"times"`
	ForMS  int64 `json:"for_ms"`
	Stored bool  `json:"stored"`
}

// State returns the requests that are stopped, or were and have not been cleared since.
func (r *Registry) State() []State {
	facts, _ := r.Facts()
	out := make([]State, len(facts))
	for i := range facts {
		f := &facts[i]
		v, left := r.Verdict(f.Subject, f.Service)
		out[i] = State{
			Team: f.Subject.Team, Service: f.Service, Content: hex.EncodeToString(f.Subject.Content[:]), Verdict: v.String(),
			Times: f.Stop.Count, ForMS: left.Milliseconds(), Stored: f.Stop.Stored, Endpoints: crashedEndpoints(f),
		}
	}
	return out
}

// ReleaseContent releases all stopped requests with a content hash, given in hexadecimal. It
// returns how many were released.
func (r *Registry) ReleaseContent(content string) int {
	n := 0
	facts, _ := r.Facts()
	for i := range facts {
		if req := facts[i].Subject; hex.EncodeToString(req.Content[:]) == content && r.Release(req) {
			n++
		}
	}
	return n
}
