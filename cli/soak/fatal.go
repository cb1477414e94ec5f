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

// Requests that end the endpoints that run them.
const (
	fatalBody  = "ends whoever runs it"
	fatalAfter = 30 * time.Millisecond
	// fatalEnds is how many endpoints one may end before it has to be stopped, and fatalMore how many sends may still follow
	// once instances had time to hear of it.
	fatalEnds, fatalMore = 3, 3
	// fatalOneIn is how many requests there are for one that is fatal, once one is.
	fatalOneIn = 12
	// stopAnswer is in the answer to a request that was stopped, which has to come within stopWithin.
	stopAnswer = "ends the endpoints"
	stopWithin = 200*time.Millisecond + margin
)

// fatals are the paths of the fatal requests of a soak, which are told apart by their numbers. The zero value has
// none; it is safe for concurrent use.
type fatals struct {
	mu    sync.Mutex
	paths []string
}

func (f *fatals) add(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paths = append(f.paths, path)
	return len(f.paths) - 1
}

func (f *fatals) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.paths)
}

// draw returns the path and the body of one of them; empty where there is none.
func (f *fatals) draw(r *rand.Rand) (path, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.paths) == 0 {
		return "", ""
	}
	n := r.IntN(len(f.paths))
	return f.paths[n], fmt.Sprint(fatalBody, " ", n)
}

// fatalsMost bounds the fatal requests of a soak: the team of more than these is held back, and all callers are of one team.
const fatalsMost = 3

// fatalRequest makes one more request fatal, from now on, and callers send it among others.
func fatalRequest(w *world, r *rand.Rand) (string, func()) {
	path := []string{"/brief/1", "/log/1", "/ping/1"}[r.IntN(3)]
	if w.fatals.count() >= fatalsMost {
		return "no more fatal requests", nil
	}
	inPrefill := r.IntN(4) == 0
	w.fleet.SetFatalRequest(&standin.FatalRequest{
		Matches: func(r *standin.Run) bool { return strings.HasPrefix(r.Body, fatalBody) }, DuringPrefill: inPrefill, Delay: fatalAfter,
		Terminate: w.fell,
	})
	return fmt.Sprintf("request %d to %s ends whoever runs it, in prefill: %v", w.fatals.add(path), path, inPrefill), nil
}

// fell ends a worker at a request.
func (w *world) fell(now *standin.Worker) {
	for _, k := range w.workers {
		if k.config.Address == now.Config().Address {
			go k.crash(time.Second)
		}
	}
}

// checkFatal checks that fatal requests were stopped, at once and honestly, and no others.
func (s *soak) checkFatal(runs map[string][]ran) {
	of := map[string][]ran{}
	for _, all := range runs {
		for _, r := range all {
			if strings.HasPrefix(r.Body, fatalBody) {
				of[r.Body] = append(of[r.Body], r)
			}
		}
	}
	thirds := map[string]time.Time{}
	for body, all := range of {
		if third := thirdEnd(all); !third.IsZero() {
			thirds[body] = third
			s.checkStopped(body, third, all)
		}
	}
	for _, a := range s.all {
		s.checkStopAnswer(a, thirds)
	}
}

// thirdEnd returns when the last endpoint ended that a request may end; zero when it did not.
func thirdEnd(all []ran) time.Time {
	var ends []time.Time
	for i := range all {
		if all[i].Ended == standin.Crashed {
			ends = append(ends, all[i].EndedAt)
		}
	}
	if len(ends) < fatalEnds {
		return time.Time{}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[fatalEnds-1]
}

// checkStopped checks how often a request was sent on by instances that had time to know that it is stopped.
func (s *soak) checkStopped(body string, third time.Time, all []ran) {
	late := 0
	for i := range all {
		a := s.all[all[i].ID]
		if a == nil || all[i].At.Sub(third) <= settle+margin || !s.world.harms.spared(all[i].At, all[i].At, a.process, theStore) {
			continue
		}
		late++
	}
	if late > fatalMore {
		s.finding("%q was sent to endpoints %d times later than %v after it had ended the third", body, late, settle+margin)
	}
}

// checkStopAnswer checks what a caller was told of a stopped request.
func (s *soak) checkStopAnswer(a *asked, thirds map[string]time.Time) {
	if a.err != nil || !strings.Contains(a.answer.Body, stopAnswer) {
		return
	}
	took := a.ended.Sub(a.sent)
	switch {
	case !strings.HasPrefix(a.body, fatalBody):
		s.finding("request %s was stopped and ends nothing: %q", a.id, a.answer.Body)
	case a.answer.Status == http.StatusServiceUnavailable && a.answer.RetryAfter == "":
		s.finding("request %s was stopped and not told until when", a.id)
	case thirds[a.body].IsZero():
		s.finding("request %s was stopped before it had ended %d endpoints", a.id, fatalEnds)
	case took > stopWithin && a.sent.Sub(thirds[a.body]) > settle+margin && s.world.harms.spared(a.sent, a.ended, a.process, theStore):
		s.finding("request %s had its answer that it is stopped after %v", a.id, took)
	}
}
