package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// Parameters of fatal requests, which crash the endpoints that run them.
const (
	fatalBody  = "ends whoever runs it"
	fatalDelay = 30 * time.Millisecond
	// maxFatalCrashes is how many endpoints a request may crash before it has to be stopped.
	// maxLateSends is how often it may still be sent after instances had time to learn of the last
	// crash.
	maxFatalCrashes, maxLateSends = 3, 3
	// maxPartCrashes is the same for a part of prompts.
	maxPartCrashes = 5
	// harmfulRequests is how many fatal requests of a team make the daemon stop its others sooner.
	harmfulRequests = 4
	// minSoundStreams is how many sound streams are needed to judge how many of them begin.
	minSoundStreams = 20
	// fatalOneIn means that one request in so many is fatal, once there is a fatal request.
	fatalOneIn = 12
	// stoppedAnswerText is part of the answer to a stopped request. The answer has to come within
	// stoppedAnswerWithin.
	stoppedAnswerText   = "ends the endpoints"
	stoppedAnswerWithin = 200*time.Millisecond + timingMargin
)

// fatalRequests holds the fatal requests of a soak, which are identified by their index. The zero value is
// empty; it is safe for concurrent use.
type fatalRequests struct {
	mu  sync.Mutex
	all []fatalKind
}

// fatalKind is a request that is sent again and again, or a part that requests with different contents have in
// their prompts.
type fatalKind struct {
	path   string
	isPart bool
}

func (f *fatalRequests) add(k fatalKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, k)
	return len(f.all) - 1
}

// draw returns a random fatal kind with its index; false if there is none.
func (f *fatalRequests) draw(r *rand.Rand) (fatalKind, int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.all) == 0 {
		return fatalKind{}, 0, false
	}
	n := r.IntN(len(f.all))
	return f.all[n], n, true
}

// body returns the body of a fatal request. Requests with a fatal part have bodies of their own.
func (k fatalKind) body(n int, id string) string {
	if k.isPart {
		return fmt.Sprint(fatalPartBody, n, ofRequest, id)
	}
	return fmt.Sprint(fatalBody, " ", n)
}

// Bodies of requests with a fatal part begin with fatalPartBody and the index of the part. ofRequest separates
// that from the request's own id.
const (
	fatalPartBody = fatalBody + " part "
	ofRequest     = " of "
)

// fatalCause returns what is fatal in a request, by its body: the request or a part.
func fatalCause(body string) string {
	cause, _, _ := strings.Cut(body, ofRequest)
	return cause
}

// isFatalPart reports whether what is fatal is a part of prompts.
func isFatalPart(cause string) bool { return strings.HasPrefix(cause, fatalPartBody) }

// fatalPartID returns the id of a fatal part, by the index of its kind.
func fatalPartID(n int) string { return fmt.Sprintf("bad%x", n) }

// fatalRequest makes one more request fatal from now on. Callers send it among the others.
func fatalRequest(w *environment, r *rand.Rand) (string, func()) {
	path := []string{"/brief/1", "/log/1", "/ping/1"}[r.IntN(3)]
	inPrefill := r.IntN(4) == 0
	w.makeFatal(inPrefill)
	return fmt.Sprintf("request %d to %s ends whoever runs it, in prefill: %v", w.fatalRequests.add(fatalKind{path: path}), path, inPrefill), nil
}

// fatalPart makes a part of prompts fatal from now on. Callers send requests with it among the others.
func fatalPart(w *environment, _ *rand.Rand) (string, func()) {
	w.makeFatal(false)
	return fmt.Sprintf("part %d of prompts ends whoever answers a request with it", w.fatalRequests.add(fatalKind{path: "/brief/1", isPart: true})), nil
}

func (w *environment) makeFatal(inPrefill bool) {
	w.fleet.SetFatalRequest(&standin.FatalRequest{
		Matches: func(r *standin.Run) bool { return strings.HasPrefix(r.Body, fatalBody) }, DuringPrefill: inPrefill, Delay: fatalDelay,
		Terminate: w.crashEndpoint,
	})
}

// crashEndpoint crashes the worker that has the address of an incarnation which runs a fatal
// request.
func (w *environment) crashEndpoint(running *standin.Worker) {
	for _, k := range w.workers {
		if k.config.Address == running.Config().Address {
			go k.crash(time.Second)
		}
	}
}

