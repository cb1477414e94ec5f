package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/agateway/agateway/platform/standin"
)

// TestDrain checks that a draining instance is not ready and out of the directory at once. Requests
// in progress end, new ones are served with the header that closes their connection, and streams
// that could not end in time are refused.
func TestDrain(t *testing.T) {
	run(t, 2, 6, 1, func(w *world) {
		got := w.startStream(0, briefRequest("b1"))
		time.Sleep(time.Second)
		done := make(chan struct{})
		go func() { defer close(done); w.fronts[0].Drain() }()
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, !w.isReady(0))
		assert.DeepEqual(t, w.resolve(1), []string{frontAddress(1)})
		a, err := w.send(0, pingRequest())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.Assert(t, a.CloseConnection)
		time.Sleep(1500 * time.Millisecond)
		a, err = w.send(0, briefRequest("b2"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		assert.Assert(t, a.RetryAfter != "")
		assertWhole(t, <-got, "b1", 0)
		<-done
		w.fronts[0] = nil
	})
}

// TestDrainUnderContinuousLoad checks that an instance cuts no request when its drain ends by
// force. Requests for which too little time is left are refused as not run.
func TestDrainUnderContinuousLoad(t *testing.T) {
	run(t, 2, 1, 2, func(w *world) {
		served, refused := w.callWhileDraining(7 * time.Millisecond)
		assert.Assert(t, served > 100, "%d", served)
		assert.Assert(t, refused > 10, "%d", refused)
	})
}

// callWhileDraining drains an instance while calls that must not be repeated arrive at a constant
// rate, and checks the outcome of each.
func (w *world) callWhileDraining(pace time.Duration) (served, refused int) {
	var callers sync.WaitGroup
	done := make(chan struct{})
	go func() { defer close(done); w.fronts[0].Drain() }()
	for ended := false; !ended; {
		callers.Go(func() { w.sendWhileDraining(logRequest(), &served, &refused) })
		select {
		case <-done:
			ended = true
		case <-time.After(pace):
		}
	}
	callers.Wait()
	w.fronts[0] = nil
	return served, refused
}

// sendWhileDraining sends a request to a draining instance. It may be served, refused as not run,
// or not accepted at all.
func (w *world) sendWhileDraining(r standin.Request, served, refused *int) {
	r.ID = w.newRequestID()
	a, err := w.send(0, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && a.Status == http.StatusOK && a.Complete:
		*served++
	case err == nil && a.Status == http.StatusServiceUnavailable:
		*refused++
	}
	for _, p := range w.plains {
		for _, run := range p.Runs() {
			assert.Check(w.t, run.ID != r.ID || a.Status == http.StatusOK, "it ran and was answered with %d %v", a.Status, err)
		}
	}
}

// TestDrainWithSlowEndpoints guards against cutting requests that take longer than a quarter of the
// grace time when a drain ends by force.
func TestDrainWithSlowEndpoints(t *testing.T) {
	for _, c := range []struct{ grace, timeout, work time.Duration }{
		{8 * time.Second, 3 * time.Second, 2400 * time.Millisecond},
		{4 * time.Second, 1500 * time.Millisecond, 1400 * time.Millisecond},
		{8 * time.Second, 3 * time.Second, 900 * time.Millisecond},
		{8 * time.Second, 1500 * time.Millisecond, 1400 * time.Millisecond},
		{2 * time.Second, 3 * time.Second, 2400 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.grace, c.timeout, c.work), func(t *testing.T) {
			runWith(t, 2, 1, 12, func(w *world) {
				w.settings, w.plainWork = fmt.Sprintf("[bounds]\ngrace = %v\n", c.grace), c.work
				w.config.Routes[logRouteIndex].Timeout = c.timeout
			}, func(w *world) {
				served, refused := w.callWhileDraining(70 * time.Millisecond)
				t.Logf("%d served, %d refused", served, refused)
				assert.Assert(t, refused > 0)
			})
		})
	}
}

