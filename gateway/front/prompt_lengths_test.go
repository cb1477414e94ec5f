package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// streamLoad is a series of equal streams.
type streamLoad struct {
	count        int
	interval     time.Duration
	promptTokens int
	outputTokens int // the maximum that the callers state; 0 for the usual one
}

// play sends the streams to the instances in turn, and returns the channels for their answers.
func (l streamLoad) play(w *world) (answers []chan standin.Answer) {
	for i := range l.count {
		answers = append(answers, l.send(w, i))
		time.Sleep(l.interval)
	}
	return answers
}

func (l streamLoad) send(w *world, i int) chan standin.Answer {
	r := briefRequest(fmt.Sprintf("%x", 0xc000+w.promptCount))
	w.promptCount++
	r.PromptTokens, r.OutputTokens = l.promptTokens, l.outputTokens
	return w.startStream(i%len(w.fronts), r)
}

// countComplete waits for answers and returns how many of them are complete.
func countComplete(answers []chan standin.Answer) (complete int) {
	for _, c := range answers {
		if a := <-c; a.Complete && len(a.Events) == streamEvents {
			complete++
		}
	}
	return complete
}

// Loads of two instances in front of eight engines. Most of the time to the first event of a short prompt does not
// grow with its length.
var (
	usualLoad     = streamLoad{count: 20, interval: 320 * time.Millisecond, promptTokens: 8200}
	shortLoad     = streamLoad{count: 80, interval: 128 * time.Millisecond, promptTokens: 100}
	veryShortLoad = streamLoad{count: 50, interval: 320 * time.Millisecond, promptTokens: 16}
	veryLongLoad  = streamLoad{count: 8, interval: 1300 * time.Millisecond, promptTokens: 30000}
	halfShortLoad = streamLoad{count: 80, interval: 128 * time.Millisecond, promptTokens: 150}
	// Callers that state a far larger maximum than they get, and those that state what they get.
	accurateMaxima     = streamLoad{count: 140, interval: 128 * time.Millisecond, promptTokens: 1000, outputTokens: 60}
	overstatedMaxima   = streamLoad{count: 20, interval: 320 * time.Millisecond, promptTokens: 1000, outputTokens: 9000}
	overstatedWithLong = streamLoad{count: 20, interval: 320 * time.Millisecond, promptTokens: 8200, outputTokens: 9000}
)

// TestStreamsAreServedAfterOthers guards against an estimate that is made from streams of one kind and keeps those of
// another kind from idle engines. It then gets no observation that could correct it.
func TestStreamsAreServedAfterOthers(t *testing.T) {
	for name, loads := range map[string][]streamLoad{
		"long prompts after short ones":               {usualLoad, shortLoad, usualLoad},
		"long prompts after a start with short ones":  {shortLoad, usualLoad},
		"long prompts after very short ones":          {veryShortLoad, usualLoad},
		"long prompts after somewhat shorter ones":    {usualLoad, halfShortLoad, usualLoad},
		"large maxima of output after small ones":     {overstatedMaxima, accurateMaxima, overstatedMaxima},
		"large maxima of output after a start":        {accurateMaxima, overstatedMaxima},
		"long prompts and large maxima after a start": {accurateMaxima, overstatedWithLong},
		"very long prompts after usual ones":          {usualLoad, veryLongLoad, usualLoad},
	} {
		for _, overload := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", name, overload), func(t *testing.T) {
				runWith(t, 2, 8, 1, withOverloadSettings(overload), func(w *world) {
					for i, l := range loads {
						assert.Equal(w.t, countComplete(l.play(w)), l.count, "load %d", i)
					}
				})
			})
		}
	}
}

// withOverloadSettings returns a function for [runWith] that switches on what estimates deadlines, speeds and waits.
func withOverloadSettings(on bool) func(*world) {
	return func(w *world) {
		if on {
			w.settings = "\n[overload]\ndeadlines = true\nspeeds = true\nshared_queue = true\n"
		}
	}
}

// TestLongPromptsAreServedAmongShortOnes is the same for prompts of two lengths at the same time.
func TestLongPromptsAreServedAmongShortOnes(t *testing.T) {
	for _, overload := range []bool{false, true} {
		t.Run(fmt.Sprint(overload), func(t *testing.T) { runWith(t, 2, 8, 1, withOverloadSettings(overload), sendMixed) })
	}
}

func sendMixed(w *world) {
	var long, short []chan standin.Answer
	for i := range 140 {
		if i%20 < 3 {
			long = append(long, usualLoad.send(w, i))
		} else {
			short = append(short, veryShortLoad.send(w, i))
		}
		time.Sleep(320 * time.Millisecond)
	}
	assert.Equal(w.t, countComplete(long), len(long))
	assert.Equal(w.t, countComplete(short), len(short))
}

// TestStreamsAreServedAfterSlowEngines: all engines take four times as long for a while.
func TestStreamsAreServedAfterSlowEngines(t *testing.T) {
	run(t, 2, 8, 1, func(w *world) {
		assert.Equal(w.t, countComplete(usualLoad.play(w)), usualLoad.count)
		w.setSpeed(4)
		for range 2 {
			usualLoad.play(w)
		}
		w.setSpeed(1)
		time.Sleep(15 * time.Second)
		assert.Equal(w.t, countComplete(usualLoad.play(w)), usualLoad.count)
	})
}

// TestRefusedStreamsAreServedAgain guards against callers who are refused at once for as long as an estimate of slow
// engines stands, though these are as fast as before: refused streams show nothing. Those of callers with short
// deadlines are refused while the engines are slow, and are all served some seconds after.
func TestRefusedStreamsAreServedAgain(t *testing.T) {
	const count, recovering, deadline = 60, 20, 8 * time.Second
	run(t, 1, 8, 1, func(w *world) {
		w.setSpeed(4)
		assert.Equal(w.t, countComplete(usualLoad.play(w)), usualLoad.count)
		sendOne := func() chan standin.Answer {
			r := briefRequest(fmt.Sprintf("%x", 0xd000+w.promptCount))
			w.promptCount++
			r.PromptTokens, r.Timeout = usualLoad.promptTokens, deadline
			return w.startStream(0, r)
		}
		assert.Equal(w.t, (<-sendOne()).Status, http.StatusServiceUnavailable)
		w.setSpeed(1)
		var answers []chan standin.Answer
		for range count {
			answers = append(answers, sendOne())
			time.Sleep(time.Second)
		}
		assert.Equal(w.t, countComplete(answers[recovering:]), count-recovering)
	})
}

// setSpeed makes all engines take a multiple of their usual time.
func (w *world) setSpeed(factor float64) {
	for _, e := range w.engines {
		e.SetFault(standin.WorkerFault{AffectedFraction: 1, SlowFactor: factor})
	}
}
