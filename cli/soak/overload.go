package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform/standin"
)

// The service that gets more load than it can serve. An engine at the usual speed serves a stream in 1.8 s
// of events and 0.2 s of prefill, and stands still for the prefills of 3 others meanwhile: 2.6 s, 1.5
// streams/s. The deadline leaves as much beside that as the deployments of docs/design/hard-load.md have.
const (
	overloadService  = "chat"
	overloadEngines  = 9
	overloadCapacity = 13.6 // streams/s of 9 engines: 1.5 * 3 * (1/0.7 + 1/1.0 + 1/1.7)
	overloadFactor   = 2
	overloadTime     = 8 * time.Second
	overloadWait     = 6 * time.Second
	// A prompt has up to promptSpread tokens more or less than overloadPrompt.
	overloadPrompt, promptSpread = 1600, 600
	overloadEventTokens          = 8
	overloadMemory               = 9000
	// urgentOneIn means that one request in so many is urgent.
	urgentOneIn = 5
)

// overloadSpeeds are the time factors of the engines, in turn.
var overloadSpeeds = []float64{0.7, 1.0, 1.7}

// overloadTeams is the number of teams. overloadLoad has the number of a team once for each part of the load that
// it sends. The last one has one part by right, and sends six times that.
const overloadTeams = 5

var overloadLoad = []int{0, 0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 4, 4, 4, 4}

// overloadParts are the parts of the daemon that decide under overload, by the names of their settings.
var overloadParts = []string{"ranks", "deadlines", "speeds", "shared_queue"}

// OverloadParts returns the names of the parts of the daemon that decide under overload.
func OverloadParts() []string { return slices.Clone(overloadParts) }

// isOverloadSeed reports whether a seed has a service with more load than it can serve.
func isOverloadSeed(seed uint64) bool { return seed >= firstOverloadSeed && seed <= lastSeed }

func overloadWorker(i int) standin.WorkerConfig {
	return standin.WorkerConfig{
		Service: overloadService, DataCentre: dataCentreName(i), Slots: 4, PrefillTokensPerMS: 8, EventInterval: eventInterval, Events: eventsPerStream,
		TimeFactor: overloadSpeeds[i/dataCentres%len(overloadSpeeds)],
		Batch:      standin.Batching{Waiting: 16, ChunkTokens: 200, StepTime: eventInterval / overloadEventTokens, MemoryTokens: overloadMemory, EventTokens: overloadEventTokens},
	}
}

// overloadRoutes returns the routes of the service: urgent streams, and others that may wait longer.
func overloadRoutes() []route.Route {
	r := route.Route{
		Host: host, Targets: []route.Target{{Service: overloadService, Weight: 1}}, Stream: true, RetryPolicy: route.Resumable,
		Timeout: overloadWait, TargetGap: 700 * time.Millisecond, MaxAttempts: 5,
	}
	urgent, other := r, r
	urgent.Name, urgent.Prefix, urgent.TargetLatency, urgent.Priority = "urgent", "/urgent/", time.Second, 0
	other.Name, other.Prefix, other.TargetLatency, other.Priority = "other", "/other/", 2500*time.Millisecond, 2
	return []route.Route{urgent, other}
}

// addOverload adds the service with its routes and teams to a configuration.
func addOverload(c *route.Configuration) {
	c.Routes = append(c.Routes, overloadRoutes()...)
	engine := &route.Engine{Slots: 4, KVCapacityTokens: overloadMemory, ContinuousCopies: true, CopiesOnRequest: true, CopyTTL: 2 * time.Second}
	c.Services = append(c.Services, route.Service{Name: overloadService, MaxConnections: 400, Engine: engine})
	c.Teams = append(c.Teams, teamsUnderOverload()...)
}

func teamsUnderOverload() []route.Team {
	var out []route.Team
	for i := range overloadTeams {
		out = append(out, route.Team{Name: teamName(i), Keys: []string{teamName(i) + "-key"}})
	}
	return out
}

