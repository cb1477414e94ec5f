package exchange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
)

// TestAnnouncementsUnderLoad guards against announcements that fill the links of a fleet under overload, where
// the placements of each instance change all the time: with 61 others each instance sent 840 kB a second, pings
// were lost on links of 10 Mbit/s, and instances were taken for dead. Announcements may take a fifth of such a link,
// and owners have to learn of a change within a second.
func TestAnnouncementsUnderLoad(t *testing.T) {
	const streams, played, linkShare = 30, 10 * time.Second, 250_000
	for _, size := range []int{6, 12, 30, 62} {
		if raceEnabled && size > 30 {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, true, func(w *fleet) {
				endpoint := func(i int) string { return fmt.Sprintf("i-%010x@mt00y4zr", i) }
				place := func(n *node, round int) {
					n.mu.Lock()
					n.report.Placed = map[string]routing.Placed{}
					for i := range streams {
						n.report.Placed[endpoint((n.index*7+round+i)%100)] = routing.Placed{Open: 1, Tokens: 9000 + i, PendingPrefill: 100 * i}
					}
					n.mu.Unlock()
					n.Changed(endpoint((n.index*7 + round) % 100))
				}
				_, before := w.datagrams()
				for round := range int(played / (50 * time.Millisecond)) {
					for _, n := range w.nodes {
						place(n, round)
					}
					time.Sleep(50 * time.Millisecond)
				}
				_, after := w.datagrams()
				perSecond := float64(after-before) / float64(size) / played.Seconds()
				t.Logf("%d instances: %.0f bytes a second each", size, perSecond)
				assert.Check(t, perSecond <= linkShare)
				for _, n := range w.nodes {
					assert.Check(t, len(n.roster().alive) == size-1)
				}
			})
		})
	}
}
