package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func buildSet(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}

// TestNewBuildWaitsForOrders: builds that are listed when an instance starts are in service, except
// for the target of an order. A build that appears later waits until it is known that no order
// names it.
func TestNewBuildWaitsForOrders(t *testing.T) {
	var b Builds
	usable := func(at time.Duration, name, target string, s State) bool {
		return b.Usable(after(at), name, target, s, false)
	}
	b.Update(epoch, buildSet("v1"), time.Time{}, "", Ordered)
	assert.Assert(t, usable(0, "v1", "", Ordered), "the only build is in service")
	b.Update(epoch, buildSet("v1"), epoch, "", Ordered)
	b.Update(after(time.Second), buildSet("v1", "v2"), after(time.Second), "", Ordered)
	assert.Assert(t, !usable(time.Second, "v2", "", Ordered))
	assert.Assert(t, b.ChangesWithTime())
	b.Update(after(4*time.Second), buildSet("v1", "v2"), after(time.Second), "", Ordered)
	assert.Assert(t, !usable(4*time.Second, "v2", "", Ordered), "the orders were not read since the build appeared")
	b.Update(after(4*time.Second), buildSet("v1", "v2"), after(4*time.Second), "", Ordered)
	assert.Assert(t, usable(4*time.Second, "v2", "", Ordered))
	assert.Assert(t, !b.ChangesWithTime())
}

// TestTargetAndReplacedBuildsOfOrder: the target is used while the order runs, but not after the
// order is rolled back or withdrawn. Replaced builds stay out of use for [retiredHold].
func TestTargetAndReplacedBuildsOfOrder(t *testing.T) {
	var b Builds
	b.Update(epoch, buildSet("v1", "v2"), epoch, "v2", Running)
	assert.Assert(t, b.Usable(epoch, "v2", "v2", Running, false))
	assert.Assert(t, !b.Usable(epoch, "v2", "v2", RolledBack, false))
	assert.Assert(t, !b.Usable(epoch, "v2", "v2", Running, true))
	b.Update(after(time.Second), buildSet("v1", "v2"), after(time.Second), "v2", Completed)
	assert.Assert(t, !b.Usable(after(time.Second), "v1", "v2", Completed, false))
	assert.Assert(t, b.Usable(after(time.Second), "v2", "v2", Completed, false))
	assert.Assert(t, b.Usable(after(time.Second+retiredHold), "v1", "v2", Completed, false), "it is still listed after the hold")
}

// TestNoBuildIsUsableBeforeOrdersAreKnown: an instance that starts during an order sees two builds
// and can't tell which is the target. It uses neither before it knows the order.
func TestNoBuildIsUsableBeforeOrdersAreKnown(t *testing.T) {
	var b Builds
	b.Update(epoch, buildSet("v1", "v2"), time.Time{}, "", Ordered)
	assert.Assert(t, !b.Usable(epoch, "v1", "", Ordered, false))
	assert.Assert(t, !b.Usable(epoch, "v2", "", Ordered, false))
	b.Update(after(time.Second), buildSet("v1", "v2"), after(time.Second), "v2", Running)
	assert.Assert(t, b.Usable(after(time.Second), "v1", "v2", Running, false))
}
