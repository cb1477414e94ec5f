package front_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

const pauseAim = 700 * time.Millisecond

func TestStreamIsWhole(t *testing.T) {
	run(t, 2, 6, 1, func(w *world) {
		a, err := w.do(0, brief("b1"))
		assert.NilError(t, err)
		whole(t, a, "b1", 0)
		assert.Equal(t, w.read(), promptSize)
	})
}

// TestStreamGoesOn: the engine is lost after some events; the stream goes on from its copy, without the
// prompt being read again, within the pause that its route allows.
func TestStreamGoesOn(t *testing.T) {
	for name, lose := range map[string]func(*world, string){
		"crash": (*world).crashEngine,
		"dark":  (*world).darken,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 3, 6, 1, func(w *world) {
				got := w.stream(0, brief("b1"))
				time.Sleep(2 * time.Second)
				engine, _ := w.serving()
				lose(w, engine)
				a := <-got
				whole(t, a, "b1", 0)
				assert.Assert(t, a.LongestGap() <= pauseAim, "%v", a.LongestGap())
				assert.Equal(t, w.read(), promptSize)
			})
		})
	}
}

// TestCopyIsReplaced: the engine with the copy is lost first and the stream's own engine later. Without
// another copy the prompt was read again, and the stream paused for 2 s.
func TestCopyIsReplaced(t *testing.T) {
	run(t, 3, 9, 1, func(w *world) {
		got := w.stream(0, brief("b1"))
		time.Sleep(2 * time.Second)
		engine, copyAt := w.serving()
		w.crashEngine(copyAt)
		other := w.stream(1, brief("b2")) // another instance learns of it by trying
		w.store.Remove("servers", copyAt)
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(t, w.moved() > 0)
		w.crashEngine(engine)
		a := <-got
		whole(t, a, "b1", 0)
		assert.Assert(t, a.LongestGap() <= pauseAim, "%v", a.LongestGap())
		<-other
		for _, e := range w.engines {
			for _, r := range e.Runs() {
				assert.Assert(t, r.ID != "0000000000000001" || r.Read == 0 || r.CopyFrom == "", "the prompt was read again")
			}
		}
	})
}

// TestBeforeTheFirstEvent: an engine that is lost while it reads the prompt. One that closes the
// connection is left at once, a dark one is asked and left within a second; the prompt is read elsewhere.
func TestBeforeTheFirstEvent(t *testing.T) {
	for name, lose := range map[string]func(*world, string){
		"crash": (*world).crashEngine,
		"dark":  (*world).darken,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 3, 6, 1, func(w *world) {
				began := time.Now()
				got := w.stream(0, brief("b1"))
				time.Sleep(500 * time.Millisecond)
				engine, _ := w.serving()
				lose(w, engine)
				a := <-got
				whole(t, a, "b1", 0)
				first := a.Events[0].At.Sub(began)
				assert.Assert(t, first < 3*time.Second, "%v", first)
			})
		})
	}
}

// TestSlowPromptIsNotGivenUp: a prompt of 20,000 tokens takes 2.5 s to read, and its engine names the
// request only from the first event on. Streams went round the fleet when that counted as lost.
func TestSlowPromptIsNotGivenUp(t *testing.T) {
	run(t, 1, 3, 1, func(w *world) {
		r := brief("b1")
		r.PromptTokens = 20000
		a, err := w.do(0, r)
		assert.NilError(t, err)
		whole(t, a, "b1", 0)
		assert.Equal(t, w.read(), r.PromptTokens)
	})
}

// TestCallerGoesOnElsewhere: the instance dies; the caller goes on at another one with the last event it
// holds. The prompt is not read again, since the instance told the others where it was read.
func TestCallerGoesOnElsewhere(t *testing.T) {
	run(t, 3, 9, 1, func(w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		got := make(chan standin.Answer, 1)
		go func() {
			a, _ := w.doWithin(ctx, 0, brief("b1"))
			got <- a
		}()
		time.Sleep(2 * time.Second)
		w.killFront(0)
		cancel()
		held := len((<-got).Events)
		assert.Assert(t, held > 0)
		r := brief("b1")
		r.LastEventID = held
		a, err := w.do(1, r)
		assert.NilError(t, err)
		whole(t, a, "b1", held)
		assert.Equal(t, w.read(), promptSize)
	})
}

