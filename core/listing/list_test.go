package listing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
)

const second = time.Second

func filled(ids ...string) *List {
	l := New(DefaultSettings())
	for _, id := range ids {
		l.Put(routing.Endpoint{ID: id})
	}
	return l
}

func ids(l *List) []string {
	out := []string{}
	for _, e := range l.Endpoints() {
		out = append(out, e.ID)
	}
	return out
}

func TestRemovalCountsAtOnceInCalmTimes(t *testing.T) {
	l := filled("a", "b")
	l.Remove(10*second, "a")
	assert.DeepEqual(t, ids(l), []string{"b"})
}

func TestLapsedEntriesCountUntilTheGraceEnds(t *testing.T) {
	l := filled("a", "b", "c")
	l.Unreachable(10 * second)
	l.Unreachable(12 * second)
	l.Reached(14 * second)
	l.Replace(14*second, []routing.Endpoint{{ID: "c"}})
	assert.DeepEqual(t, ids(l), []string{"a", "b", "c"})
	l.Put(routing.Endpoint{ID: "a"}) // back in time
	at, due := l.Deadline()
	assert.Assert(t, due)
	assert.Equal(t, at, 15800*time.Millisecond)
	assert.Assert(t, !l.Tick(at-1))
	assert.Assert(t, l.Tick(at))
	assert.DeepEqual(t, ids(l), []string{"a", "c"})
	_, due = l.Deadline()
	assert.Assert(t, !due)
}

func TestACutWatchIsNoOutage(t *testing.T) {
	l := filled("a", "b")
	l.Unreachable(10 * second)
	l.Reached(10*second + 300*time.Millisecond)
	l.Replace(10*second+300*time.Millisecond, []routing.Endpoint{{ID: "a"}})
	assert.DeepEqual(t, ids(l), []string{"a"})
}

// TestAnAddressBelongsToTheLastThatCame: an engine that crashed and started again is listed twice for
// some seconds. Requests sent to the first one are refused by the second, or meet a closed port.
func TestAnAddressBelongsToTheLastThatCame(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "old", Address: "10.0.0.1:80"})
	l.Put(routing.Endpoint{ID: "new", Address: "10.0.0.1:80"})
	assert.DeepEqual(t, ids(l), []string{"new"})
	l.Put(routing.Endpoint{ID: "old", Address: "10.0.0.1:80"}) // a late heartbeat's event
	assert.DeepEqual(t, ids(l), []string{"new"})
	l.Replace(second, []routing.Endpoint{{ID: "new", Address: "10.0.0.1:80"}, {ID: "old", Address: "10.0.0.1:80"}})
	assert.DeepEqual(t, ids(l), []string{"new"})
	l.Remove(second, "old")
	l.Remove(second, "new")
	l.Put(routing.Endpoint{ID: "third", Address: "10.0.0.1:80"})
	assert.DeepEqual(t, ids(l), []string{"third"})
}