// TestForcedShutdown checks that callers whose requests are in progress when the grace time is over
// are told the outcome. A stream with events breaks off visibly and resumes at another instance.
func TestForcedShutdown(t *testing.T) {
	runWith(t, 2, 6, 2, func(w *world) {
		w.settings, w.plainWork = "[bounds]\ngrace = 2s\n", 10*time.Second
		w.config.Routes[logRouteIndex].Timeout = 0
	}, func(w *world) {
		streaming := w.startStream(0, briefRequest("b1"))
		time.Sleep(1500 * time.Millisecond)
		part := logRequest()
		part.Method, part.Host, part.ID, part.Timeout = http.MethodPost, routeHost, "51", 0
		text := part.Encode()
		slow := w.sendPartialRequest(0, text[:len(text)-1])
		head := w.sendPartialRequest(0, text[:10])
		call := logRequest()
		call.Timeout = 0
		calling := w.startStream(0, call)
		unread := briefRequest("b2")
		unread.PromptTokens = 3 * promptTokens
		reading := w.startStream(0, unread)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		w.fronts[0].Drain()
		assert.Assert(t, time.Since(began) < 2*time.Second)
		w.fronts[0] = nil
		for name, got := range map[string]chan standin.Answer{"call": calling, "unread prompt": reading} {
			a := <-got
			assert.Check(t, a.Status == http.StatusBadGateway && a.Complete, "%s: %d %s", name, a.Status, a.Body)
		}
		assert.Check(t, is.Equal(<-slow, http.StatusRequestTimeout))
		assert.Check(t, is.Equal(<-head, 0))
		assert.Equal(t, w.plainRunCount("51"), 0)
		a := <-streaming
		assert.Assert(t, !a.Complete && len(a.Events) > 0, "%+v", a)
		rest := briefRequest("b1")
		rest.LastEventID = len(a.Events)
		b, err := w.send(1, rest)
		assert.NilError(t, err)
		assertWhole(t, b, "b1", rest.LastEventID)
	})
}

// sendPartialRequest sends a part of a request. It returns a channel for the status of the answer,
// which is closed without a value if there is no answer.
func (w *world) sendPartialRequest(i int, text string) chan int {
	conn, status := w.openRequest(i)
	_, err := io.WriteString(conn, text)
	assert.NilError(w.t, err)
	return status
}

// openRequest opens a connection to an instance. It returns a channel for the status of the first answer,
// which is closed without a value if there is none.
func (w *world) openRequest(i int) (net.Conn, chan int) {
	conn, err := w.net.Node("caller").Dial(context.Background(), "tcp", frontAddress(i))
	assert.NilError(w.t, err)
	status := make(chan int, 1)
	go func() {
		defer close(status)
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			status <- resp.StatusCode
		}
	}()
	return conn, status
}

// TestDrainOfHelper guards against calls that ran and got no answer, or one that says that they did not run, when the
// instance that serves them for one that is cut off from the endpoints drains.
func TestDrainOfHelper(t *testing.T) {
	for _, work := range []time.Duration{20 * time.Millisecond, 700 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) {
			runWith(t, 3, 1, 40, func(w *world) { w.plainWork = work }, func(w *world) {
				defer w.cutFromEndpoints(1, refuse)()
				w.load(20, 3*time.Second, logRequest, func(int) int { return 0 }) // it finds out that it is cut off
				var callers sync.WaitGroup
				done := make(chan struct{})
				go func() { defer close(done); w.fronts[1].Drain() }()
				served, refused, sent := 0, 0, 0
				for ended := false; !ended; sent++ {
					callers.Go(func() { w.sendWhileDraining(logRequest(), &served, &refused) })
					select {
					case <-done:
						ended = true
					case <-time.After(20 * time.Millisecond):
					}
				}
				callers.Wait()
				w.fronts[1] = nil
				assert.Check(t, served*100 >= sent*95, "%d of %d served", served, sent)
			})
		})
	}
}

// TestDrainWithSlowBodies guards against calls that run and are cut without an answer since the end of their body came
// late in a drain, on connections that stay open.
func TestDrainWithSlowBodies(t *testing.T) {
	runWith(t, 2, 1, 40, func(w *world) { w.plainWork = 600 * time.Millisecond }, func(w *world) {
		var callers sync.WaitGroup
		var mu sync.Mutex
		done, statuses := make(chan struct{}), map[string]int{}
		go func() { defer close(done); w.fronts[0].Drain() }()
		for ended := false; !ended; {
			callers.Go(func() {
				r := logRequest()
				r.Method, r.Host, r.ID, r.Timeout = http.MethodPost, routeHost, w.newRequestID(), 3*time.Second
				status := w.sendSlowly(0, r.Encode(), 600*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				statuses[r.ID] = status
			})
			select {
			case <-done:
				ended = true
			case <-time.After(40 * time.Millisecond):
			}
		}
		callers.Wait()
		w.fronts[0] = nil
		ran := 0
		for _, p := range w.plains {
			for _, run := range p.Runs() {
				ran++
				assert.Check(t, statuses[run.ID] == http.StatusOK, "%s ran and was answered with %d", run.ID, statuses[run.ID])
			}
		}
		assert.Assert(t, ran > 20, "%d", ran)
	})
}

// sendSlowly sends a request whose last byte comes after a pause, and returns the status of the answer; 0 for none.
func (w *world) sendSlowly(i int, text string, pause time.Duration) int {
	conn, err := w.net.Node("caller").Dial(context.Background(), "tcp", frontAddress(i))
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text[:len(text)-1])
	go func() {
		time.Sleep(pause)
		_, _ = io.WriteString(conn, text[len(text)-1:])
	}()
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.ReadAll(a.Body)
	if err != nil {
		return 0
	}
	return a.StatusCode
}
