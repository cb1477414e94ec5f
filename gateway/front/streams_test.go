package front_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

const maxStreamPause = 700 * time.Millisecond

func TestStreamIsComplete(t *testing.T) {
	run(t, 2, 6, 1, func(w *world) {
		a, err := w.send(0, briefRequest("b1"))
		assert.NilError(t, err)
		assertWhole(t, a, "b1", 0)
		assert.Equal(t, w.prefilledTokens(), promptTokens)
	})
}

// TestStreamResumesFromCopy checks that a stream whose engine is lost after some events resumes
// from its copy, without a second prefill and within the pause that its route allows.
func TestStreamResumesFromCopy(t *testing.T) {
	for name, lose := range map[string]func(*world, string){
		"crash": (*world).crashEngine,
		"dark":  (*world).silenceEngine,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 3, 6, 1, func(w *world) {
				got := w.startStream(0, briefRequest("b1"))
				time.Sleep(2 * time.Second)
				engine, _ := w.streamEngines()
				lose(w, engine)
				a := <-got
				assertWhole(t, a, "b1", 0)
				assert.Assert(t, a.LongestGap() <= maxStreamPause, "%v", a.LongestGap())
				assert.Equal(t, w.prefilledTokens(), promptTokens)
			})
		})
	}
}

// TestCopyIsReplaced loses the engine that holds the copy, and later the stream's own engine.
// Without a new copy in between, the prompt was prefilled again and the stream paused for 2 s.
func TestCopyIsReplaced(t *testing.T) {
	run(t, 3, 9, 1, func(w *world) {
		got := w.startStream(0, briefRequest("b1"))
		time.Sleep(2 * time.Second)
		engine, copyAt := w.streamEngines()
		w.crashEngine(copyAt)
		other := w.startStream(1, briefRequest("b2")) // another instance finds the lost engine by trying it
		w.store.Remove("servers", copyAt)
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(t, w.movedCopies() > 0)
		w.crashEngine(engine)
		a := <-got
		assertWhole(t, a, "b1", 0)
		assert.Assert(t, a.LongestGap() <= maxStreamPause, "%v", a.LongestGap())
		<-other
		for _, e := range w.engines {
			for _, r := range e.Runs() {
				assert.Assert(t, r.ID != "0000000000000001" || r.Read == 0 || r.CopyFrom == "", "the prompt was read again")
			}
		}
	})
}

// TestEngineLostDuringPrefill loses an engine during prefill. An engine that closes the connection
// is abandoned at once; a silent one is probed and abandoned within a second. The prompt is
// prefilled elsewhere.
func TestEngineLostDuringPrefill(t *testing.T) {
	for name, lose := range map[string]func(*world, string){
		"crash": (*world).crashEngine,
		"dark":  (*world).silenceEngine,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 3, 6, 1, func(w *world) {
				began := time.Now()
				got := w.startStream(0, briefRequest("b1"))
				time.Sleep(500 * time.Millisecond)
				engine, _ := w.streamEngines()
				lose(w, engine)
				a := <-got
				assertWhole(t, a, "b1", 0)
				first := a.Events[0].At.Sub(began)
				assert.Assert(t, first < 3*time.Second, "%v", first)
			})
		})
	}
}

// TestSlowPrefillIsNotAbandoned sends a prompt of 20,000 tokens, whose prefill takes 2.5 s. The
// engine names the request only from the first event on. Streams moved from engine to engine around
// the fleet when that counted as a loss.
func TestSlowPrefillIsNotAbandoned(t *testing.T) {
	run(t, 1, 3, 1, func(w *world) {
		r := briefRequest("b1")
		r.PromptTokens = 20000
		a, err := w.send(0, r)
		assert.NilError(t, err)
		assertWhole(t, a, "b1", 0)
		assert.Equal(t, w.prefilledTokens(), r.PromptTokens)
	})
}

// TestCallerResumesAtAnotherInstance kills the instance of a stream. The caller resumes at another
// one with the last event it has. The prompt is not prefilled again, since the instance told the
// others where it was.
func TestCallerResumesAtAnotherInstance(t *testing.T) {
	run(t, 3, 9, 1, func(w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		got := make(chan standin.Answer, 1)
		go func() {
			a, _ := w.sendContext(ctx, 0, briefRequest("b1"))
			got <- a
		}()
		time.Sleep(2 * time.Second)
		w.killFront(0)
		cancel()
		held := len((<-got).Events)
		assert.Assert(t, held > 0)
		r := briefRequest("b1")
		r.LastEventID = held
		a, err := w.send(1, r)
		assert.NilError(t, err)
		assertWhole(t, a, "b1", held)
		assert.Equal(t, w.prefilledTokens(), promptTokens)
	})
}

