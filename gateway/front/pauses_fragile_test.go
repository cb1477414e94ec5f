package front_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestPausedFragileEndpointsDoNotFall guards against sinking endpoints that were paused for a second.
// What had been sent to one before was still there when it went on, but its room had been given to
// others, so it refused more than it bears.
func TestPausedFragileEndpointsDoNotFall(t *testing.T) {
	const plains, work = 5, 200 * time.Millisecond
	for _, paused := range []int{1, 3, plains} {
		t.Run(fmt.Sprint(paused, " paused"), func(t *testing.T) {
			runWith(t, 6, 1, plains, func(w *world) { w.plainWork = work }, func(w *world) {
				s := &fragileService{w: w, restart: func(i int, suffix string) *standin.Worker { return w.newPlain(i, suffix) }}
				for i, p := range w.plains {
					s.watch(i, p)
				}
				pick := func(i int) int { return i % 6 }
				w.load(60, 4*time.Second, logRequest, pick)
				for k := range 2 {
					time.AfterFunc(time.Duration(2+4*k)*time.Second, func() {
						for _, p := range w.plains[:paused] {
							p.Pause(sharedSilence)
						}
					})
				}
				capacity := float64(plains*endpointSlots) / work.Seconds()
				w.load(0.9*capacity, 9*time.Second, logRequest, pick)
				refused := 0
				for _, p := range w.plains {
					refused += p.FullRefusals()
				}
				falls := s.end()
				assert.Equal(w.t, falls, 0)
				assert.Equal(w.t, refused, 0, "an endpoint had more than it runs at once")
			})
		})
	}
}

// TestUnheardInstanceSinksNoEndpoint guards against sinking fragile endpoints when instances are not heard
// by the others for a second. Others then own the room at some endpoints, and do not know what the
// instances have there.
func TestUnheardInstanceSinksNoEndpoint(t *testing.T) {
	const plains, work = 5, time.Second
	for _, unheard := range []int{1, 3} {
		t.Run(fmt.Sprint(unheard, " unheard"), func(t *testing.T) {
			runWith(t, 6, 1, plains, func(w *world) { w.plainWork = work }, func(w *world) {
				s := &fragileService{w: w, restart: func(i int, suffix string) *standin.Worker { return w.newPlain(i, suffix) }}
				for i, p := range w.plains {
					s.watch(i, p)
				}
				w.load(20, 4*time.Second, logRequest, func(i int) int { return i % 6 })
				var silentNow atomic.Bool
				isInstance := func(name string) int {
					n := -1
					_, _ = fmt.Sscanf(name, "f%d", &n)
					return n
				}
				w.net.SetCut(func(a, b string) bool {
					i, j := isInstance(a), isInstance(b)
					return silentNow.Load() && i >= 0 && j >= 0 && (i < unheard || j < unheard)
				})
				for k := range 3 {
					time.AfterFunc(time.Duration(2+4*k)*time.Second, func() { silentNow.Store(true) })
					time.AfterFunc(time.Duration(2+4*k)*time.Second+sharedSilence, func() { silentNow.Store(false) })
				}
				capacity := float64(plains*endpointSlots) / work.Seconds()
				o := w.load(1.5*capacity, 14*time.Second, logRequest, func(i int) int {
					if silentNow.Load() { // callers do not reach an instance that is paused
						return unheard + i%(6-unheard)
					}
					return i % 6
				})
				refused := 0
				for _, p := range w.plains {
					refused += p.FullRefusals()
				}
				falls := s.end()
				w.t.Logf("%d fell, %d refused by endpoints, served %d of %d, refused %d, other %d", falls, refused, o.served.Load(), o.sent.Load(), o.refused.Load(), o.other.Load())
				assert.Equal(w.t, falls, 0)
			})
		})
	}
}
