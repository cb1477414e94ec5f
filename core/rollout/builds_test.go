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

// TestBuildReturnsAfterCrashOfAllItsEndpoints: all endpoints of the baseline crash during an order,
// and others of the same build replace them. They are used at once. Before, they waited as those of
// a new build, and callers got 503 for 2.4 s although four endpoints were live.
func TestBuildReturnsAfterCrashOfAllItsEndpoints(t *testing.T) {
	for _, c := range []struct {
		absent time.Duration
		usable bool
	}{{time.Second, true}, {absentRetention - time.Second, true}, {absentRetention + time.Second, false}} {
		var b Builds
		b.Update(epoch, buildSet("v1"), epoch, "", Ordered)
		b.Update(after(time.Second), buildSet("v1", "v2"), after(time.Second), "v2", Running)
		crashed := 2 * time.Second
		for at := crashed; at < crashed+c.absent; at += 500 * time.Millisecond {
			b.Update(after(at), buildSet("v2"), after(at), "v2", Running)
		}
		back := crashed + c.absent
		b.Update(after(back), buildSet("v1", "v2"), after(back), "v2", Running)
		assert.Equal(t, b.Usable(after(back), "v1", "v2", Running, false), c.usable, "absent for %v", c.absent)
		assert.Equal(t, b.Usable(after(back), "v1", "v2", RolledBack, false), c.usable, "absent for %v", c.absent)
	}
}