// TestCallerResumesAfterRestartOfAll kills and restarts all instances. They ask the engines which
// of them has prefilled the prompt.
func TestCallerResumesAfterRestartOfAll(t *testing.T) {
	run(t, 2, 9, 1, func(w *world) {
		got := w.startStream(0, briefRequest("b1"))
		time.Sleep(2 * time.Second)
		w.killFront(0)
		w.killFront(1)
		held := len((<-got).Events)
		time.Sleep(time.Second)
		w.fronts[0], w.fronts[1] = w.newFront(0), w.newFront(1)
		time.Sleep(time.Second)
		r := briefRequest("b1")
		r.LastEventID = held
		a, err := w.send(1, r)
		assert.NilError(t, err)
		assertWhole(t, a, "b1", held)
		assert.Equal(t, w.prefilledTokens(), promptTokens)
	})
}

// TestCallerDisconnects checks that an engine stops work at once when the caller is gone.
func TestCallerDisconnects(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			run(t, 1, 3, 1, func(w *world) {
				ctx, cancel := context.WithTimeout(context.Background(), after)
				defer cancel()
				_, _ = w.sendContext(ctx, 0, briefRequest("b1"))
				time.Sleep(100 * time.Millisecond)
				engine, _ := w.streamEngines()
				assert.Equal(t, engine, "", "still at work")
			})
		})
	}
}

// TestEventsOfAbandonedEngine checks that events that arrive from an engine after it was abandoned
// do not affect how events are numbered. One stream of 1,400 lost its first event that way.
func TestEventsOfAbandonedEngine(t *testing.T) {
	for delay := 980 * time.Millisecond; delay <= 1120*time.Millisecond; delay += 10 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			run(t, 1, 6, 1, func(w *world) {
				got := w.startStream(0, briefRequest("b1"))
				time.Sleep(delay)
				engine, _ := w.streamEngines()
				w.silenceEngine(engine)
				assertWhole(t, <-got, "b1", 0)
			})
		})
	}
}

// TestTruncatedEventIsDropped lets an engine break off in the middle of an event.
func TestTruncatedEventIsDropped(t *testing.T) {
	run(t, 1, 6, 1, func(w *world) {
		got := w.startStream(0, briefRequest("b1"))
		time.Sleep(2 * time.Second)
		engine, _ := w.streamEngines()
		for _, e := range w.engines {
			if e.Config().ID == engine {
				e.SetFault(standin.WorkerFault{Truncate: true})
			}
		}
		assertWhole(t, <-got, "b1", 0)
	})
}

// TestAllEnginesRefuse checks that the caller of a request that no engine ran is told to come back,
// early enough to be served in time.
func TestAllEnginesRefuse(t *testing.T) {
	run(t, 1, 6, 1, func(w *world) {
		for _, e := range w.engines {
			e.SetFault(standin.WorkerFault{RefuseAll: true})
		}
		began := time.Now()
		a, err := w.send(0, briefRequest("b1"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 503, a.Body)
		assert.Assert(t, a.RetryAfter != "")
		assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
		for _, e := range w.engines {
			e.SetFault(standin.WorkerFault{})
		}
		a, err = w.send(0, briefRequest("b1"))
		assert.NilError(t, err)
		assertWhole(t, a, "b1", 0)
	})
}

// TestNonResumableStream checks that a stream that may not be resumed runs once, and breaks off
// visibly when its engine is lost.
func TestNonResumableStream(t *testing.T) {
	run(t, 1, 6, 1, func(w *world) {
		r := briefRequest("b1")
		r.Path = "/note/1"
		a, err := w.send(0, r)
		assert.NilError(t, err)
		assertWhole(t, a, "b1", 0)
		got := w.startStream(0, r)
		time.Sleep(2 * time.Second)
		engine, _ := w.streamEngines()
		w.crashEngine(engine)
		a = <-got
		assert.Assert(t, !a.Complete)
		assert.Assert(t, len(a.Events) > 0 && len(a.Events) < streamEvents)
		total := 0
		for _, e := range w.engines {
			total += len(e.Runs())
		}
		assert.Equal(t, total, 2)
	})
}
