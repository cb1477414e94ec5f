package soak

import (
	"fmt"
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
	// fatalOneIn means that one request in so many is fatal, once there is a fatal request.
	fatalOneIn = 12
	// stoppedAnswerText is part of the answer to a stopped request. The answer has to come within
	// stoppedAnswerWithin.
	stoppedAnswerText   = "ends the endpoints"
	stoppedAnswerWithin = 200*time.Millisecond + timingMargin
)

// fatalRequests holds the paths of the fatal requests of a soak, which are identified by their
// index. The zero value is empty; it is safe for concurrent use.
type fatalRequests struct {
	mu    sync.Mutex
	paths []string
}

func (f *fatalRequests) add(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paths = append(f.paths, path)
	return len(f.paths) - 1
}

func (f *fatalRequests) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.paths)
}

// draw returns the path and the body of a random fatal request; both are empty if there is none.
func (f *fatalRequests) draw(r *rand.Rand) (path, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.paths) == 0 {
		return "", ""
	}
	n := r.IntN(len(f.paths))
	return f.paths[n], fmt.Sprint(fatalBody, " ", n)
}

// maxFatalRequests bounds the fatal requests of a soak. The daemon holds back a team with more of
// them, and all callers belong to one team.
const maxFatalRequests = 3

// fatalRequest makes one more request fatal from now on. Callers send it among the others.
func fatalRequest(w *environment, r *rand.Rand) (string, func()) {
	path := []string{"/brief/1", "/log/1", "/ping/1"}[r.IntN(3)]
	if w.fatalRequests.count() >= maxFatalRequests {
		return "no more fatal requests", nil
	}
	inPrefill := r.IntN(4) == 0
	w.fleet.SetFatalRequest(&standin.FatalRequest{
		Matches: func(r *standin.Run) bool { return strings.HasPrefix(r.Body, fatalBody) }, DuringPrefill: inPrefill, Delay: fatalDelay,
		Terminate: w.crashEndpoint,
	})
	return fmt.Sprintf("request %d to %s ends whoever runs it, in prefill: %v", w.fatalRequests.add(path), path, inPrefill), nil
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

// checkFatalRequests checks that fatal requests were stopped in time and with a true answer, and
// that no others were stopped.
func (s *soak) checkFatalRequests(runs map[string][]workerRun) {
	fatalRuns := map[string][]workerRun{}
	for _, all := range runs {
		for _, r := range all {
			if strings.HasPrefix(r.Body, fatalBody) {
				fatalRuns[r.Body] = append(fatalRuns[r.Body], r)
			}
		}
	}
	thirdCrashes := map[string]time.Time{}
	for body, all := range fatalRuns {
		if thirdCrash := thirdCrashTime(all); !thirdCrash.IsZero() {
			thirdCrashes[body] = thirdCrash
			s.checkSendsAfterStop(body, thirdCrash, all)
		}
	}
	for _, a := range s.calls {
		s.checkStoppedAnswer(a, thirdCrashes)
	}
}

// thirdCrashTime returns when the request crashed endpoint number maxFatalCrashes; zero if it
// crashed fewer.
func thirdCrashTime(all []workerRun) time.Time {
	var crashTimes []time.Time
	for i := range all {
		if all[i].Ended == standin.Crashed {
			crashTimes = append(crashTimes, all[i].EndedAt)
		}
	}
	if len(crashTimes) < maxFatalCrashes {
		return time.Time{}
	}
	slices.SortFunc(crashTimes, time.Time.Compare)
	return crashTimes[maxFatalCrashes-1]
}

// checkSendsAfterStop checks how often a request was still sent by instances that had time to learn
// that it is stopped.
func (s *soak) checkSendsAfterStop(body string, thirdCrash time.Time, all []workerRun) {
	lateSends := 0
	for i := range all {
		a := s.calls[all[i].ID]
		if a == nil || all[i].At.Sub(thirdCrash) <= settleTime+timingMargin || !s.env.disruptions.undisturbed(all[i].At, all[i].At, a.process, storeSubject) {
			continue
		}
		lateSends++
	}
	if lateSends > maxLateSends {
		s.addFinding("%q was sent to endpoints %d times later than %v after it had ended the third", body, lateSends, settleTime+timingMargin)
	}
}

// checkStoppedAnswer checks the answer that a caller got to a stopped request.
func (s *soak) checkStoppedAnswer(a *call, thirdCrashes map[string]time.Time) {
	if a.err != nil || !strings.Contains(a.answer.Body, stoppedAnswerText) {
		return
	}
	took := a.ended.Sub(a.sent)
	switch {
	case !strings.HasPrefix(a.body, fatalBody):
		s.addFinding("request %s was stopped and ends nothing: %q", a.id, a.answer.Body)
	case a.answer.Status == http.StatusServiceUnavailable && a.answer.RetryAfter == "":
		s.addFinding("request %s was stopped and not told until when", a.id)
	case thirdCrashes[a.body].IsZero():
		s.addFinding("request %s was stopped before it had ended %d endpoints", a.id, maxFatalCrashes)
	case took > stoppedAnswerWithin && a.sent.Sub(thirdCrashes[a.body]) > settleTime+timingMargin && s.env.disruptions.undisturbed(a.sent, a.ended, a.process, storeSubject):
		s.addFinding("request %s had its answer that it is stopped after %v", a.id, took)
	}
}
