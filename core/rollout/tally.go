package rollout

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Arm is one of the two sides of the comparison.
type Arm uint8

const (
	// Baseline is every build other than the target.
	Baseline Arm = iota
	Target
)

// Cell is the key by which requests are counted.
type Cell struct {
	Route string
	Arm   Arm
	// Group is the group of the target's endpoint; see [GroupOf]. It is 0 for the baseline.
	Group uint8
	// Moving tells that requests were moving to the target, so that its load was higher than that
	// of a canary.
	Moving bool
}

// groupCount is the number of groups of the target's endpoints. Few endpoints share a group, and a
// report stays small.
const groupCount = 16

// GroupOf returns the group of one of the target's endpoints, by a hash of its ID.
func GroupOf(endpoint string) uint8 { return uint8(xxhash.Sum64String(endpoint) % groupCount) }

// Counts are the numbers of requests by outcome, and their durations.
type Counts struct {
	// Sent counts requests sent to an endpoint, retries included.
	Sent uint64
	// Answered counts good answers; a stream counts at its first event. Failed counts requests that
	// the endpoint answered with a failure of its own. Lost counts requests that ended without a
	// whole answer.
	Answered, Failed, Lost uint64
	// AnswerTime is the time to the answer. For a stream it is the time to the first event, per
	// thousand prompt tokens that the engine had to read before it.
	AnswerTime Histogram
	// EventGap is the time between two events of a stream.
	EventGap Histogram
}

func (c *Counts) add(o *Counts) {
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.Failed += o.Failed
	c.Lost += o.Lost
	c.AnswerTime.add(&o.AnswerTime)
	c.EventGap.add(&o.EventGap)
}

func (c *Counts) max(o *Counts) {
	c.Sent, c.Answered = max(c.Sent, o.Sent), max(c.Answered, o.Answered)
	c.Failed, c.Lost = max(c.Failed, o.Failed), max(c.Lost, o.Lost)
	c.AnswerTime.max(&o.AnswerTime)
	c.EventGap.max(&o.EventGap)
}

// Tally holds counts by cell.
type Tally map[Cell]*Counts

// At returns the counts of a cell for the caller to change. It adds the cell if it is missing.
func (t Tally) At(c Cell) *Counts {
	n := t[c]
	if n == nil {
		n = &Counts{}
		t[c] = n
	}
	return n
}

// Add adds the counts of another tally.
func (t Tally) Add(o Tally) {
	for cell, n := range o {
		t.At(cell).add(n)
	}
}

// Max raises each count to that of another tally if that is higher.
func (t Tally) Max(o Tally) {
	for cell, n := range o {
		t.At(cell).max(n)
	}
}

// Clone returns a deep copy.
func (t Tally) Clone() Tally {
	out := maps.Clone(t)
	for cell, n := range out {
		c := *n
		out[cell] = &c
	}
	return out
}

// sentCounts are the numbers of requests sent to each arm and on each route.
type sentCounts struct {
	baseline, target uint64
	routes           map[string]uint64
}

func (v *sentCounts) total() uint64 { return v.baseline + v.target }

func (t Tally) sentCounts() sentCounts {
	v := sentCounts{routes: map[string]uint64{}}
	for cell, n := range t {
		if cell.Arm == Target {
			v.target += n.Sent
		} else {
			v.baseline += n.Sent
		}
		v.routes[cell.Route] += n.Sent
	}
	return v
}

// Sent returns the numbers of requests that were sent to each arm.
func (t Tally) Sent() (baseline, target uint64) {
	v := t.sentCounts()
	return v.baseline, v.target
}

// since returns what was counted after an earlier state of the tally. If the baseline has few new
// requests, such as after the move, its counts are taken from the beginning.
func (t Tally) since(earlier Tally) Tally {
	out := Tally{}
	counted := uint64(0)
	for cell, n := range t {
		d := *n
		if b := earlier[cell]; b != nil {
			d.subtract(b)
		}
		out[cell] = &d
		if cell.Arm == Baseline {
			counted += d.Answered + d.Failed
		}
	}
	if counted >= minRecentBaseline {
		return out
	}
	for cell, n := range t {
		if cell.Arm == Baseline {
			out[cell] = n
		}
	}
	return out
}

// minRecentBaseline is how many new requests the baseline needs to be compared by those alone.
const minRecentBaseline = 100

func (c *Counts) subtract(o *Counts) {
	c.Sent -= min(o.Sent, c.Sent)
	c.Answered -= min(o.Answered, c.Answered)
	c.Failed -= min(o.Failed, c.Failed)
	c.Lost -= min(o.Lost, c.Lost)
	for i := range c.AnswerTime {
		c.AnswerTime[i] -= min(o.AnswerTime[i], c.AnswerTime[i])
		c.EventGap[i] -= min(o.EventGap[i], c.EventGap[i])
	}
}
