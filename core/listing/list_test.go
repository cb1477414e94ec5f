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

func anyService(string) bool { return true }

func ids(l *List) []string {
	out := []string{}
	for _, e := range l.Endpoints(anyService) {
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

// TestOneThatStartsAgainReplacesTheOneBefore: under the name that it had, with a new start.
func TestOneThatStartsAgainReplacesTheOneBefore(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "a@1", Name: "a", Address: "10.0.0.1:80", StartedUnixMS: 1})
	l.Put(routing.Endpoint{ID: "b@1", Name: "b", Address: "10.0.0.2:80", StartedUnixMS: 1})
	l.Put(routing.Endpoint{ID: "a@2", Name: "a", Address: "10.0.0.1:80", StartedUnixMS: 2})
	assert.DeepEqual(t, ids(l), []string{"a@2", "b@1"})
	l.Remove(second, "a")
	assert.DeepEqual(t, ids(l), []string{"b@1"})
}

// TestTheOneThatStartedLastHasTheAddress: in whichever order the entries come.
func TestTheOneThatStartedLastHasTheAddress(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "new@9", Name: "new", Address: "10.0.0.1:80", StartedUnixMS: 9})
	l.Put(routing.Endpoint{ID: "old@4", Name: "old", Address: "10.0.0.1:80", StartedUnixMS: 4})
	assert.DeepEqual(t, ids(l), []string{"new@9"})
}

// TestAnUnknownServiceTakesNoAddress: an entry of a service that no configuration names may be anybody's.
func TestAnUnknownServiceTakesNoAddress(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "a", Address: "10.0.0.1:80", Service: "plans"})
	l.Put(routing.Endpoint{ID: "x", Address: "10.0.0.1:80", Service: "nobody's"})
	named := func(service string) bool { return service == "plans" }
	all := l.Endpoints(named)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].ID, "a")
}

// TestAnEntryThatTurnsBadIsNotUsed: not even while missing entries still count, and it is used again once it is good.
func TestAnEntryThatTurnsBadIsNotUsed(t *testing.T) {
	l := filled("a", "b")
	l.Unreachable(10 * second)
	l.Reached(14 * second)
	l.Drop("a")
	l.Replace(14*second, nil)
	assert.DeepEqual(t, ids(l), []string{"b"})
	l.Put(routing.Endpoint{ID: "a"})
	assert.DeepEqual(t, ids(l), []string{"a", "b"})
}

// TestAnAddressThatAnswersForAnotherOne: an engine crashed while it was cut off from the store and started again under
// another name. What the first one had written arrives last, and would hide the one that serves.
func TestAnAddressThatAnswersForAnotherOne(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "second", Address: "10.0.0.1:80"})
	l.Put(routing.Endpoint{ID: "first", Address: "10.0.0.1:80"})
	assert.DeepEqual(t, ids(l), []string{"first"})
	assert.Assert(t, l.Ended("first"))
	assert.Assert(t, !l.Ended("first", "unknown"))
	assert.DeepEqual(t, ids(l), []string{"second"})
	l.Put(routing.Endpoint{ID: "first", Address: "10.0.0.1:80"})
	assert.DeepEqual(t, ids(l), []string{"second"}) // not by a late heartbeat
}
