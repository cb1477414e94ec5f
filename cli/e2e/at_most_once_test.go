package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/standin/plain"
	standin "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/apierr"
)

// callRuns returns how often all services together ran a call.
func (w *cluster) callRuns(call string) int {
	n := 0
	for _, s := range w.services {
		n += s.Runs()[call]
	}
	return n
}

// callerOf returns a caller that uses only instance i.
func (w *cluster) callerOf(i int) *caller.Client {
	return caller.New(caller.Options{Entries: []string{w.gateways[i].Callers}, Key: teamKey, Network: w.net.Node("caller"), FixedEntries: true})
}

// newLiftRequest returns a write request. ticket and key may be empty.
func newLiftRequest(ticket, key string) caller.PlainRequest {
	return caller.PlainRequest{
		Service: "queue-app", Method: http.MethodPost, Path: "/lifts", Body: []byte("squat 100"), Ticket: ticket, IdempotencyKey: key,
		Timeout: 5 * time.Second,
	}
}

// liftCall is the name under which the services count the request of newLiftRequest.
const liftCall = "POST /lifts squat 100"

// outcome returns "ok", or the error code and what the refusal says about execution ("code/ran").
func outcome(err error) string {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code + "/" + refusal.Ran
	}
	if err != nil {
		return err.Error()
	}
	return "ok"
}

// TestPlainCall checks that a call reaches a service with its path and that the answer says that it
// ran.
func TestPlainCall(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 2, engines: 1, services: 3}, func(w *cluster) {
		a, err := w.callerOfAll(0).CallPlain(w.ctx(), caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: "/status/7?x=1", Timeout: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.Assert(t, strings.Contains(string(a.Body), `"/status/7"`))
		assert.Equal(t, a.Ran, "ran")
	})
}

// TestPlainFaults injects a fault into two of three services and sends reads and writes without
// ticket or key. Reads must succeed by a retry. A write must not run twice: it must not be repeated
// if it may have run.
func TestPlainFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault       plain.Fault
		kill        bool
		read, write string
		mayRun      bool
	}{
		"killed":         {kill: true, read: "ok", write: "ok"},
		"frozen":         {fault: plain.Fault{Freeze: true}, read: "ok", write: "ok or outcome_unknown/unknown", mayRun: true},
		"drop after run": {fault: plain.Fault{DropAfterRun: true}, read: "ok", write: "ok or outcome_unknown/unknown", mayRun: true},
		"says not run":   {fault: plain.Fault{NotRun: true}, read: "ok", write: "ok"},
		"crossed":        {fault: plain.Fault{Cross: true}, read: "ok", write: "ok or outcome_unknown/unknown", mayRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 1, engines: 1, services: 3}, func(w *cluster) {
				for i, s := range w.services[:2] {
					if c.kill {
						s.Close()
						w.net.Crash(fmt.Sprint("s", i))
					}
					s.SetFault(c.fault)
				}
				for i := range 8 {
					path := fmt.Sprint("/status/", i)
					a, err := w.callerOfAll(0).CallPlain(w.ctx(), caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: path, Timeout: 5 * time.Second})
					assert.Equal(t, outcome(err), c.read)
					assert.Assert(t, strings.Contains(string(a.Body), path))
				}
				for i := range 8 {
					time.Sleep(20 * time.Second) // the suspicion has expired, so the faulty services get requests again
					r := newLiftRequest("", "")
					r.Body = fmt.Appendf(nil, "lift %d", i)
					_, err := w.callerOfAll(0).CallPlain(w.ctx(), r)
					assert.Assert(t, strings.Contains(c.write, outcome(err)), outcome(err))
					n := w.callRuns("POST /lifts " + string(r.Body))
					assert.Assert(t, n <= 1, "ran %d times", n)
					if err == nil {
						assert.Equal(t, n, 1)
					}
				}
			})
		})
	}
}

// TestTruncatedAnswer guards against answers that break off and look complete to the caller. It also
// checks that such a request releases its place in the limit on concurrent requests.
func TestTruncatedAnswer(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 1, engines: 1, services: 1}, func(w *cluster) {
		team := w.team()
		team.Concurrent = 1
		_, err := w.gateways[0].Config.PutTeam(w.ctx(), team, 1, "limit")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		get := caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: "/status/1", Timeout: time.Second}
		w.services[0].SetFault(plain.Fault{Truncate: true})
		for range 3 {
			_, err := w.callerOf(0).CallPlain(w.ctx(), get)
			assert.Assert(t, caller.IsLost(err), "%v", err)
		}
		w.services[0].SetFault(plain.Fault{})
		_, err = w.callerOf(0).CallPlain(w.ctx(), get)
		assert.NilError(t, err)
		assert.Equal(t, w.gateways[0].Pipeline.OpenRequests(), int64(0))
	})
}

