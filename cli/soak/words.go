package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// Bounds of what a process may send to an incarnation that asked it for a pause: maxInPause requests,
// after pauseNotice.
const (
	pauseNotice = 500*time.Millisecond + timingMargin
	maxInPause  = 2
)

// leaveInAnswers makes a worker say in its answers that it leaves. Its entry says so too, later or
// never. It ends after drainDuration.
func leaveInAnswers(w *environment, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	entryAfter := time.Duration(r.IntN(8)) * time.Second // beyond drainDuration: never
	if !k.leaveInAnswers() {
		return k.name + " leaves already", nil
	}
	if entryAfter < drainDuration {
		time.AfterFunc(entryAfter, k.registerLeaving)
	}
	time.AfterFunc(drainDuration, func() { k.crash(500 * time.Millisecond) })
	return fmt.Sprintf("%s says in its answers that it leaves, and in its entry %v later", k.name, entryAfter), nil
}

// leaveInAnswers reports whether the worker began to say so.
func (k *worker) leaveInAnswers() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := k.current.Config().ID
	if k.state != "ready" || !k.saysLeavingSince[id].IsZero() {
		return false
	}
	k.saysLeavingSince[id] = time.Now()
	k.current.SetLeaving(true)
	return true
}

// registerLeaving makes the worker's entry say that it leaves, unless it was restarted meanwhile.
func (k *worker) registerLeaving() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state == "ready" && !k.saysLeavingSince[k.current.Config().ID].IsZero() {
		k.state = "draining" // the next heartbeat writes it to the store
	}
}

// pauseValues are what a worker sends in Retry-After.
var pauseValues = []string{"4", "3", "4", "0", "3", "soon", "1", "4"}

// pauseTime is how long a worker refuses: some longer than the longest pause.
const pauseTime = 5 * time.Second

// askForPauses makes a worker, mostly one of the few plain ones, refuse all requests and ask for a pause.
func askForPauses(w *environment, r *rand.Rand) (string, func()) {
	k, value := w.workers[r.IntN(len(w.workers))], pauseValues[r.IntN(len(pauseValues))]
	if r.IntN(4) > 0 {
		k = plainWorker(w, r)
	}
	end := w.disruptions.start(k.name)
	k.mu.Lock()
	current := k.current
	k.mu.Unlock()
	current.SetRetryAfter(value)
	current.SetFault(standin.WorkerFault{RefuseAll: true})
	time.AfterFunc(pauseTime, func() {
		current.SetRetryAfter("")
		current.SetFault(standin.WorkerFault{})
		end()
	})
	return fmt.Sprintf("%s refuses all and asks for a pause of %s", k.name, value), nil
}

// checkWords checks that no process sent requests to an incarnation after an answer that said that it
// leaves or asked for a pause. Answers from before a restart or pause of the process do not count.
func (s *soak) checkWords() {
	for _, k := range s.env.workers {
		for _, e := range k.incarnations() {
			s.checkDeparture(k, e)
			s.checkPauses(e)
		}
	}
}

func (s *soak) checkDeparture(k *worker, e *standin.Worker) {
	k.mu.Lock()
	since := k.saysLeavingSince[e.Config().ID]
	k.mu.Unlock()
	if since.IsZero() {
		return
	}
	told := map[string]time.Time{} // by process: when it got the first such answer
	for _, a := range e.Arrivals() {
		p := s.processOf(a)
		if p == nil || a.At.Before(since) || a.ConcernsMemory() {
			continue
		}
		first, known := told[p.name]
		if !known {
			told[p.name] = a.At
			continue
		}
		if late := a.At.Sub(first); late > drainWithin+s.WorkTime && s.rememberedSince(p, first, a.At) && !s.env.pauses.overlap(e, first, a.At) {
			s.addFinding("%s got %s from %s, %v after it had said in an answer that it leaves", e.Config().ID, a.Target, p.name, late)
			return
		}
	}
}

func (s *soak) checkPauses(e *standin.Worker) {
	arrivals := e.Arrivals()
	for _, refusal := range e.PauseRequests() {
		pause, err := strconv.ParseFloat(refusal.RetryAfter, 64)
		p := s.processOf(refusal.Arrival)
		if err != nil || p == nil {
			continue
		}
		end := refusal.At.Add(time.Duration(pause * float64(time.Second)))
		n := 0
		for _, a := range arrivals {
			if a.At.After(refusal.At.Add(pauseNotice)) && a.At.Before(end) && s.processOf(a) == p && s.rememberedSince(p, refusal.At, a.At) && !s.env.pauses.overlap(e, refusal.At, a.At) {
				n++
			}
		}
		if n > maxInPause {
			s.addFinding("%s got %d requests from %s in a pause of %v s that it had asked for", e.Config().ID, n, p.name, pause)
			return
		}
	}
}

// processOf returns the process that sent a request; nil if that is not known.
func (s *soak) processOf(a standin.Arrival) *process {
	host, _, err := net.SplitHostPort(a.From)
	if err != nil {
		return nil
	}
	for i, p := range s.env.processes {
		if sourceIP(i) == host {
			return p
		}
	}
	return nil
}

// rememberedSince reports whether a process was neither restarted nor disrupted between two times.
func (s *soak) rememberedSince(p *process, from, to time.Time) bool {
	return !p.startedBetween(from, to) && s.env.disruptions.undisturbed(from, to, p.name)
}
