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

func keeper() *Keeper {
	return New(Settings{Renew: 2 * time.Second, Retry: 100 * time.Millisecond})
}

func TestACopyThatTheEngineKeepsNeedsNothing(t *testing.T) {
	k := keeper()
	k.Begin(at(0), first)
	_, due := k.Deadline()
	assert.Assert(t, !due)
	k.Lost(at(5), "e7")
	h, ok := k.Holder()
	assert.Assert(t, ok)
	assert.Equal(t, h, first)
}

// TestALostHolderIsReplaced: a stream whose copy was lost unnoticed had to read its prompt again when
// its own engine died later, and paused for two seconds; of 190 streams of a day, ten.
func TestALostHolderIsReplaced(t *testing.T) {
	k := keeper()
	k.Begin(at(0), first)
	k.Lost(at(1000), "e1")
	_, ok := k.Holder()
	assert.Assert(t, !ok)
	_, now := k.Tick(at(1099))
	assert.Assert(t, !now)
	c, now := k.Tick(at(1100))
	assert.Assert(t, now)
	assert.Equal(t, c, Copy{})
	_, again := k.Tick(at(1200))
	assert.Assert(t, !again, "one copy at a time")
	k.Copied(at(1250), second)
	h, ok := k.Holder()
	assert.Assert(t, ok)
	assert.Equal(t, h, second)
	due, _ := k.Deadline()
	assert.Equal(t, due, at(3250))
	c, now = k.Tick(at(3250))
	assert.Assert(t, now)
	assert.Equal(t, c, Copy{To: "e2"}) // only what is new
	k.Copied(at(3300), Holder{})
	_, ok = k.Holder()
	assert.Assert(t, !ok)
	c, now = k.Tick(at(3400))
	assert.Assert(t, now)
	assert.Equal(t, c, Copy{})
}

func TestARunThatEndedIsNotCopied(t *testing.T) {
	k := keeper()
	k.Begin(at(0), Holder{}) // the engine keeps no copy: one is asked for
	_, now := k.Tick(at(100))
	assert.Assert(t, now)
	k.Stop()
	k.Begin(at(200), first)
	k.Copied(at(250), second) // late, of the run before
	h, _ := k.Holder()
	assert.Equal(t, h, first)
	_, due := k.Deadline()
	assert.Assert(t, !due)
}

func TestEnginesThatCannotBeAskedAreNotAsked(t *testing.T) {
	k := New(Settings{Retry: 100 * time.Millisecond})
	k.Begin(at(0), first)
	k.Lost(at(10), "e1")
	_, due := k.Deadline()
	assert.Assert(t, !due)
}

// TestAHolderThatStopsIsLeftAtOnce: streams whose copies were to follow them to another build of the engines waited as long as after a
// copy that failed, and had none when the old build stopped.
func TestAHolderThatStopsIsLeftAtOnce(t *testing.T) {
	k := keeper()
	k.Begin(at(0), first)
	k.Move(at(1000))
	_, ok := k.Holder()
	assert.Assert(t, !ok)
	c, now := k.Tick(at(1000))
	assert.Assert(t, now)
	assert.Equal(t, c, Copy{})
	k = New(Settings{Retry: 100 * time.Millisecond})
	k.Begin(at(0), first)
	k.Move(at(10))
	_, due := k.Deadline()
	assert.Assert(t, !due, "engines that can't be asked are not asked")
}
