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
)

// runs returns how often a call ran at the services, all together.
func (w *world) runs(call string) int {
	n := 0
	for _, s := range w.services {
		n += s.Runs()[call]
	}
	return n
}

// only returns a caller that knows one instance.
func (w *world) only(i int) *caller.Client {
	return caller.New(caller.Options{Entries: []string{w.gateways[i].Callers}, Key: teamKey, Network: w.net.Node("caller"), FixedEntries: true})
}

func logLift(ticket, key string) caller.PlainRequest {
	return caller.PlainRequest{
		Service: "queue-app", Method: http.MethodPost, Path: "/lifts", Body: []byte("squat 100"), Ticket: ticket, IdempotencyKey: key,
		Timeout: 5 * time.Second,
	}
}

const lift = "POST /lifts squat 100"

func ran(err error) string {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code + "/" + refusal.Ran
	}
	if err != nil {
		return err.Error()
	}
	return "ok"
}

func TestPlainCall(t *testing.T) {
	run(t, shape{gateways: 2, engines: 1, services: 3}, func(w *world) {
		a, err := w.client(0).CallPlain(w.ctx(), caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: "/status/7?x=1", Timeout: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.Assert(t, strings.Contains(string(a.Body), `"/status/7"`))
		assert.Equal(t, a.Ran, "ran")
	})
}

// TestPlainFaults brings faults about at all services but one, and says what a read and a
// write without ticket or key come to. A write never runs twice, and is not repeated where
// it may have run.
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
			run(t, shape{gateways: 1, engines: 1, services: 3}, func(w *world) {
				for i, s := range w.services[:2] {
					if c.kill {
						s.Close()
						w.net.Crash(fmt.Sprint("s", i))
					}
					s.SetFault(c.fault)
				}
				for i := range 8 {
					path := fmt.Sprint("/status/", i)
					a, err := w.client(0).CallPlain(w.ctx(), caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: path, Timeout: 5 * time.Second})
					assert.Equal(t, ran(err), c.read)
					assert.Assert(t, strings.Contains(string(a.Body), path))
				}
				for i := range 8 {
					time.Sleep(20 * time.Second) // suspicion is over: the faulty ones are tried again
					r := logLift("", "")
					r.Body = fmt.Appendf(nil, "lift %d", i)
					_, err := w.client(0).CallPlain(w.ctx(), r)
					assert.Assert(t, strings.Contains(c.write, ran(err)), ran(err))
					n := w.runs("POST /lifts " + string(r.Body))
					assert.Assert(t, n <= 1, "ran %d times", n)
					if err == nil {
						assert.Equal(t, n, 1)
					}
				}
			})
		})
	}
}

// TestTruncatedAnswer: an answer that breaks off does not look whole, and what the request
// took of the limits is given back.
func TestTruncatedAnswer(t *testing.T) {
	run(t, shape{gateways: 1, engines: 1, services: 1}, func(w *world) {
		team := w.team()
		team.Concurrent = 1
		_, err := w.gateways[0].Config.PutTeam(w.ctx(), team, 1, "limit")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		get := caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: "/status/1", Timeout: time.Second}
		w.services[0].SetFault(plain.Fault{Truncate: true})
		for range 3 {
			_, err := w.only(0).CallPlain(w.ctx(), get)
			assert.Assert(t, caller.IsLost(err), "%v", err)
		}
		w.services[0].SetFault(plain.Fault{})
		_, err = w.only(0).CallPlain(w.ctx(), get)
		assert.NilError(t, err)
		assert.Equal(t, w.gateways[0].Pipeline.OpenRequests(), int64(0))
	})
}

// TestTicket asks again under one ticket in all ways.
func TestTicket(t *testing.T) {
	run(t, shape{gateways: 3, engines: 1, services: 2}, func(w *world) {
		ticket, err := w.only(0).Ticket(w.ctx())
		assert.NilError(t, err)
		var wg sync.WaitGroup
		for i := range 6 { // at once, at all instances
			wg.Go(func() {
				a, err := w.only(i%3).CallPlain(w.ctx(), logLift(ticket, ""))
				assert.NilError(t, err)
				assert.Assert(t, strings.Contains(string(a.Body), "squat 100"))
			})
		}
		wg.Wait()
		assert.Equal(t, w.runs(lift), 1)
		a, err := w.only(2).TicketOutcome(w.ctx(), ticket)
		assert.NilError(t, err)
		assert.Equal(t, a.Ran, "ran")
		other := logLift(ticket, "")
		other.Body = []byte("squat 200")
		_, err = w.only(1).CallPlain(w.ctx(), other)
		assert.Equal(t, ran(err), "idempotency_mismatch/not_run")
		for _, bad := range []string{"x", ticket[1:], ticket + "A"} {
			_, err = w.only(1).CallPlain(w.ctx(), logLift(bad, ""))
			assert.Equal(t, ran(err), "bad_ticket/not_run")
		}
	})
}