// checkFatalRequests checks that fatal requests and parts were stopped in time and with a true answer, that
// no others were stopped, and that sound requests of the same team were served.
func (s *soak) checkFatalRequests(runs map[string][]workerRun) {
	fatalRuns, harmfulAt := map[string][]workerRun{}, map[string]time.Time{}
	for _, all := range runs {
		for _, r := range all {
			if !strings.HasPrefix(r.Body, fatalBody) {
				continue
			}
			cause := fatalCause(r.Body)
			fatalRuns[cause] = append(fatalRuns[cause], r)
			if at := harmfulAt[r.Body]; r.Ended == standin.Crashed && (at.IsZero() || r.EndedAt.Before(at)) {
				harmfulAt[r.Body] = r.EndedAt
			}
		}
	}
	thirdCrashes, lastCrashes, teamHarmful := map[string]time.Time{}, map[string]time.Time{}, nthTime(slices.Collect(maps.Values(harmfulAt)), harmfulRequests)
	for cause, all := range fatalRuns {
		bounded := maxFatalCrashes
		if isFatalPart(cause) {
			bounded = maxPartCrashes
		}
		thirdCrashes[cause] = nthCrashTime(all, maxFatalCrashes)
		if at := nthCrashTime(all, bounded); !at.IsZero() {
			lastCrashes[cause] = at
			s.checkSendsAfterStop(cause, at, all)
		}
	}
	for _, a := range s.calls {
		s.checkStoppedAnswer(a, thirdCrashes, lastCrashes, teamHarmful)
	}
	s.checkSoundStreams(thirdCrashes)
}

// nthCrashTime returns when runs crashed endpoint number n, counted from 1; zero if they crashed fewer.
func nthCrashTime(all []workerRun, n int) time.Time {
	var crashTimes []time.Time
	for i := range all {
		if all[i].Ended == standin.Crashed {
			crashTimes = append(crashTimes, all[i].EndedAt)
		}
	}
	return nthTime(crashTimes, n)
}

// nthTime returns the n-th of some times, counted from 1; zero if there are fewer.
func nthTime(times []time.Time, n int) time.Time {
	if len(times) < n {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[n-1]
}

// checkSendsAfterStop checks how often a fatal request, or requests with a fatal part, were still sent by
// instances that had time to learn that they are stopped.
func (s *soak) checkSendsAfterStop(cause string, lastCrash time.Time, all []workerRun) {
	lateSends := 0
	for i := range all {
		a := s.calls[all[i].ID]
		if a == nil || all[i].At.Sub(lastCrash) <= settleTime+timingMargin || !s.env.disruptions.undisturbed(all[i].At, all[i].At, a.process, storeSubject) {
			continue
		}
		lateSends++
	}
	if lateSends > maxLateSends {
		s.addFinding("%q was sent to endpoints %d times later than %v after it had ended as many as it may", cause, lateSends, settleTime+timingMargin)
	}
}

// checkSoundStreams checks that sound streams begin at least half as often as usual once a fatal part had time
// to be stopped.
func (s *soak) checkSoundStreams(thirdCrashes map[string]time.Time) {
	var from time.Time
	for cause, at := range thirdCrashes {
		if isFatalPart(cause) && !at.IsZero() && (from.IsZero() || at.Before(from)) {
			from = at
		}
	}
	if from.IsZero() {
		return
	}
	sent, served := 0, 0
	for _, a := range s.calls {
		if !a.stream || a.abandoned || a.key != permanentKey || a.sent.Sub(from) <= 2*settleTime+timingMargin ||
			!s.env.disruptions.undisturbed(a.sent, a.ended, a.process, storeSubject) {
			continue
		}
		sent++
		if a.err == nil && a.answer.Status == http.StatusOK {
			served++
		}
	}
	if sent >= minSoundStreams && 2*served < sent {
		s.addFinding("%d of %d sound streams began after a part of prompts was stopped", served, sent)
	}
}

// checkStoppedAnswer checks the answer that a caller got to a stopped request.
func (s *soak) checkStoppedAnswer(a *call, thirdCrashes, lastCrashes map[string]time.Time, teamHarmful time.Time) {
	if a.err != nil || !strings.Contains(a.answer.Body, stoppedAnswerText) {
		return
	}
	took := a.ended.Sub(a.sent)
	cause := fatalCause(a.body)
	third, last := thirdCrashes[cause], lastCrashes[cause]
	switch {
	case !strings.HasPrefix(a.body, fatalBody):
		s.addFinding("request %s was stopped and ends nothing: %q", a.id, a.answer.Body)
	case a.answer.Status == http.StatusServiceUnavailable && a.answer.RetryAfter == "":
		s.addFinding("request %s was stopped and not told until when", a.id)
	case third.IsZero() && (teamHarmful.IsZero() || a.ended.Before(teamHarmful)):
		s.addFinding("request %s was stopped before it had ended %d endpoints", a.id, maxFatalCrashes)
	case !last.IsZero() && took > stoppedAnswerWithin && a.sent.Sub(last) > settleTime+timingMargin && s.env.disruptions.undisturbed(a.sent, a.ended, a.process, storeSubject):
		s.addFinding("request %s had its answer that it is stopped after %v", a.id, took)
	}
}
