package listing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
)

const second = time.Second

// listOf returns a list with endpoints of these IDs.
func listOf(ids ...string) *List {
	l := New(DefaultSettings())
	for _, id := range ids {
		l.Put(routing.Endpoint{ID: id})
	}
	return l
}

func anyService(string) bool { return true }

func endpointIDs(l *List) []string {
	out := []string{}
	for _, e := range l.Endpoints(anyService) {
		out = append(out, e.ID)
	}
	return out
}

// An endpoint that left must get no new requests, so without an outage it is dropped at once.
func TestRemovalTakesEffectAtOnceWithoutOutage(t *testing.T) {
	l := listOf("a", "b")
	l.Remove(10*second, "a")
	assert.DeepEqual(t, endpointIDs(l), []string{"b"})
}

// During an outage of the store the entries of live endpoints expire. Dropping them at its end
// would leave no endpoints; they are kept until the grace period ends.
func TestMissingEntriesAreKeptUntilGraceEnds(t *testing.T) {
	l := listOf("a", "b", "c")
	l.ReadFailed(10 * second)
	l.ReadFailed(12 * second)
	l.ReadSucceeded(14 * second)
	l.Replace(14*second, []routing.Endpoint{{ID: "c"}})
	assert.DeepEqual(t, endpointIDs(l), []string{"a", "b", "c"})
	l.Put(routing.Endpoint{ID: "a"}) // back before the grace ends
	at, due := l.Deadline()
	assert.Assert(t, due)
	assert.Equal(t, at, 15800*time.Millisecond)
	assert.Assert(t, !l.Tick(at-1))
	assert.Assert(t, l.Tick(at))
	assert.DeepEqual(t, endpointIDs(l), []string{"a", "c"})
	_, due = l.Deadline()
	assert.Assert(t, !due)
}

// A failure that is shorter than MinOutage, such as a broken watch, starts no grace period.
func TestShortReadFailureIsNoOutage(t *testing.T) {
	l := listOf("a", "b")
	l.ReadFailed(10 * second)
	l.ReadSucceeded(10*second + 300*time.Millisecond)
	l.Replace(10*second+300*time.Millisecond, []routing.Endpoint{{ID: "a"}})
	assert.DeepEqual(t, endpointIDs(l), []string{"a"})
}

// An engine that crashed and restarted is listed twice for some seconds. Requests to the old entry
// would be refused by the new engine, or meet a closed port.
func TestAddressBelongsToNewestEntry(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "old", Address: "10.0.0.1:80"})
	l.Put(routing.Endpoint{ID: "new", Address: "10.0.0.1:80"})
	assert.DeepEqual(t, endpointIDs(l), []string{"new"})
	l.Put(routing.Endpoint{ID: "old", Address: "10.0.0.1:80"}) // a late heartbeat
	assert.DeepEqual(t, endpointIDs(l), []string{"new"})
	l.Replace(second, []routing.Endpoint{{ID: "new", Address: "10.0.0.1:80"}, {ID: "old", Address: "10.0.0.1:80"}})
	assert.DeepEqual(t, endpointIDs(l), []string{"new"})
	l.Remove(second, "old")
	l.Remove(second, "new")
	l.Put(routing.Endpoint{ID: "third", Address: "10.0.0.1:80"})
	assert.DeepEqual(t, endpointIDs(l), []string{"third"})
}

// An endpoint that restarts under the same name replaces its former entry, although its ID differs.
func TestRestartedEndpointReplacesPredecessor(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "a@1", Name: "a", Address: "10.0.0.1:80", StartedUnixMS: 1})
	l.Put(routing.Endpoint{ID: "b@1", Name: "b", Address: "10.0.0.2:80", StartedUnixMS: 1})
	l.Put(routing.Endpoint{ID: "a@2", Name: "a", Address: "10.0.0.1:80", StartedUnixMS: 2})
	assert.DeepEqual(t, endpointIDs(l), []string{"a@2", "b@1"})
	l.Remove(second, "a")
	assert.DeepEqual(t, endpointIDs(l), []string{"b@1"})
}

// Entries may arrive in any order; of two with the same address, the one that started last is used.
func TestAddressBelongsToLatestStart(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "new@9", Name: "new", Address: "10.0.0.1:80", StartedUnixMS: 9})
	l.Put(routing.Endpoint{ID: "old@4", Name: "old", Address: "10.0.0.1:80", StartedUnixMS: 4})
	assert.DeepEqual(t, endpointIDs(l), []string{"new@9"})
}

// An entry of a service that no configuration names may come from anyone. It must not take an
// address from an endpoint that is in use.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "a", Address: "10.0.0.1:80", Service: "plans"})
	l.Put(routing.Endpoint{ID: "x", Address: "10.0.0.1:80", Service: "nobody's"})
	named := func(service string) bool { return service == "plans" }
	all := l.Endpoints(named)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].ID, "a")
}

// An entry that becomes unusable is not used even during the grace period, and is used again once
// it is usable.
func TestUnusableEntryIsForgotten(t *testing.T) {
	l := listOf("a", "b")
	l.ReadFailed(10 * second)
	l.ReadSucceeded(14 * second)
	l.Forget("a")
	l.Replace(14*second, nil)
	assert.DeepEqual(t, endpointIDs(l), []string{"b"})
	l.Put(routing.Endpoint{ID: "a"})
	assert.DeepEqual(t, endpointIDs(l), []string{"a", "b"})
}

// An engine crashed while it could not reach the store and restarted under another name. Its old
// entry arrives last and would hide the new one.
func TestEndedEndpointLosesAddress(t *testing.T) {
	l := New(DefaultSettings())
	l.Put(routing.Endpoint{ID: "second", Address: "10.0.0.1:80"})
	l.Put(routing.Endpoint{ID: "first", Address: "10.0.0.1:80"})
	assert.DeepEqual(t, endpointIDs(l), []string{"first"})
	assert.Assert(t, l.MarkEnded("first"))
	assert.Assert(t, !l.MarkEnded("first", "unknown"))
	assert.DeepEqual(t, endpointIDs(l), []string{"second"})
	l.Put(routing.Endpoint{ID: "first", Address: "10.0.0.1:80"})
	assert.DeepEqual(t, endpointIDs(l), []string{"second"}) // a late heartbeat does not bring it back
}
