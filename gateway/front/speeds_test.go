package front_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// placedSpeeds returns the last speed with which each engine was chosen, by endpoint, and the number
// of streams placed there.
func (w *world) placedSpeeds() (speeds map[string]float64, placed map[string]int) {
	speeds, placed = map[string]float64{}, map[string]int{}
	for line := range strings.Lines(w.logs.String()) {
		var l struct {
			Msg, Endpoint string
			Speed         *float64
			PromptTokens  int `json:"prompt_tokens"`
		}
		if json.Unmarshal([]byte(line), &l) != nil || l.Msg != "placed" || l.PromptTokens == 0 {
			continue
		}
		placed[l.Endpoint]++
		if l.Speed != nil {
			speeds[l.Endpoint] = *l.Speed
		}
	}
	return speeds, placed
}

// TestEngineSpeedsAreShared: one of three engines takes 1.7 times as long as the others, which a pace
// below twice the usual does not show. Each of six instances sends it one or two streams. With the
// setting they must know its speed, and it must get fewer streams; without it, nothing must be measured.
func TestEngineSpeedsAreShared(t *testing.T) {
	for _, speeds := range []bool{true, false} {
		t.Run(fmt.Sprint(speeds), func(t *testing.T) {
			prepare := func(w *world) { w.settings = fmt.Sprintf("\n[overload]\nspeeds = %v\n", speeds) }
			runWith(t, 6, 3, 1, prepare, func(w *world) {
				w.engines[0].SetFault(standin.WorkerFault{AffectedFraction: 1, SlowFactor: 1.7})
				const streams = 36
				done := make(chan error, streams)
				for i := range streams {
					go func() {
						_, err := w.send(i%6, briefRequest(fmt.Sprintf("%x", 0xa00+i)))
						done <- err
					}()
					time.Sleep(700 * time.Millisecond)
				}
				for range streams {
					assert.Check(w.t, <-done)
				}
				got, placed := w.placedSpeeds()
				t.Logf("speeds %v, streams %v", got, placed)
				if !speeds {
					assert.Equal(w.t, len(got), 0)
					return
				}
				slowest, most := "", 0.0
				for id, f := range got {
					if f > most {
						slowest, most = id, f
					}
				}
				assert.Equal(w.t, len(got), 3)
				assert.Assert(w.t, most > 1.25, "%v", got)
				assert.Assert(w.t, placed[slowest] < streams/3, "%v", placed)
			})
		})
	}
}
