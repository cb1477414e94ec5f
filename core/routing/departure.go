package routing

import (
	"time"

	"github.com/agateway/agateway/core/departure"
)

// DepartureSource is where it was learned that an endpoint leaves, or does not leave any more.
type DepartureSource string

// Values of DepartureSource.
const (
	FromAnswer DepartureSource = "answer" // an answer to this instance
	FromPeer   DepartureSource = "peer"   // the report of another instance
	FromEntry  DepartureSource = "entry"  // the endpoint's entry of the list
)

// DepartureEvent says that an endpoint counts as leaving because of an answer, or that it does not
// any more.
type DepartureEvent struct {
	Endpoint string
	Leaving  bool
	Source   DepartureSource
	// Age is the time since the last answer that said so.
	Age time.Duration
	// Sequence is the highest sequence number of the endpoint's entries, and Open the number of this
	// instance's requests there.
	Sequence uint64
	Open     int
	// Count is how many endpoints count as leaving because of an answer.
	Count int
}

// RecordLeaving records that an answer of an endpoint says that it is leaving. The endpoint need not be
// listed any more.
func (v *View) RecordLeaving(now time.Time, id string) {
	st := departure.Statement{At: now}
	if n := v.nodes[id]; n != nil {
		st.Sequence = n.Sequence
	} else {
		st.Sequence = v.unlistedEndpoint(id).sequence
	}
	v.noteDeparture(now, id, st, FromAnswer)
}

// ReportDepartures records the endpoints of which a peer reports that they said that they leave. They
// need not be listed here yet.
func (v *View) ReportDepartures(now time.Time, departures map[string]departure.Statement) {
	for id, st := range departures {
		v.noteDeparture(now, id, st, FromPeer)
	}
}

func (v *View) noteDeparture(now time.Time, id string, st departure.Statement, source DepartureSource) {
	first := v.departures.Said(now, id, st, source == FromAnswer)
	n := v.nodes[id]
	if n != nil {
		n.setSaysLeaving(now, v.departures.Leaving(id))
	}
	if first && (n != nil || source == FromAnswer) {
		v.addDepartureEvent(now, id, source, st)
	}
}

// CompareEntry compares the entry of an endpoint with what its answers said. It is called after each
// [View.Upsert].
func (v *View) CompareEntry(now time.Time, id string) {
	n := v.nodes[id]
	if n == nil {
		return
	}
	st, _ := v.departures.Of(id)
	if v.departures.Listed(now, id, n.State == Leaving, n.Sequence) {
		v.addDepartureEvent(now, id, FromEntry, st)
	}
	n.setSaysLeaving(now, v.departures.Leaving(id))
}

func (n *node) setSaysLeaving(now time.Time, leaving bool) {
	if leaving && !n.saysLeaving {
		n.saidLeavingAt = now
	}
	n.saysLeaving = leaving
}

// ObservedDepartures returns the endpoints that said in answers to this instance that they leave, as
// far as the list does not say it too.
func (v *View) ObservedDepartures() map[string]departure.Statement { return v.departures.Observed() }

func (v *View) addDepartureEvent(now time.Time, id string, source DepartureSource, st departure.Statement) {
	event := DepartureEvent{Endpoint: id, Leaving: v.departures.Leaving(id), Source: source, Age: now.Sub(st.At), Sequence: st.Sequence, Count: v.departures.Count()}
	if n := v.nodes[id]; n != nil {
		event.Sequence, event.Open = n.Sequence, n.open
	}
	v.departureEvents = append(v.departureEvents, event)
}

// TakeDepartureEvents returns the events since the last call.
func (v *View) TakeDepartureEvents() []DepartureEvent {
	out := v.departureEvents
	v.departureEvents = nil
	return out
}

// Withholding is why nothing new may be sent to an endpoint.
type Withholding string

// Values of Withholding.
const (
	NotWithheld  Withholding = ""
	WhileLeaving Withholding = "leaving" // or replaced at its address
	WhilePaused  Withholding = "paused"  // it asked for a pause
)

// Withholds reports whether requests are withheld from an endpoint. One that is not listed may be used
// by a request that chose it before.
func (v *View) Withholds(now time.Time, id string) Withholding {
	n := v.nodes[id]
	switch {
	case n == nil:
		return v.withholdsUnlisted(now, id, 0)
	case !n.inService():
		return WhileLeaving
	case n.cooldown.Active(now):
		return WhilePaused
	}
	return NotWithheld
}

// withholdsUnlisted is the same for an endpoint that is not listed. Requests are withheld from one that has
// said for a time that it leaves.
func (v *View) withholdsUnlisted(now time.Time, id string, leavingFor time.Duration) Withholding {
	st, leaving := v.departures.Of(id)
	switch u := v.unlisted[id]; {
	case leaving && now.Sub(st.At) >= leavingFor:
		return WhileLeaving
	case u != nil && u.cooldown.Active(now):
		return WhilePaused
	}
	return NotWithheld
}

// probedWhileLeaving is how long an endpoint that said that it leaves is still asked about what runs there.
// Most streams end within that time.
const probedWhileLeaving = 1500 * time.Millisecond

// WithholdsProbe reports whether probes are withheld from an endpoint. One that leaves by its entry alone is
// asked as long as it is listed.
func (v *View) WithholdsProbe(now time.Time, id string) Withholding {
	n := v.nodes[id]
	switch {
	case n == nil:
		return v.withholdsUnlisted(now, id, probedWhileLeaving)
	case n.saysLeaving && now.Sub(n.saidLeavingAt) >= probedWhileLeaving:
		return WhileLeaving
	case n.cooldown.Active(now):
		return WhilePaused
	}
	return NotWithheld
}
