package crashes

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/crashers"
)

// partRequest returns a request with content of its own, a part that all requests share, and further parts.
func partRequest(n int, parts ...uint64) crashers.Request {
	whole := crashers.Subject{Team: "desk", Content: crashers.ContentHash{1, byte(n >> 8), byte(n)}}
	return crashers.NewRequest(whole, append([]uint64{0xaa}, parts...))
}

// TestPartIsStoppedInLargeFleet guards against a fleet in which requests with a fatal part go on since each comes
// to another instance: after three crashes at three instances all of them refuse further requests with the
// part, sound requests with the other part are served, and the stop is written to the store once.
func TestPartIsStoppedInLargeFleet(t *testing.T) {
	for _, size := range []int{9, 90, 300, 985} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(w *fleet) {
				sound := partRequest(1000, 0xca)
				for n := range 3 {
					sent := time.Now()
					time.Sleep(400 * time.Millisecond)
					crash := crashers.Crash{Endpoint: fmt.Sprint("e", n), Service: "engines", Phase: crashers.Begun, Sent: sent, At: time.Now()}
					w.registries[n*size/3].RecordCrash(partRequest(n, 0xbad), crash, nil)
					time.Sleep(100 * time.Millisecond)
					w.registries[(n+1)*size/4].ClearOnProgress(sound)
				}
				time.Sleep(3 * broadcastGap)
				for i, r := range w.registries {
					d := r.Decide(partRequest(900, 0xbad), "engines")
					assert.Equal(w, d.Verdict, crashers.Stopped, "f%d", i)
					assert.Equal(w, d.Part, "bad")
					assert.Assert(w, r.Decide(sound, "engines").Verdict < crashers.Careful, "f%d", i)
				}
				time.Sleep(time.Minute)
				_, writes := w.store.calls()
				assert.Equal(w, writes, 1)
			})
		})
	}
}

// TestStoppedPartOutlastsRestart checks that instances that all start again read a stopped part from the store,
// and that an operator's release by its content removes it there.
func TestStoppedPartOutlastsRestart(t *testing.T) {
	runFleet(t, 9, func(w *fleet) {
		for n := range 3 {
			crash := crashers.Crash{Endpoint: fmt.Sprint("e", n), Service: "engines", Phase: crashers.Begun, Sent: time.Now(), At: time.Now().Add(time.Millisecond)}
			time.Sleep(500 * time.Millisecond)
			w.registries[n].RecordCrash(partRequest(n, 0xbad), crash, nil)
			w.registries[n].ClearOnProgress(partRequest(1000))
		}
		time.Sleep(time.Second)
		for i := range w.registries {
			w.cancels[i]()
			w.start(i, len(w.registries))
		}
		time.Sleep(5 * time.Second)
		for i, r := range w.registries {
			assert.Equal(w, r.Decide(partRequest(900, 0xbad), "engines").Verdict, crashers.Stopped, "f%d", i)
		}
		state := w.registries[4].State()
		assert.Equal(w, len(state), 1)
		assert.Equal(w, state[0].Part, "bad")
		assert.Equal(w, w.registries[4].ReleaseContent(state[0].Content), 1)
		time.Sleep(time.Second)
		assert.Equal(w, w.registries[7].Decide(partRequest(901, 0xbad), "engines").Verdict, crashers.Free)
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		assert.Equal(w, len(w.store.objects), 0)
	})
}
