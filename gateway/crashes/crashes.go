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
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/unusable"
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
	// Regained signals that the store, or an instance that is followed, answers again after calls have failed; nil for none.
	Regained *pause.Signal
	// Unusable gets the objects of the store that can't be decoded; nil for none.
	Unusable *unusable.Entries
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

// Decide returns how a request may be sent to a service.
func (r *Registry) Decide(req crashers.Request, service string) Decision {
	if !r.HasRecords() {
		return Decision{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decide(time.Now(), &req, service)
}

// Decision says whether a request may be sent to an endpoint. It may not if Verdict is Stopped or
// Busy is true.
type Decision struct {
	Verdict crashers.Verdict
	// Part is the id of the part of the prompt that the verdict is for; empty if it is for the request
	// as a whole.
	Part string
	// Remaining is how long a stopped request is still stopped.
	Remaining time.Duration
	// Busy reports that the request is Careful and is tried by another owner, here or at another
	// instance. [Registry.Decide] does not set it.
	Busy bool
}

// decide is [Registry.Decide] for a caller that holds mu.
func (r *Registry) decide(now time.Time, req *crashers.Request, service string) Decision {
	d := r.core.Decide(now, req, service)
	return Decision{Verdict: d.Verdict, Part: d.Subject.Part, Remaining: max(d.Until.Sub(now), 0)}
}

// Admit decides whether a request may be sent to an endpoint of a service. If the request is
// Careful and not Busy, its trial belongs to owner from then on, and owner ends it with
// [Registry.ReleaseTrial].
func (r *Registry) Admit(req crashers.Request, service string, owner any) Decision {
	if !r.HasRecords() {
		return Decision{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	d := r.decide(now, &req, service)
	d.Busy = d.Verdict == crashers.Careful && !r.acquireTrial(now, &req, service, owner)
	return d
}

// acquireTrial acquires the trial of a request for owner. It returns false while another owner or
// instance has it. The caller holds mu.
func (r *Registry) acquireTrial(now time.Time, req *crashers.Request, service string, owner any) bool {
	tried := r.core.TrialSubjects(now, req)
	for _, s := range tried {
		if other := r.trials[s]; other != nil && other != owner {
			return false
		}
	}
	if !r.core.AcquireTrial(now, req, service, r.Self) {
		return false
	}
	for _, s := range tried {
		r.trials[s] = owner
		r.scheduleBroadcast(s)
	}
	return true
}

// RecordCrash records that an endpoint crashed while it had a request. inputs are what the attribution
// was based on, for the log.
func (r *Registry) RecordCrash(req crashers.Request, crash crashers.Crash, inputs logrus.Fields) {
	r.mu.Lock()
	now := time.Now()
	stopped := r.core.RecordCrash(now, req, crash)
	decision := r.core.Decide(now, &req, crash.Service)
	f, _ := r.core.Fact(now, req.Whole, r.Self)
	for _, s := range req.Subjects() {
		r.scheduleBroadcast(s)
	}
	for _, s := range stopped {
		r.scheduleWrite(s, now)
	}
	r.reloadIfPeersMissing()
	r.mu.Unlock()
	r.metrics.countCrash(crash.Phase)
	r.log(req.Whole, inputs).WithFields(logrus.Fields{
		"endpoint": crash.Endpoint, "begun": crash.Phase == crashers.Begun, "late": crash.Phase == crashers.Late, "had_it_ms": crash.At.Sub(crash.Sent).Milliseconds(),
		"endpoints": len(f.Crashes), "verdict": decision.Verdict.String(), "parts": partIDs(req.Parts), "decisive_part": decision.Subject.Part,
	}).Warn("endpoint crashed while it had a request")
	for _, s := range stopped {
		r.reportStopped(s, "decided")
	}
}

// partIDs returns the ids of parts of a prompt, for the log.
func partIDs(parts []crashers.Subject) []string {
	out := make([]string, len(parts))
	for i := range parts {
		out[i] = parts[i].Part
	}
	return out
}

// log returns a logger with the fields that identify a subject; part is empty for a request as a whole.
func (r *Registry) log(s crashers.Subject, inputs logrus.Fields) *logrus.Entry {
	return r.Log.WithFields(inputs).WithFields(logrus.Fields{"team": s.Team, "content": hex.EncodeToString(s.Content[:]), "part": s.Part})
}

// reportStopped counts and logs that a request or a part of prompts was stopped, and calls OnStopped. how
// says who decided it.
func (r *Registry) reportStopped(s crashers.Subject, how string) {
	r.mu.Lock()
	f, _ := r.core.Fact(time.Now(), s, r.Self)
	r.mu.Unlock()
	what := "request stopped"
	if s.Part != "" {
		what = "prompt part stopped"
		r.metrics.partStops.Inc(1)
	} else {
		r.metrics.stops.Inc(1)
	}
	r.log(s, nil).WithFields(logrus.Fields{
		"how": how, "endpoints": crashedEndpoints(&f), "times": f.Stop.Count, "for_ms": time.Until(f.Stop.Until).Milliseconds(),
	}).Warn(what)
	r.Options.OnStopped(s)
}

// ClearOnAnswer records that a request was answered, and clears it and the parts of its prompt: they do not
// crash the endpoints that run them.
func (r *Registry) ClearOnAnswer(req crashers.Request) {
	r.clearServed(&req, "served", r.core.Answered)
}

// ClearOnProgress records that a request has been served for [ProgressAfter]. It clears the request and the
// parts of its prompt, except those for which a late crash is recorded.
func (r *Registry) ClearOnProgress(req crashers.Request) {
	r.clearServed(&req, "served for a while", r.core.Progressed)
}

func (r *Registry) clearServed(req *crashers.Request, why string, clear func(time.Time, *crashers.Request) []crashers.Cleared) {
	if !r.HasRecords() && len(req.Parts) == 0 {
		return
	}
	r.clear(why, func(now time.Time) []crashers.Cleared { return clear(now, req) })
}

// clear clears subjects by a function of the core registry, tells the others, and deletes stored stops in the
// background. It returns how many were cleared.
func (r *Registry) clear(why string, clear func(now time.Time) []crashers.Cleared) int {
	r.mu.Lock()
	cleared := clear(time.Now())
	for _, c := range cleared {
		r.scheduleBroadcast(c.Subject)
		delete(r.writes, c.Subject)
	}
	r.mu.Unlock()
	for _, c := range cleared {
		r.log(c.Subject, nil).WithField("why", why).Info("request cleared")
		if c.Stored {
			go r.deleteStop(c.Subject)
		}
	}
	return len(cleared)
}

// crashedEndpoints returns the endpoints that crashed while they had a request.
func crashedEndpoints(f *crashers.Fact) []string {
	out := make([]string, len(f.Crashes))
	for i := range f.Crashes {
		out[i] = f.Crashes[i].Endpoint
	}
	return out
}

// Release clears a request or a part of prompts on behalf of an operator. It returns false if nothing is
// recorded for it.
func (r *Registry) Release(s crashers.Subject) bool {
	return r.clear("released", func(now time.Time) []crashers.Cleared { return r.core.Release(now, s) }) > 0
}

// ReleaseTrial ends the trials that owner has of a request and of the parts of its prompt.
func (r *Registry) ReleaseTrial(req crashers.Request, owner any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range req.Subjects() {
		if r.trials[s] != owner {
			continue
		}
		delete(r.trials, s)
		r.core.ReleaseTrial(s, r.Self)
		r.scheduleBroadcast(s)
	}
}

// Heard merges facts from another instance or from the store. complete says that the sender knows
// all stops in the store; this instance then knows them too.
func (r *Registry) Heard(from string, facts []crashers.Fact, complete bool) {
	r.mu.Lock()
	now := time.Now()
	r.complete = r.complete || complete
	facts = sortedWholeFirst(facts)
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

// sortedWholeFirst returns facts in the order in which they are merged: those about requests as a whole come
// before those about parts of prompts, since a part is not stopped if a single request explains its crashes.
func sortedWholeFirst(facts []crashers.Fact) []crashers.Fact {
	var wholes, parts []crashers.Fact
	for i := range facts {
		if facts[i].Subject.Part == "" {
			wholes = append(wholes, facts[i])
		} else {
			parts = append(parts, facts[i])
		}
	}
	return append(wholes, parts...)
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
	// Part is the id of the stopped part of prompts; empty if a request as a whole is stopped.
	Part    string `json:"part,omitempty"`
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
		d := r.Decide(crashers.Request{Whole: f.Subject}, f.Service)
		out[i] = State{
			Team: f.Subject.Team, Service: f.Service, Content: hex.EncodeToString(f.Subject.Content[:]), Part: f.Subject.Part, Verdict: d.Verdict.String(),
			Times: f.Stop.Count, ForMS: d.Remaining.Milliseconds(), Stored: f.Stop.Stored, Endpoints: crashedEndpoints(f),
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