// TestNotRunNeverRuns: once a ticket was said not to have run, it never does.
func TestNotRunNeverRuns(t *testing.T) {
	run(t, shape{gateways: 3, engines: 1, services: 2}, func(w *world) {
		ticket, err := w.only(0).Ticket(w.ctx())
		assert.NilError(t, err)
		_, err = w.only(1).TicketOutcome(w.ctx(), ticket)
		assert.Equal(t, ran(err), "unavailable/not_run")
		for i := range 3 {
			_, err = w.only(i).CallPlain(w.ctx(), logLift(ticket, ""))
			assert.Equal(t, ran(err), "unavailable/not_run")
		}
		assert.Equal(t, w.runs(lift), 0)
	})
}

// TestTicketUnderFaults: what callers hear when the owner or the endpoint is lost, before
// or after the call ran. Several answers can be honest; never does a call run twice, and
// not_run is never said of one that ran or runs later.
func TestTicketUnderFaults(t *testing.T) {
	const unknown = "outcome_unknown/unknown in_progress/unknown overloaded/unknown"
	const notRun = "unavailable/not_run"
	for name, c := range map[string]struct {
		before func(*world) // the first ask
		first  string
		after  func(*world) // the first ask, before the second
		second string
	}{
		"owner dies after the run":   {nil, "ok", func(w *world) { w.killGateway(0) }, unknown},
		"owner dies before the run":  {func(w *world) { w.killGateway(0) }, unknown, nil, unknown},
		"owner cut off, then back":   {func(w *world) { w.cutOff("g0") }, unknown, func(w *world) { w.heal() }, "ok " + notRun},
		"owner cut off after":        {nil, "ok", func(w *world) { w.cutOff("g0") }, unknown},
		"owner drains after the run": {nil, "ok", func(w *world) { w.gateways[0].Drain(w.ctx()) }, "ok"},
		"owner drains before":        {func(w *world) { w.gateways[0].Drain(w.ctx()) }, notRun, nil, notRun},
		"answer lost": {func(w *world) { w.services[0].SetFault(plain.Fault{DropAfterRun: true}) }, unknown,
			func(w *world) { w.services[0].SetFault(plain.Fault{}) }, unknown},
		"endpoint refuses": {func(w *world) { w.services[0].SetFault(plain.Fault{NotRun: true}) }, notRun,
			func(w *world) { w.services[0].SetFault(plain.Fault{}) }, notRun},
		"endpoint frozen": {func(w *world) { w.services[0].SetFault(plain.Fault{Freeze: true}) }, unknown,
			func(w *world) { w.services[0].SetFault(plain.Fault{}) }, "ok " + unknown},
		"platform down": {func(w *world) { w.platform.SetFault(standin.Fault{Down: true}) }, "ok", nil, "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, shape{gateways: 3, engines: 1, services: 1}, func(w *world) {
				ticket, err := w.only(0).Ticket(w.ctx())
				assert.NilError(t, err)
				if c.before != nil {
					c.before(w)
				}
				_, first := w.only(1).CallPlain(w.ctx(), logLift(ticket, ""))
				assert.Assert(t, strings.Contains(c.first, ran(first)), "first: %s", ran(first))
				if c.after != nil {
					c.after(w)
				}
				_, second := w.only(2).CallPlain(w.ctx(), logLift(ticket, ""))
				assert.Assert(t, strings.Contains(c.second, ran(second)), "second: %s", ran(second))
				time.Sleep(10 * time.Second)
				n := w.runs(lift)
				assert.Assert(t, n <= 1, "ran %d times", n)
				for _, r := range []string{ran(first), ran(second)} {
					assert.Assert(t, r != "ok" || n == 1, "said to have run")
					assert.Assert(t, !strings.HasSuffix(r, "/not_run") || n == 0, "said not to have run: %s", r)
				}
			})
		})
	}
}

func (w *world) cutOff(node string) {
	w.net.Partition(func(name string) int {
		if name == node {
			return 1
		}
		return 0
	})
}

func (w *world) heal() { w.net.Partition(nil) }

// TestPausedOwnerDoesNotRunLate: an owner whose way to the endpoints opens again only after
// the caller's deadline does not run the call then.
func TestPausedOwnerDoesNotRunLate(t *testing.T) {
	run(t, shape{gateways: 2, engines: 1, services: 1}, func(w *world) {
		ticket, err := w.only(0).Ticket(w.ctx())
		assert.NilError(t, err)
		w.net.Partition(func(name string) int {
			if strings.HasPrefix(name, "s") {
				return 1
			}
			return 0
		})
		r := logLift(ticket, "")
		r.Timeout = 300 * time.Millisecond
		_, err = w.only(0).CallPlain(w.ctx(), r)
		assert.Assert(t, err != nil)
		time.Sleep(time.Second)
		w.heal()
		time.Sleep(10 * time.Second)
		_, err = w.only(1).TicketOutcome(w.ctx(), ticket)
		assert.Assert(t, strings.HasSuffix(ran(err), "not_run"), ran(err))
		assert.Equal(t, w.runs(lift), 0)
	})
}

