package rollout

import (
	"time"

	"github.com/agateway/agateway/core/times"
)

// Report is what an instance tells its peers about an order. A summary covers all instances of a
// data centre.
type Report struct {
	Service, OrderID string
	// Age is the time since the order was given.
	Age      time.Duration
	Decision Decision
	// Reason is the reason of the decision; empty without one.
	Reason string
	// MovingFor is the time since requests began to move; 0 before.
	MovingFor time.Duration
	// Undrained is how many requests are at the baseline and can't go on at the target.
	Undrained int
	// CountingFor is the longest time for which one of the instances in Tally has counted; 0 if that is
	// not known.
	CountingFor time.Duration
	Tally       Tally
}

// Source identifies the sender of a report.
type Source struct {
	// Name is the instance that sent the report.
	Name, DataCentre string
	// Process changes when the sender restarts.
	Process uint64
	// IsSummary tells that the report covers all instances of the sender's data centre.
	IsSummary bool
}

// received is the last report of a source.
type received struct {
	Source
	receivedAt time.Time
	// earlier are the counts of the sender's earlier processes.
	earlier   Tally
	undrained int
	tally     Tally
	// countingSince is since when earlier and tally count.
	countingSince time.Time
}

// Report returns the report of this instance alone.
func (r *Rollout) Report(now time.Time) Report {
	return r.report(now, r.local.Clone(), r.undrained, r.countingSince)
}

// Summary returns the report of this instance and all instances that report to it.
func (r *Rollout) Summary(now time.Time) Report {
	t, undrained := r.local.Clone(), r.undrained
	for _, in := range r.instances {
		t.Add(in.earlier)
		t.Add(in.tally)
		undrained += in.undrainedAt(now)
	}
	return r.report(now, t, undrained, r.instancesCountSince())
}

// instancesCountSince returns since when this instance, or one that reports to it, has counted.
func (r *Rollout) instancesCountSince() time.Time {
	since := r.countingSince
	for _, in := range r.instances {
		since = times.Earlier(since, in.countingSince)
	}
	return since
}

// knownSince returns since when the known counts are complete: the instance that has counted for longest began
// then.
func (r *Rollout) knownSince() time.Time {
	since := r.instancesCountSince()
	for _, in := range r.summaries {
		since = times.Earlier(since, in.countingSince)
	}
	return since
}

func (r *Rollout) report(now time.Time, t Tally, undrained int, countingSince time.Time) Report {
	out := Report{
		Service: r.order.Service, OrderID: r.order.ID(), Age: r.Age(now), Decision: r.decision, Reason: r.reason, Undrained: undrained,
		CountingFor: now.Sub(countingSince), Tally: t,
	}
	if r.decision == Move {
		out.MovingFor = now.Sub(r.movingAt)
	}
	return out
}

// Apply takes a report of another instance. It ignores reports about other orders.
func (r *Rollout) Apply(now time.Time, from Source, in *Report) {
	if in.OrderID != r.order.ID() {
		return
	}
	r.dirty = true
	if orderedAt := now.Add(-in.Age); orderedAt.Before(r.orderedAt) {
		r.orderedAt = orderedAt
	}
	switch in.Decision {
	case RollBack:
		r.rollBack(in.Reason)
	case Move:
		r.move(now, in.MovingFor, in.Reason)
	}
	if from.IsSummary {
		r.applySummary(now, from, in)
		return
	}
	old := r.instances[from.Name]
	latest := &received{Source: from, receivedAt: now, earlier: Tally{}, tally: in.Tally, undrained: in.Undrained, countingSince: now.Add(-in.CountingFor)}
	if old != nil {
		latest.countingSince = times.Earlier(latest.countingSince, old.countingSince)
	}
	switch {
	case old == nil:
	case old.Process != from.Process:
		latest.earlier = old.earlier
		latest.earlier.Add(old.tally)
	default:
		latest.earlier = old.earlier
		if len(in.Tally) == 0 {
			latest.tally = old.tally // the report carries only a decision
		}
	}
	r.instances[from.Name] = latest
}

// applySummary takes the summary of a data centre. If another instance begins to send it, that one
// may not know the counts of instances that are gone. So each count keeps at least its earlier
// value.
func (r *Rollout) applySummary(now time.Time, from Source, in *Report) {
	old := r.summaries[from.DataCentre]
	tally := in.Tally
	if old != nil && old.Process != from.Process {
		tally = tally.Clone()
		tally.Max(old.tally)
	}
	latest := &received{Source: from, receivedAt: now, tally: tally, undrained: in.Undrained, countingSince: now.Add(-in.CountingFor)}
	if old != nil {
		latest.countingSince = times.Earlier(latest.countingSince, old.countingSince)
	}
	r.summaries[from.DataCentre] = latest
	if from.DataCentre == r.dataCentre {
		return
	}
	for name, i := range r.instances {
		if i.DataCentre == from.DataCentre {
			delete(r.instances, name)
		}
	}
}

// reportTTL is how long a report counts as fresh. It is four times the interval between two
// reports.
const reportTTL = 2 * time.Second

// undrainedAt returns [Report.Undrained] of a source. A source whose report is not fresh counts as
// gone and has none.
func (in *received) undrainedAt(now time.Time) int {
	if now.Sub(in.receivedAt) >= reportTTL {
		return 0
	}
	return in.undrained
}

// Connected reports whether this instance receives the counts of the others. Of each data centre it
// needs a fresh summary, or fresh reports of at least half of the instances. others are the
// instances that are alive.
func (r *Rollout) Connected(now time.Time, others []Source) bool {
	type reporters struct{ alive, fresh int }
	dataCentres := map[string]*reporters{}
	for _, o := range others {
		h := dataCentres[o.DataCentre]
		if h == nil {
			h = &reporters{}
			dataCentres[o.DataCentre] = h
		}
		h.alive++
		if in := r.instances[o.Name]; in != nil && now.Sub(in.receivedAt) < reportTTL {
			h.fresh++
		}
	}
	for dc, h := range dataCentres {
		sum := r.summaries[dc]
		if 2*h.fresh < h.alive && (sum == nil || now.Sub(sum.receivedAt) >= reportTTL) {
			return false
		}
	}
	return true
}

// totals returns the counts of all instances. The summary of the own data centre covers the same
// requests as the reports of its instances, so the higher count is used.
func (r *Rollout) totals() Tally {
	t := r.local.Clone()
	for _, in := range r.instances {
		t.Add(in.earlier)
		t.Add(in.tally)
	}
	for dc, in := range r.summaries {
		if dc == r.dataCentre {
			t.Max(in.tally)
		}
	}
	for dc, in := range r.summaries {
		if dc != r.dataCentre {
			t.Add(in.tally)
		}
	}
	return t
}

func (r *Rollout) undrainedTotal(now time.Time) int {
	here, elsewhere := r.undrained, 0
	for _, in := range r.instances {
		here += in.undrainedAt(now)
	}
	for dc, in := range r.summaries {
		if dc == r.dataCentre {
			here = max(here, in.undrainedAt(now))
		} else {
			elsewhere += in.undrainedAt(now)
		}
	}
	return here + elsewhere
}