func teamName(i int) string { return fmt.Sprint("team-", i) }

// overloadRequest is a request to the overloaded service, with one or two attempts.
type overloadRequest struct {
	team     int
	urgent   bool
	attempts []overloadAttempt
}

type overloadAttempt struct {
	id, process string
	sent, ended time.Time
	timeout     time.Duration
	answer      standin.Answer
	err         error
	// afterRetryAfter is set for a second attempt that followed a Retry-After header.
	afterRetryAfter bool
}

func (a *overloadAttempt) accepted() bool { return a.err == nil && a.answer.Status == http.StatusOK }

func (a *overloadAttempt) served() bool { return a.accepted() && a.answer.Complete }

// cutAtDeadline reports whether a stream was accepted and had not ended by its deadline.
func (a *overloadAttempt) cutAtDeadline() bool {
	return a.accepted() && !a.answer.Complete && a.ended.Sub(a.sent) >= a.timeout-deadlineMargin
}

func (a *overloadAttempt) refused() bool {
	return a.err == nil && (a.answer.Status == http.StatusServiceUnavailable || a.answer.Status == http.StatusTooManyRequests)
}

// deadlineMargin is how much earlier than its deadline a stream may end and count as cut by it: an instance
// deducts the way to the engine.
const deadlineMargin = 250 * time.Millisecond

// runOverload sends the load to the overloaded service and returns when all of it is answered.
func (s *soak) runOverload(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, firstOverloadSeed))
	var wg sync.WaitGroup
	next := time.Now()
	for until := next.Add(overloadTime); next.Before(until) && ctx.Err() == nil; {
		next = next.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second) / (overloadFactor * overloadCapacity)))
		time.Sleep(time.Until(next))
		r := &overloadRequest{team: overloadLoad[rnd.IntN(len(overloadLoad))], urgent: rnd.IntN(urgentOneIn) == 0}
		s.overload = append(s.overload, r)
		own, n := rand.New(rand.NewPCG(rnd.Uint64(), 0)), len(s.overload)
		wg.Go(func() { s.sendUnderOverload(ctx, r, own, n) })
	}
	wg.Wait()
}

// sendUnderOverload sends a request, and once more if it was refused. Before that, the caller waits as
// Retry-After says, but for a third of its remaining time at most.
func (s *soak) sendUnderOverload(ctx context.Context, r *overloadRequest, rnd *rand.Rand, n int) {
	deadline := time.Now().Add(overloadWait)
	path := "/other/1"
	if r.urgent {
		path = "/urgent/1"
	}
	tokens, afterRetryAfter := overloadPrompt-promptSpread+rnd.IntN(2*promptSpread), false
	for i := range 2 {
		p := s.env.processes[rnd.IntN(len(s.env.processes))]
		a := overloadAttempt{id: fmt.Sprintf("over-%d-%d", n, i), process: p.name, sent: time.Now(), timeout: time.Until(deadline), afterRetryAfter: afterRetryAfter}
		callCtx, cancel := context.WithTimeout(ctx, a.timeout+maxLateness)
		a.answer, a.err = standin.Do(callCtx, dial, p.callersAddress, standin.Request{
			Method: http.MethodPost, Host: host, Path: path, ID: a.id, Key: teamName(r.team) + "-key", Timeout: a.timeout,
			PromptID: fmt.Sprintf("%x", a.id), PromptTokens: tokens, OutputTokens: eventsPerStream * overloadEventTokens,
		})
		cancel()
		a.ended = time.Now()
		r.attempts = append(r.attempts, a)
		if wrong := streamDefect(&a.answer, fmt.Sprintf("%x", a.id)); a.accepted() && wrong != "" {
			s.addFinding("stream %s: %s", a.id, wrong)
		}
		if !a.refused() {
			return
		}
		seconds, err := strconv.ParseFloat(a.answer.RetryAfter, 64)
		afterRetryAfter = err == nil
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3))
	}
}