// TestUnframedAnswer guards against an answer without a length and without chunks that looks complete to the caller when
// the service crashes in the middle of it: the end of the connection counted as the end of the answer.
func TestUnframedAnswer(t *testing.T) {
	for _, dies := range []bool{false, true} {
		for _, withTicket := range []bool{false, true} {
			t.Run(fmt.Sprintf("dies-%t-ticket-%t", dies, withTicket), func(t *testing.T) {
				runCluster(t, clusterConfig{gateways: 1, engines: 1, services: 1}, func(w *cluster) {
					w.services[0].SetFault(plain.Fault{Unframed: true, DieInBody: dies})
					call := caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: "/status/1", Timeout: 2 * time.Second}
					if withTicket {
						ticket, err := w.callerOf(0).Ticket(w.ctx())
						assert.NilError(t, err)
						call = newLiftRequest(ticket, "")
					}
					a, err := w.callerOf(0).CallPlain(w.ctx(), call)
					if !dies {
						assert.NilError(t, err)
						assert.Equal(t, string(a.Body), plain.UnframedBody)
						return
					}
					assert.Assert(t, err != nil, "%v", a)
					if withTicket {
						var refusal *caller.Refusal
						assert.Assert(t, errors.As(err, &refusal) && refusal.Code == string(apierr.OutcomeUnknown), "%v", err)
						return
					}
					assert.Assert(t, caller.IsLost(err), "%v", err)
				})
			})
		}
	}
}

// TestTicket repeats a call under one ticket, at once and at all instances. The call must run once. A
// different request under the ticket and invalid tickets must be refused.
func TestTicket(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 3, engines: 1, services: 2}, func(w *cluster) {
		ticket, err := w.callerOf(0).Ticket(w.ctx())
		assert.NilError(t, err)
		var wg sync.WaitGroup
		for i := range 6 { // concurrently, at all instances
			wg.Go(func() {
				a, err := w.callerOf(i%3).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
				assert.NilError(t, err)
				assert.Assert(t, strings.Contains(string(a.Body), "squat 100"))
			})
		}
		wg.Wait()
		assert.Equal(t, w.callRuns(liftCall), 1)
		a, err := w.callerOf(2).TicketOutcome(w.ctx(), ticket)
		assert.NilError(t, err)
		assert.Equal(t, a.Ran, "ran")
		other := newLiftRequest(ticket, "")
		other.Body = []byte("squat 200")
		_, err = w.callerOf(1).CallPlain(w.ctx(), other)
		assert.Equal(t, outcome(err), "idempotency_mismatch/not_run")
		for _, bad := range []string{"x", ticket[1:], ticket + "A"} {
			_, err = w.callerOf(1).CallPlain(w.ctx(), newLiftRequest(bad, ""))
			assert.Equal(t, outcome(err), "bad_ticket/not_run")
		}
	})
}

// TestTicketReportedNotRunNeverRuns checks that no instance runs a call after its ticket was
// reported as not run.
func TestTicketReportedNotRunNeverRuns(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 3, engines: 1, services: 2}, func(w *cluster) {
		ticket, err := w.callerOf(0).Ticket(w.ctx())
		assert.NilError(t, err)
		_, err = w.callerOf(1).TicketOutcome(w.ctx(), ticket)
		assert.Equal(t, outcome(err), "unavailable/not_run")
		for i := range 3 {
			_, err = w.callerOf(i).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
			assert.Equal(t, outcome(err), "unavailable/not_run")
		}
		assert.Equal(t, w.callRuns(liftCall), 0)
	})
}

