package copies

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first  = Holder{Endpoint: "e1", Address: "10.0.0.1:80"}
	second = Holder{Endpoint: "e2", Address: "10.0.0.9:80", Handle: "h1"}
)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newTracker() *Tracker {
	return New(Settings{RefreshInterval: 2 * time.Second, RetryDelay: 100 * time.Millisecond})
}

func TestNoRequestWhileEngineKeepsCopyCurrent(t *testing.T) {
	tracker := newTracker()
	tracker.RunStarted(at(0), first)
	_, due := tracker.Deadline()
	assert.Assert(t, !due)
	tracker.EngineLost(at(5), "e7")
	h, ok := tracker.Holder()
	assert.Assert(t, ok)
	assert.Equal(t, h, first)
}

// TestLostHolderIsReplaced checks that another copy is requested after the holder is lost. Without
// it, a stream whose own engine crashed later had to read its prompt again and paused for two
// seconds; this hit ten of 190 streams.
func TestLostHolderIsReplaced(t *testing.T) {
	tracker := newTracker()
	tracker.RunStarted(at(0), first)
	tracker.EngineLost(at(1000), "e1")
	_, ok := tracker.Holder()
	assert.Assert(t, !ok)
	_, now := tracker.Tick(at(1099))
	assert.Assert(t, !now)
	c, now := tracker.Tick(at(1100))
	assert.Assert(t, now)
	assert.Equal(t, c, Request{})
	_, again := tracker.Tick(at(1200))
	assert.Assert(t, !again, "only one copy may be in progress")
	tracker.CopyEnded(at(1250), second)
	h, ok := tracker.Holder()
	assert.Assert(t, ok)
	assert.Equal(t, h, second)
	due, _ := tracker.Deadline()
	assert.Equal(t, due, at(3250))
	c, now = tracker.Tick(at(3250))
	assert.Assert(t, now)
	assert.Equal(t, c, Request{Target: "e2"}) // to the same holder, which needs only what is new
	tracker.CopyEnded(at(3300), Holder{})
	_, ok = tracker.Holder()
	assert.Assert(t, !ok)
	c, now = tracker.Tick(at(3400))
	assert.Assert(t, now)
	assert.Equal(t, c, Request{})
}

func TestCopyOfEndedRunIsIgnored(t *testing.T) {
	tracker := newTracker()
	tracker.RunStarted(at(0), Holder{}) // the engine keeps no copy, so one is requested
	_, now := tracker.Tick(at(100))
	assert.Assert(t, now)
	tracker.RunEnded()
	tracker.RunStarted(at(200), first)
	tracker.CopyEnded(at(250), second) // belongs to the earlier run
	h, _ := tracker.Holder()
	assert.Equal(t, h, first)
	_, due := tracker.Deadline()
	assert.Assert(t, !due)
}

func TestNoRequestWithoutRefreshInterval(t *testing.T) {
	tracker := New(Settings{RetryDelay: 100 * time.Millisecond})
	tracker.RunStarted(at(0), first)
	tracker.EngineLost(at(10), "e1")
	_, due := tracker.Deadline()
	assert.Assert(t, !due)
}

// TestStoppingHolderIsReplacedAtOnce checks that a stopping holder is replaced without the retry
// delay. During a rollout of the engines, copies were otherwise requested too late, and streams had
// none when the old build stopped.
func TestStoppingHolderIsReplacedAtOnce(t *testing.T) {
	tracker := newTracker()
	tracker.RunStarted(at(0), first)
	tracker.HolderStopping(at(1000))
	_, ok := tracker.Holder()
	assert.Assert(t, !ok)
	c, now := tracker.Tick(at(1000))
	assert.Assert(t, now)
	assert.Equal(t, c, Request{})
	tracker = New(Settings{RetryDelay: 100 * time.Millisecond})
	tracker.RunStarted(at(0), first)
	tracker.HolderStopping(at(10))
	_, due := tracker.Deadline()
	assert.Assert(t, !due, "nothing may be requested without a refresh interval")
}

// TestFailedCopiesAreRetriedLessOften guards against streams that request a copy every 0.3 s while no engine has
// room for one: under overload that was 1,200 requests a second.
func TestFailedCopiesAreRetriedLessOften(t *testing.T) {
	tracker := newTracker()
	tracker.RunStarted(at(0), Holder{})
	for i, due := range []int{100, 200, 400, 800, 1600, 2400, 3200} {
		assert.Equal(t, tracker.Failures(), i)
		_, early := tracker.Tick(at(due - 1))
		assert.Assert(t, !early, "%d", due)
		_, now := tracker.Tick(at(due))
		assert.Assert(t, now, "%d", due)
		tracker.CopyEnded(at(due), Holder{})
	}
	tracker.HolderStopping(at(3300)) // as in a rollout, which leaves little time
	_, now := tracker.Tick(at(3300))
	assert.Assert(t, now)
	tracker.CopyEnded(at(3300), Holder{})
	due, _ := tracker.Deadline()
	assert.Equal(t, due, at(3400))
	_, now = tracker.Tick(at(4000))
	assert.Assert(t, now)
	tracker.CopyEnded(at(4000), second)
	assert.Equal(t, tracker.Failures(), 0)
	tracker.EngineLost(at(5000), second.Endpoint)
	due, _ = tracker.Deadline()
	assert.Equal(t, due, at(5100))
}
