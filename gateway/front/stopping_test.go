package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/agateway/agateway/platform/standin"
)

// TestStopping: not ready and out of the directory at once; what is in progress ends, what still comes
// is served with the word that the connection closes, and streams that could not end are refused.
func TestStopping(t *testing.T) {
	run(t, 2, 6, 1, func(w *world) {
		got := w.stream(0, brief("b1"))
		time.Sleep(time.Second)
		done := make(chan struct{})
		go func() { defer close(done); w.fronts[0].Drain() }()
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, !w.isReady(0))
		assert.DeepEqual(t, w.entry(1), []string{frontAddress(1)})
		a, err := w.do(0, ping())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.Assert(t, a.CloseConnection)
		time.Sleep(1500 * time.Millisecond)
		a, err = w.do(0, brief("b2"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		assert.Assert(t, a.RetryAfter != "")
		whole(t, <-got, "b1", 0)
		<-done
		w.fronts[0] = nil
	})
}

// TestStoppingWithCallersThatKeepComing: an instance that ends its drain by force cuts no request. Those for which too little
// time is left are refused as not run.
func TestStoppingWithCallersThatKeepComing(t *testing.T) {
	run(t, 2, 1, 2, func(w *world) {
		served, refused := w.callWhileDraining(7 * time.Millisecond)
		assert.Assert(t, served > 100, "%d", served)
		assert.Assert(t, refused > 10, "%d", refused)
	})
}

// callWhileDraining drains an instance while calls that must not be repeated come at an even pace, and checks what becomes of each.
func (w *world) callWhileDraining(pace time.Duration) (served, refused int) {
	var callers sync.WaitGroup
	done := make(chan struct{})
	go func() { defer close(done); w.fronts[0].Drain() }()
	for ended := false; !ended; {
		callers.Go(func() { w.leaving(logLift(), &served, &refused) })
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

// leaving sends a request to an instance that drains: it is served, refused as not run, or not accepted any more.
func (w *world) leaving(r standin.Request, served, refused *int) {
	r.ID = w.id()
	a, err := w.do(0, r)
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

// TestStoppingWithSlowEndpoints: requests that take longer than a quarter of the grace are not cut when an instance ends its drain by
// force.
func TestStoppingWithSlowEndpoints(t *testing.T) {
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
				w.config.Routes[routeLog].Timeout = c.timeout
			}, func(w *world) {
				served, refused := w.callWhileDraining(70 * time.Millisecond)
				t.Logf("%d served, %d refused", served, refused)
				assert.Assert(t, refused > 0)
			})
		})
	}
}

// TestForcedEnd: callers whose requests are in progress when the grace is over are told what became of them. A stream with events
// breaks off visibly and goes on at another instance.
func TestForcedEnd(t *testing.T) {
	runWith(t, 2, 6, 2, func(w *world) {
		w.settings, w.plainWork = "[bounds]\ngrace = 2s\n", 10*time.Second
		w.config.Routes[routeLog].Timeout = 0
	}, func(w *world) {
		streaming := w.stream(0, brief("b1"))
		time.Sleep(1500 * time.Millisecond)
		part := logLift()
		part.Method, part.Host, part.ID, part.Timeout = http.MethodPost, host, "51", 0
		text := part.Encode()
		slow := w.sendPart(0, text[:len(text)-1])
		head := w.sendPart(0, text[:10])
		call := logLift()
		call.Timeout = 0
		calling := w.stream(0, call)
		unread := brief("b2")
		unread.PromptTokens = 3 * promptSize
		reading := w.stream(0, unread)
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
		assert.Equal(t, w.plainRuns("51"), 0)
		a := <-streaming
		assert.Assert(t, !a.Complete && len(a.Events) > 0, "%+v", a)
		rest := brief("b1")
		rest.LastEventID = len(a.Events)
		b, err := w.do(1, rest)
		assert.NilError(t, err)
		whole(t, b, "b1", rest.LastEventID)
	})
}

// sendPart sends a part of a request, and returns the channel on which the status of the answer comes, 0 for none.
func (w *world) sendPart(i int, text string) chan int {
	conn, err := w.net.Node("caller").Dial(context.Background(), "tcp", frontAddress(i))
	assert.NilError(w.t, err)
	_, err = io.WriteString(conn, text)
	assert.NilError(w.t, err)
	status := make(chan int, 1)
	go func() {
		defer close(status)
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			status <- resp.StatusCode
		}
	}()
	return status
}
