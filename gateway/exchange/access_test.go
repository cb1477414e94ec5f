package exchange

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/reachability"
)

// TestEndpointAccessReachesOthers checks that all instances learn within a moment that one is cut
// off from the endpoints: callers are not sent there, and it gets no requests of others. Where all
// are cut off, callers are sent to all. An instance of a build that does not tell gets callers, and
// no requests of others.
func TestEndpointAccessReachesOthers(t *testing.T) {
	for _, size := range []int{4, 30} {
		runFleet(t, size, true, func(w *fleet) {
			for i, n := range w.nodes {
				if i != 1 { // which is as an older build
					n.access.Store(int64(reachability.AccessReached))
				}
			}
			time.Sleep(time.Second)
			seen := func(n *node) (helpers, entries int) {
				return len(n.Helpers()), len(n.EntryAddresses("hall-0", "south"))
			}
			set := func(i int, a reachability.Access) {
				w.nodes[i].access.Store(int64(a))
				w.nodes[i].PublishStatus()
			}
			helpers, entries := seen(w.nodes[0])
			assert.Equal(t, helpers, size-2)
			assert.Equal(t, entries, size)
			set(2, reachability.AccessCutOff)
			took := w.timeUntil(time.Second, func(n *node) bool {
				return !slices.Contains(n.EntryAddresses("hall-0", "south"), w.peer(2).Callers) && !slices.ContainsFunc(n.Helpers(), func(p Peer) bool { return p.ID == w.peer(2).ID })
			})
			assert.Assert(t, took <= 100*time.Millisecond, "known after %v", took)
			for i := range size {
				set(i, reachability.AccessCutOff)
			}
			time.Sleep(100 * time.Millisecond)
			helpers, entries = seen(w.nodes[0])
			assert.Equal(t, helpers, 0)
			assert.Equal(t, entries, size)
		})
	}
}
