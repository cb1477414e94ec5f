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

// RecordLeaving records that an answer of an endpoint says that it is leaving. An endpoint that is
// not listed is ignored.
func (v *View) RecordLeaving(now time.Time, id string) {
	if n := v.nodes[id]; n != nil {
		v.noteDeparture(now, id, departure.Statement{At: now, Sequence: n.Sequence}, FromAnswer)
	}
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
	if n == nil {
		return
	}
	n.setSaysLeaving(now, v.departures.Leaving(id))
	if first {
		v.addDepartureEvent(now, n, source, st)
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
		v.addDepartureEvent(now, n, FromEntry, st)
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

func (v *View) addDepartureEvent(now time.Time, n *node, source DepartureSource, st departure.Statement) {
	v.departureEvents = append(v.departureEvents, DepartureEvent{
		Endpoint: n.ID, Leaving: v.departures.Leaving(n.ID), Source: source, Age: now.Sub(st.At), Sequence: n.Sequence, Open: n.open, Count: v.departures.Count(),
	})
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
		return v.withholdsUnlisted(now, id)
	case !n.inService():
		return WhileLeaving
	case n.cooldown.Active(now):
		return WhilePaused
	}
	return NotWithheld
}

func (v *View) withholdsUnlisted(now time.Time, id string) Withholding {
	if u := v.unlisted[id]; u != nil && u.cooldown.Active(now) {
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
		return v.withholdsUnlisted(now, id)
	case n.saysLeaving && now.Sub(n.saidLeavingAt) >= probedWhileLeaving:
		return WhileLeaving
	case n.cooldown.Active(now):
		return WhilePaused
	}
	return NotWithheld
}
