package front_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestShortSilenceIsNoLoss covers sound endpoints that send nothing for a second and then go on, one
// of each service or all at once. No plain call is sent twice, no stream moves more than once, no
// caller sees more than a pause, and the instance neither takes itself to be cut off nor suspects an
// endpoint afterwards.
func TestShortSilenceIsNoLoss(t *testing.T) {
	for name, silent := range map[string]int{"one of each": 1, "all": 6} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, 6, 3, func(w *world) {
				const streams = 3
				var answers []chan standin.Answer
				for i := range streams {
					answers = append(answers, w.startStream(i%2, briefRequest(string(rune('a'+i))+"0")))
				}
				time.Sleep(2 * time.Second)
				for i := range silent {
					w.engines[i].FallSilent(1100 * time.Millisecond)
					if i < len(w.plains) {
						w.plains[i].FallSilent(1100 * time.Millisecond)
					}
				}
				o := w.load(20, time.Second, pingRequest, func(i int) int { return i % 2 })
				assert.Equal(t, o.served.Load(), o.sent.Load())
				runs := 0
				for _, p := range w.plains {
					runs += len(p.Runs())
				}
				assert.Equal(t, int64(runs), o.sent.Load(), "a call was sent twice")
				for i, c := range answers {
					assertWhole(t, <-c, string(rune('a'+i))+"0", 0)
				}
				streamRuns := 0
				for _, e := range w.engines {
					streamRuns += len(e.Runs())
				}
				assert.Check(t, streamRuns <= 2*streams, "%d runs of %d streams", streamRuns, streams)
				time.Sleep(2 * time.Second)
				for _, f := range w.fronts {
					s := f.State()
					for _, e := range s.Endpoints {
						assert.Check(t, !e.Suspected, "%s suspects %s", s.Instance, e.ID)
					}
				}
			})
		})
	}
}

// TestRepeatedPausesBreakNoStream guards against the loss of streams whose engines are paused together:
// they were moved from one paused engine to the next until their attempts were used up.
func TestRepeatedPausesBreakNoStream(t *testing.T) {
	const (
		pauseLength = 1200 * time.Millisecond
		streams     = 6
	)
	for _, share := range []float64{0.6, 1} {
		t.Run(fmt.Sprint("share ", share), func(t *testing.T) {
			run(t, 2, 6, 1, func(w *world) {
				var answers []chan standin.Answer
				for i := range streams {
					answers = append(answers, w.startStream(i%2, briefRequest(string(rune('a'+i))+"0")))
				}
				time.Sleep(1500 * time.Millisecond)
				for range 4 {
					w.pauseShare(share, pauseLength)
					time.Sleep(pauseLength + 400*time.Millisecond)
				}
				for i, c := range answers {
					assertWhole(t, <-c, string(rune('a'+i))+"0", 0)
				}
			})
		})
	}
}

// pauseShare pauses the first engines of the world that make up a share of them.
func (w *world) pauseShare(share float64, d time.Duration) {
	n := int(math.Ceil(share * float64(len(w.engines))))
	for _, e := range w.engines[:n] {
		e.Pause(d)
	}
}