// TestCallerGoesOnAfterAllForgot: all instances die and start again; the engines are asked who has read
// the prompt.
func TestCallerGoesOnAfterAllForgot(t *testing.T) {
	run(t, 2, 9, 1, func(w *world) {
		got := w.stream(0, brief("b1"))
		time.Sleep(2 * time.Second)
		w.killFront(0)
		w.killFront(1)
		held := len((<-got).Events)
		time.Sleep(time.Second)
		w.fronts[0], w.fronts[1] = w.front(0), w.front(1)
		time.Sleep(time.Second)
		r := brief("b1")
		r.LastEventID = held
		a, err := w.do(1, r)
		assert.NilError(t, err)
		whole(t, a, "b1", held)
		assert.Equal(t, w.read(), promptSize)
	})
}

// TestCallerLeaves: the engine learns at once that nobody waits for its answer.
func TestCallerLeaves(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			run(t, 1, 3, 1, func(w *world) {
				ctx, cancel := context.WithTimeout(context.Background(), after)
				defer cancel()
				_, _ = w.doWithin(ctx, 0, brief("b1"))
				time.Sleep(100 * time.Millisecond)
				engine, _ := w.serving()
				assert.Equal(t, engine, "", "still at work")
			})
		})
	}
}

// TestEventsOfAGivenUpEngine: the first events of an engine that was given up while they were on their
// way must not decide how events are numbered. One stream of 1,400 lost its first event that way.
func TestEventsOfAGivenUpEngine(t *testing.T) {
	for delay := 980 * time.Millisecond; delay <= 1120*time.Millisecond; delay += 10 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			run(t, 1, 6, 1, func(w *world) {
				got := w.stream(0, brief("b1"))
				time.Sleep(delay)
				engine, _ := w.serving()
				w.darken(engine)
				whole(t, <-got, "b1", 0)
			})
		})
	}
}

// TestTruncatedEventIsDropped: an engine breaks off within an event.
func TestTruncatedEventIsDropped(t *testing.T) {
	run(t, 1, 6, 1, func(w *world) {
		got := w.stream(0, brief("b1"))
		time.Sleep(2 * time.Second)
		engine, _ := w.serving()
		for _, e := range w.engines {
			if e.Config().ID == engine {
				e.SetFault(standin.WorkerFault{Truncate: true})
			}
		}
		whole(t, <-got, "b1", 0)
	})
}

// TestAllEnginesRefuse: nothing ran, so the caller is told to come back, and soon enough to be on time.
func TestAllEnginesRefuse(t *testing.T) {
	run(t, 1, 6, 1, func(w *world) {
		for _, e := range w.engines {
			e.SetFault(standin.WorkerFault{RefuseAll: true})
		}
		began := time.Now()
		a, err := w.do(0, brief("b1"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 503, a.Body)
		assert.Assert(t, a.RetryAfter != "")
		assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
		for _, e := range w.engines {
			e.SetFault(standin.WorkerFault{})
		}
		a, err = w.do(0, brief("b1"))
		assert.NilError(t, err)
		whole(t, a, "b1", 0)
	})
}

// TestStreamThatCannotGoOn: a stream that may not be continued runs once, and ends visibly broken when its
// engine is lost.
func TestStreamThatCannotGoOn(t *testing.T) {
	run(t, 1, 6, 1, func(w *world) {
		r := brief("b1")
		r.Path = "/note/1"
		a, err := w.do(0, r)
		assert.NilError(t, err)
		whole(t, a, "b1", 0)
		got := w.stream(0, r)
		time.Sleep(2 * time.Second)
		engine, _ := w.serving()
		w.crashEngine(engine)
		a = <-got
		assert.Assert(t, !a.Complete)
		assert.Assert(t, len(a.Events) > 0 && len(a.Events) < events)
		total := 0
		for _, e := range w.engines {
			total += len(e.Runs())
		}
		assert.Equal(t, total, 2)
	})
}