// TestClaim asks twice with one key under each fault of the platform and of the endpoint.
func TestClaim(t *testing.T) {
	for name, c := range map[string]struct {
		before func(*world)
		first  string
		after  func(*world)
		second string
		runs   int
	}{
		"clean":           {nil, "ok", nil, "ok", 1},
		"platform down":   {func(w *world) { w.platform.SetFault(standin.Fault{Down: true}) }, "unavailable/not_run", func(w *world) { w.platform.SetFault(standin.Fault{}) }, "ok", 1},
		"platform slow":   {func(w *world) { w.platform.SetFault(standin.Fault{SlowMS: 300}) }, "ok", nil, "ok", 1},
		"answer lost":     {func(w *world) { w.platform.SetFault(standin.Fault{LoseWrites: 1}) }, "ok", nil, "ok", 1},
		"answers lost":    {func(w *world) { w.platform.SetFault(standin.Fault{LoseWrites: 2}) }, "ok", nil, "ok", 1},
		"down afterwards": {nil, "ok", func(w *world) { w.platform.SetFault(standin.Fault{Down: true}) }, "unavailable/not_run", 1},
		"endpoint's answer lost": {func(w *world) { w.services[0].SetFault(plain.Fault{DropAfterRun: true}) }, "outcome_unknown/unknown",
			func(w *world) { w.services[0].SetFault(plain.Fault{}) }, "outcome_unknown/unknown", 1},
		"endpoint refuses": {func(w *world) { w.services[0].SetFault(plain.Fault{NotRun: true}) }, "unavailable/not_run",
			func(w *world) { w.services[0].SetFault(plain.Fault{}) }, "ok", 1},
		"gateway dies": {nil, "ok", func(w *world) { w.killGateway(0) }, "ok", 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, shape{gateways: 2, engines: 1, services: 1}, func(w *world) {
				if c.before != nil {
					c.before(w)
				}
				_, err := w.only(0).CallPlain(w.ctx(), logLift("", "key"))
				assert.Equal(t, ran(err), c.first, "first")
				time.Sleep(time.Second)
				if c.after != nil {
					c.after(w)
				}
				_, err = w.only(1).CallPlain(w.ctx(), logLift("", "key"))
				assert.Equal(t, ran(err), c.second, "second")
				assert.Equal(t, w.runs(lift), c.runs)
			})
		})
	}
}

func TestClaimsAtOnce(t *testing.T) {
	run(t, shape{gateways: 3, engines: 1, services: 2}, func(w *world) {
		var mu sync.Mutex
		outcomes := map[string]int{}
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				_, err := w.only(i%3).CallPlain(w.ctx(), logLift("", "key"))
				mu.Lock()
				defer mu.Unlock()
				outcomes[ran(err)]++
			})
		}
		wg.Wait()
		assert.Equal(t, w.runs(lift), 1)
		assert.Assert(t, outcomes["ok"] >= 1, "%v", outcomes)
		for o := range outcomes {
			assert.Assert(t, o == "ok" || o == "outcome_unknown/unknown" || o == "in_progress/unknown", "%v", outcomes)
		}
	})
}

// TestRefusedReaskSaysUnknown: a request that was not asked before and is refused did not
// run; one that may have been asked before may have run, whatever this instance refuses.
func TestRefusedReaskSaysUnknown(t *testing.T) {
	run(t, shape{gateways: 2, engines: 1, services: 1}, func(w *world) {
		ticket, err := w.only(0).Ticket(w.ctx())
		assert.NilError(t, err)
		_, err = w.only(0).CallPlain(w.ctx(), logLift(ticket, ""))
		assert.NilError(t, err)
		w.gateways[1].Pipeline.Drain()
		for want, r := range map[string]caller.PlainRequest{
			"draining/unknown": logLift(ticket, ""),
			"draining/not_run": logLift("", ""),
		} {
			_, err = w.only(1).CallPlain(w.ctx(), r)
			assert.Equal(t, ran(err), want)
		}
		_, err = w.only(1).CallPlain(w.ctx(), logLift("", "key"))
		assert.Equal(t, ran(err), "draining/unknown")
	})
}

// TestTicketOutcomesAfterADrainByForce: an instance whose drain ends with a request in progress hands over the outcomes of its tickets,
// and the generation that it cuts goes on elsewhere.
func TestTicketOutcomesAfterADrainByForce(t *testing.T) {
	run(t, shape{gateways: 3, engines: 2, services: 1, policy: "latency", extra: "[callers]\ndrain = 1s\ndrain_announce = 100ms\n"}, func(w *world) {
		r := w.request(300)
		done := make(chan struct{})
		go func() {
			defer close(done)
			a, err := w.client(0).Generate(w.ctx(), r)
			w.check(r, a, err)
		}()
		time.Sleep(time.Second)
		ticket, err := w.only(0).Ticket(w.ctx())
		assert.NilError(t, err)
		_, err = w.only(1).CallPlain(w.ctx(), logLift(ticket, ""))
		assert.NilError(t, err)
		w.gateways[0].Drain(w.ctx())
		_, err = w.only(2).CallPlain(w.ctx(), logLift(ticket, ""))
		assert.Equal(t, ran(err), "ok")
		assert.Equal(t, w.runs(lift), 1)
		<-done
	})
}