// TestTicketUnderFaults checks what callers are told when the owner of a ticket or the endpoint fails
// before or after the call ran. Several answers can be true. A call must never run twice, and not_run
// must never be reported for a call that ran or runs later.
func TestTicketUnderFaults(t *testing.T) {
	const unknown = "outcome_unknown/unknown in_progress/unknown overloaded/unknown"
	const notRun = "unavailable/not_run"
	for name, c := range map[string]struct {
		before func(*cluster) // injects a fault before the first request
		first  string
		after  func(*cluster) // injects a fault between the two requests
		second string
	}{
		"owner dies after the run":   {nil, "ok", func(w *cluster) { w.killGateway(0) }, unknown},
		"owner dies before the run":  {func(w *cluster) { w.killGateway(0) }, unknown, nil, unknown},
		"owner cut off, then back":   {func(w *cluster) { w.isolate("g0") }, unknown, func(w *cluster) { w.heal() }, "ok " + notRun},
		"owner cut off after":        {nil, "ok", func(w *cluster) { w.isolate("g0") }, unknown},
		"owner drains after the run": {nil, "ok", func(w *cluster) { w.gateways[0].Drain(w.ctx()) }, "ok"},
		"owner drains before":        {func(w *cluster) { w.gateways[0].Drain(w.ctx()) }, notRun, nil, notRun},
		"answer lost": {func(w *cluster) { w.services[0].SetFault(plain.Fault{DropAfterRun: true}) }, unknown,
			func(w *cluster) { w.services[0].SetFault(plain.Fault{}) }, unknown},
		"endpoint refuses": {func(w *cluster) { w.services[0].SetFault(plain.Fault{NotRun: true}) }, notRun,
			func(w *cluster) { w.services[0].SetFault(plain.Fault{}) }, notRun},
		"endpoint frozen": {func(w *cluster) { w.services[0].SetFault(plain.Fault{Freeze: true}) }, unknown,
			func(w *cluster) { w.services[0].SetFault(plain.Fault{}) }, "ok " + unknown},
		"platform down": {func(w *cluster) { w.platform.SetFault(standin.Fault{Down: true}) }, "ok", nil, "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 3, engines: 1, services: 1}, func(w *cluster) {
				ticket, err := w.callerOf(0).Ticket(w.ctx())
				assert.NilError(t, err)
				if c.before != nil {
					c.before(w)
				}
				_, first := w.callerOf(1).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
				assert.Assert(t, strings.Contains(c.first, outcome(first)), "first: %s", outcome(first))
				if c.after != nil {
					c.after(w)
				}
				_, second := w.callerOf(2).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
				assert.Assert(t, strings.Contains(c.second, outcome(second)), "second: %s", outcome(second))
				time.Sleep(10 * time.Second)
				n := w.callRuns(liftCall)
				assert.Assert(t, n <= 1, "ran %d times", n)
				for _, r := range []string{outcome(first), outcome(second)} {
					assert.Assert(t, r != "ok" || n == 1, "said to have run")
					assert.Assert(t, !strings.HasSuffix(r, "/not_run") || n == 0, "said not to have run: %s", r)
				}
			})
		})
	}
}

// isolate cuts a node off from all others.
func (w *cluster) isolate(node string) {
	w.net.Partition(func(name string) int {
		if name == node {
			return 1
		}
		return 0
	})
}

// heal reconnects all nodes.
func (w *cluster) heal() { w.net.Partition(nil) }

// TestTicketOwnerDoesNotRunAfterDeadline cuts the owner of a ticket off from the endpoints until the
// deadline of the call has passed. The owner must not run the call afterwards.
func TestTicketOwnerDoesNotRunAfterDeadline(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 2, engines: 1, services: 1}, func(w *cluster) {
		ticket, err := w.callerOf(0).Ticket(w.ctx())
		assert.NilError(t, err)
		w.net.Partition(func(name string) int {
			if strings.HasPrefix(name, "s") {
				return 1
			}
			return 0
		})
		r := newLiftRequest(ticket, "")
		r.Timeout = 300 * time.Millisecond
		_, err = w.callerOf(0).CallPlain(w.ctx(), r)
		assert.Assert(t, err != nil)
		time.Sleep(time.Second)
		w.heal()
		time.Sleep(10 * time.Second)
		_, err = w.callerOf(1).TicketOutcome(w.ctx(), ticket)
		assert.Assert(t, strings.HasSuffix(outcome(err), "not_run"), outcome(err))
		assert.Equal(t, w.callRuns(liftCall), 0)
	})
}

