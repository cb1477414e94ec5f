package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingAnswerOfUnlistedEndpoint guards against requests to an endpoint whose answer said that it leaves
// while it was not listed: its entry had expired or was removed, and the store returned from a copy that
// still has it, as ready.
func TestLeavingAnswerOfUnlistedEndpoint(t *testing.T) {
	v := NewView(DefaultSettings())
	e := Endpoint{ID: "e", Service: "s", Slots: 6, Sequence: 7}
	list := func(at time.Time) {
		v.Upsert(e)
		v.CompareEntry(at, e.ID)
	}
	list(epoch)
	v.Sent(epoch, e.ID)
	v.Remove(e.ID)
	v.RecordLeaving(epoch, e.ID)
	assert.Equal(t, v.Withholds(epoch.Add(time.Second), e.ID), WhileLeaving)
	events := v.TakeDepartureEvents()
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Sequence, e.Sequence)

	later := epoch.Add(time.Minute)
	list(later)
	assert.Equal(t, v.Withholds(later, e.ID), WhileLeaving)
	e.Sequence++
	list(later)
	assert.Equal(t, v.Withholds(later, e.ID), NotWithheld)
}
