package soak

import (
	"math/rand/v2"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// retryBound is the bound on retries that the settings of the instances give: see newProcess.
var retryBound = standin.RetryBound{Share: 0.8, Reserve: 150, Window: 10 * time.Second}

const (
	// refusedFraction is the fraction of requests that endpoints refuse in the fault refuse-most.
	refusedFraction = 0.95
	// refusalTime is how long that fault lasts, and refusalKillInterval the time between two kills meanwhile.
	refusalTime         = 9 * time.Second
	refusalKillInterval = 600 * time.Millisecond
)

// setWorkerFaults sets the fault of all workers.
func (w *environment) setWorkerFaults(f standin.WorkerFault) {
	for _, k := range w.workers {
		k.setFault(f)
	}
}

// refuseMost lets all workers refuse most requests, while the processes are killed in turn. It lasts for refusalTime.
func refuseMost(w *environment, _ *rand.Rand) (string, func()) {
	w.setWorkerFaults(standin.WorkerFault{RefusedFraction: refusedFraction})
	until := time.Now().Add(refusalTime)
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(refusalKillInterval)
		w.processes[i%len(w.processes)].kill()
	}
	w.setWorkerFaults(standin.WorkerFault{})
	return "most requests were refused while processes were killed in turn", nil
}

// checkRetries checks that within each window no service got more requests again than the bound on retries allows. Of a
// request that is not among the calls, its first arrival counts as sent.
func (s *soak) checkRetries() {
	for _, service := range []string{"engines", "plain"} {
		arrivals := map[string][]time.Time{}
		for _, k := range s.env.workers {
			if k.config.Service == service {
				k.addArrivals(arrivals)
			}
		}
		again := standin.Repeated(arrivals)
		var sent []time.Time
		for id, at := range arrivals {
			if a := s.calls[id]; a != nil {
				sent = append(sent, a.sent)
			} else {
				sent = append(sent, at[0])
			}
		}
		s.checkRetryWindows(service, sent, again)
	}
}

// checkRetryWindows reports the window with most retries if the bound does not allow them. Requests that never arrived are
// not among the sent ones, so the bound is taken somewhat too low.
func (s *soak) checkRetryWindows(service string, sent, again []time.Time) {
	worst, allowed, at := retryBound.Worst(sent, again)
	s.logf("%s: at most %d requests arrived again within %v, %.0f allowed", service, worst, retryBound.Window, allowed)
	if float64(worst) > allowed {
		s.addFinding("%d requests arrived again at %s within %v from %.3f s, %.0f allowed", worst, service, retryBound.Window, at.Sub(s.startedAt).Seconds(), allowed)
	}
}

// addArrivals adds when requests arrived at any incarnation of the worker, by id.
func (k *worker) addArrivals(arrivals map[string][]time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, one := range append([]*standin.Worker{k.current}, k.previous...) {
		for _, a := range one.Arrivals() {
			if a.ID != "" && !a.ConcernsMemory() {
				arrivals[a.ID] = append(arrivals[a.ID], a.At)
			}
		}
	}
}