// TestIdempotencyKey sends two requests with one key, at two instances, under each fault of the
// platform and of the endpoint.
func TestIdempotencyKey(t *testing.T) {
	for name, c := range map[string]struct {
		before func(*cluster)
		first  string
		after  func(*cluster)
		second string
		runs   int
	}{
		"clean":           {nil, "ok", nil, "ok", 1},
		"platform down":   {func(w *cluster) { w.platform.SetFault(standin.Fault{Down: true}) }, "unavailable/not_run", func(w *cluster) { w.platform.SetFault(standin.Fault{}) }, "ok", 1},
		"platform slow":   {func(w *cluster) { w.platform.SetFault(standin.Fault{SlowMS: 300}) }, "ok", nil, "ok", 1},
		"answer lost":     {func(w *cluster) { w.platform.SetFault(standin.Fault{LoseWrites: 1}) }, "ok", nil, "ok", 1},
		"answers lost":    {func(w *cluster) { w.platform.SetFault(standin.Fault{LoseWrites: 2}) }, "ok", nil, "ok", 1},
		"down afterwards": {nil, "ok", func(w *cluster) { w.platform.SetFault(standin.Fault{Down: true}) }, "unavailable/not_run", 1},
		"endpoint's answer lost": {func(w *cluster) { w.services[0].SetFault(plain.Fault{DropAfterRun: true}) }, "outcome_unknown/unknown",
			func(w *cluster) { w.services[0].SetFault(plain.Fault{}) }, "outcome_unknown/unknown", 1},
		"endpoint refuses": {func(w *cluster) { w.services[0].SetFault(plain.Fault{NotRun: true}) }, "unavailable/not_run",
			func(w *cluster) { w.services[0].SetFault(plain.Fault{}) }, "ok", 1},
		"gateway dies": {nil, "ok", func(w *cluster) { w.killGateway(0) }, "ok", 1},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 2, engines: 1, services: 1}, func(w *cluster) {
				if c.before != nil {
					c.before(w)
				}
				_, err := w.callerOf(0).CallPlain(w.ctx(), newLiftRequest("", "key"))
				assert.Equal(t, outcome(err), c.first, "first")
				time.Sleep(time.Second)
				if c.after != nil {
					c.after(w)
				}
				_, err = w.callerOf(1).CallPlain(w.ctx(), newLiftRequest("", "key"))
				assert.Equal(t, outcome(err), c.second, "second")
				assert.Equal(t, w.callRuns(liftCall), c.runs)
			})
		})
	}
}

// TestConcurrentRequestsWithOneKey sends concurrent requests with one key at all instances. The
// call must run once.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 3, engines: 1, services: 2}, func(w *cluster) {
		var mu sync.Mutex
		outcomes := map[string]int{}
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				_, err := w.callerOf(i%3).CallPlain(w.ctx(), newLiftRequest("", "key"))
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome(err)]++
			})
		}
		wg.Wait()
		assert.Equal(t, w.callRuns(liftCall), 1)
		assert.Assert(t, outcomes["ok"] >= 1, "%v", outcomes)
		for o := range outcomes {
			assert.Assert(t, o == "ok" || o == "outcome_unknown/unknown" || o == "in_progress/unknown", "%v", outcomes)
		}
	})
}

// TestRefusedRetryReportsUnknown checks what a draining instance reports. A refused request without a
// ticket or key did not run. One with a ticket or key may be a retry of a request that ran, so its
// outcome is unknown.
func TestRefusedRetryReportsUnknown(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 2, engines: 1, services: 1}, func(w *cluster) {
		ticket, err := w.callerOf(0).Ticket(w.ctx())
		assert.NilError(t, err)
		_, err = w.callerOf(0).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
		assert.NilError(t, err)
		w.gateways[1].Pipeline.Drain()
		for want, r := range map[string]caller.PlainRequest{
			"draining/unknown": newLiftRequest(ticket, ""),
			"draining/not_run": newLiftRequest("", ""),
		} {
			_, err = w.callerOf(1).CallPlain(w.ctx(), r)
			assert.Equal(t, outcome(err), want)
		}
		_, err = w.callerOf(1).CallPlain(w.ctx(), newLiftRequest("", "key"))
		assert.Equal(t, outcome(err), "draining/unknown")
	})
}

// TestTicketOutcomesAfterForcedDrain ends the drain of an instance while a request is in progress.
// The instance must hand over the outcomes of its tickets, and the generation that it interrupts
// must continue at another instance.
func TestTicketOutcomesAfterForcedDrain(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 3, engines: 2, services: 1, policy: "latency", extraSettings: "[callers]\ndrain = 1s\ndrain_announce = 100ms\n"}, func(w *cluster) {
		r := w.request(300)
		done := make(chan struct{})
		go func() {
			defer close(done)
			a, err := w.callerOfAll(0).Generate(w.ctx(), r)
			w.checkAnswer(r, a, err)
		}()
		time.Sleep(time.Second)
		ticket, err := w.callerOf(0).Ticket(w.ctx())
		assert.NilError(t, err)
		_, err = w.callerOf(1).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
		assert.NilError(t, err)
		w.gateways[0].Drain(w.ctx())
		_, err = w.callerOf(2).CallPlain(w.ctx(), newLiftRequest(ticket, ""))
		assert.Equal(t, outcome(err), "ok")
		assert.Equal(t, w.callRuns(liftCall), 1)
		<-done
	})
}
