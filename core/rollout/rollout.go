package rollout

import (
	"time"
)

// Decision is what the instances have decided about an order. Its numeric values are sent between
// instances.
type Decision uint8

// A decision replaces only those listed before it.
const (
	// Undecided orders are in their canary phase.
	Undecided Decision = iota
	// Move means that requests move to the target.
	Move
	// RollBack means that no more requests go to the target.
	RollBack
)

// String returns the name that logs, metrics and operator tools show.
func (d Decision) String() string { return [...]string{"canary", "move", "roll_back"}[d] }

// Rollout is one order as this instance sees it.
type Rollout struct {
	settings   Settings
	order      Order
	dataCentre string // of this instance
	schedule   schedule
	// orderedAt is when the order was given, on this instance's clock. countingSince is when this
	// instance began to count requests, which is later if it started during the order.
	orderedAt     time.Time
	countingSince time.Time
	state         State
	decision      Decision
	reason        string
	movingAt      time.Time
	// undrained is [Report.Undrained] of this instance alone.
	undrained int
	local     Tally
	instances map[string]*received
	summaries map[string]*received
	// total, sent and judgement are cached until the counts change.
	total     Tally
	sent      sentCounts
	judgement Judgement
	judgedAt  time.Time
	dirty     bool
	// paused is set once the target has failed too many requests in the canary. It is never
	// cleared.
	paused bool
	// limitReachableAt is when the target had answered [Settings.BadAnswerLimit] requests, well or
	// badly; zero before.
	limitReachableAt time.Time
	// snapshots are earlier totals, the oldest first.
	snapshots []snapshot
	endpoints Endpoints
}

// Endpoints is the number of endpoints of each arm that take requests.
type Endpoints struct{ Baseline, Target int }

// New returns the rollout of an order that was given at now minus age. dataCentre is that of this
// instance.
func New(s Settings, o Order, now time.Time, age time.Duration, dataCentre string) *Rollout {
	return &Rollout{
		settings: s, order: o, dataCentre: dataCentre, schedule: s.schedule(o.Duration, 0), orderedAt: now.Add(-age), countingSince: now,
		local: Tally{}, instances: map[string]*received{}, summaries: map[string]*received{}, dirty: true,
	}
}

// Reissue replaces the order by one that asks for the same, since the operator has written it again after the
// store had lost it. What was counted and decided stays.
func (r *Rollout) Reissue(o Order) { r.order = o }

// Order returns the order that the rollout follows.
func (r *Rollout) Order() Order { return r.order }

// State returns the order's state in the store, as last set by [Rollout.SetState].
func (r *Rollout) State() State { return r.state }

// Decision returns the decision and its reason. The reason is empty while the order is undecided.
func (r *Rollout) Decision() (Decision, string) { return r.decision, r.reason }

// Age returns the time since the order was given.
func (r *Rollout) Age(now time.Time) time.Duration { return now.Sub(r.orderedAt) }

// Moving reports whether requests move to the target.
func (r *Rollout) Moving() bool { return r.decision == Move }

// SetEndpoints sets the number of endpoints of each arm that take requests.
func (r *Rollout) SetEndpoints(e Endpoints) { r.endpoints = e }

// SetDrain sets how long a request at the baseline usually takes until it ends or can go on at the
// target.
func (r *Rollout) SetDrain(d time.Duration) { r.schedule = r.settings.schedule(r.order.Duration, d) }

// SetUndrained sets how many requests of this instance are at the baseline and can't go on at the
// target.
func (r *Rollout) SetUndrained(n int) { r.undrained = n }

// LocalCounts returns this instance's counts of a cell, for the caller to add to. It overwrites
// c.Moving with [Rollout.Moving].
func (r *Rollout) LocalCounts(c Cell) *Counts {
	c.Moving = r.Moving()
	r.dirty = true
	return r.local.At(c)
}

// SetState sets the order's state as read from the store. A final state never changes, and earlier
// states are ignored.
func (r *Rollout) SetState(s State) {
	if r.state.Final() || s < r.state {
		return
	}
	r.state = s
	if s == RolledBack {
		r.rollBack("rolled back in the store")
	}
}

func (r *Rollout) rollBack(reason string) {
	if r.decision != RollBack {
		r.decision, r.reason = RollBack, reason
	}
}

func (r *Rollout) move(now time.Time, elapsed time.Duration, reason string) {
	if r.decision == Undecided {
		r.decision, r.reason, r.movingAt = Move, reason, now.Add(-elapsed)
	}
}

// BaselineAnswerTime returns the time within which the baseline answers all but tailShare of its
// requests. It returns 0 if no answer was counted.
func (r *Rollout) BaselineAnswerTime(now time.Time, tailShare float64) time.Duration {
	_, t := r.Judgement(now)
	sum := Histogram{}
	for cell, n := range t {
		if cell.Arm == Baseline {
			sum.add(&n.AnswerTime)
		}
	}
	if sum.Total() == 0 {
		return 0
	}
	return bucketUpperBound(sum.tailBucket(tailShare))
}

// judgeInterval is the least time between two judgements.
const judgeInterval = 100 * time.Millisecond

// A target that turns bad late in an order has many good answers by then. Only a comparison of its
// recent requests detects it soon.
const (
	// recentWindow is the least time that the recent requests span.
	recentWindow = 4 * time.Second
	// snapshotInterval is the least time between two snapshots.
	snapshotInterval = time.Second
)

// snapshot is the total of all instances at an earlier time.
type snapshot struct {
	at    time.Time
	tally Tally
	sent  uint64 // of both arms
}

// Judgement compares the target with the baseline, once over all requests and once over the recent
// ones. It returns the judgement with more evidence against the target, and the total of all
// instances.
func (r *Rollout) Judgement(now time.Time) (Judgement, Tally) {
	if r.total != nil && (!r.dirty || now.Sub(r.judgedAt) < judgeInterval) {
		return r.judgement, r.total
	}
	r.total = r.totals()
	r.sent = r.total.sentCounts()
	r.judgement = r.settings.judge(r.total, r.settings.Judge)
	if earlier := r.snapshotBefore(now.Add(-recentWindow)); earlier != nil {
		recent := r.settings.judge(r.total.since(earlier), r.settings.Judge.forInterimTests(int(r.order.Duration/recentWindow)))
		if recent.Evidence-recent.Threshold > r.judgement.Evidence-r.judgement.Threshold {
			recent.Answered, recent.Failed = r.judgement.Answered, r.judgement.Failed
			recent.Excess = max(recent.Excess, r.judgement.Excess)
			r.judgement = recent
		}
		r.judgement.Excess = max(r.judgement.Excess, recent.Excess)
	}
	r.judgedAt, r.dirty = now, false
	r.addSnapshot(now)
	return r.judgement, r.total
}

// snapshotBefore returns the newest snapshot that was taken at or before a time. It returns nil if
// there is none.
func (r *Rollout) snapshotBefore(at time.Time) Tally {
	var found Tally
	for i := range r.snapshots {
		if !r.snapshots[i].at.After(at) {
			found = r.snapshots[i].tally
		}
	}
	return found
}

// addSnapshot stores the current total and drops snapshots that are no longer needed.
func (r *Rollout) addSnapshot(now time.Time) {
	if n := len(r.snapshots); n > 0 && now.Sub(r.snapshots[n-1].at) < snapshotInterval {
		return
	}
	r.snapshots = append(r.snapshots, snapshot{now, r.total, r.sent.total()})
	for len(r.snapshots) > 1 && now.Sub(r.snapshots[1].at) >= recentWindow {
		r.snapshots = r.snapshots[1:]
	}
}

// Tick updates the decision. informed tells whether this instance would learn of a roll-back,
// either from the store or from its peers. An uninformed instance still rolls back a bad target, but
// it starts no move and does not roll back at the deadline.
func (r *Rollout) Tick(now time.Time, informed bool) {
	if r.state.Final() || r.decision == RollBack {
		return
	}
	j, _ := r.Judgement(now)
	age := r.Age(now)
	switch {
	case j.Bad:
		r.rollBack(j.Reason)
	case r.decision == Move || age < r.schedule.earliestMove || !informed:
	case age < r.schedule.latestMove && r.goodEnough(now, &j):
		// Without endpoints of the baseline, to wait would only cost more requests.
		if r.endpoints.Baseline == 0 {
			r.move(now, 0, "no endpoint of the baseline; "+j.summary())
		} else if r.moveWithinBound(now) {
			r.move(now, 0, "good enough; "+j.summary())
		}
	case age >= r.order.Duration:
		r.rollBack("not proved in time")
	}
}

// counterEvidence reports whether there is too much evidence against the target to move to it. That
// holds too while the baseline has no endpoints: they may have crashed only a moment ago. A target
// that fails half of its requests is not moved to whatever the comparison says: with few answers of
// the baseline, its rate of failures may be nearly anything.
func (r *Rollout) counterEvidence(j *Judgement) bool {
	failsHalf := j.Failed > 0 && j.Failed >= j.Answered
	return r.paused || failsHalf || j.Compared && j.Evidence >= r.settings.MaxMoveEvidence
}

// goodEnough reports whether the target may get all requests.
func (r *Rollout) goodEnough(now time.Time, j *Judgement) bool {
	if r.endpoints.Target == 0 || r.counterEvidence(j) {
		return false
	}
	if j.Answered >= r.answersNeeded() {
		return true
	}
	// With little traffic a few answers are enough. Counts may also be low because all instances
	// restarted and lost them. So this instance must have counted for a while itself.
	return r.sent.total() <= r.settings.MinAnswers && now.Sub(r.countingSince) >= r.schedule.earliestMove/quietDivisor
}

// answersNeeded returns how many good answers the target needs before requests move to it. It needs more if
// those of the first part of the canary are lost: then the few that are left may not show that it is bad, and
// the others are not missing because there is little traffic.
func (r *Rollout) answersNeeded() uint64 {
	if r.knownSince().Sub(r.orderedAt) > r.schedule.earliestMove/quietDivisor {
		return r.settings.MinAnswersAfterLoss
	}
	return r.settings.MinAnswers
}

// quietDivisor: an instance takes a service for one with little traffic only after it has counted
// for 1/quietDivisor of the canary phase.
const quietDivisor = 2

// PendingState returns the state that is to be written to the store now. It returns false if there
// is nothing to write.
func (r *Rollout) PendingState(now time.Time) (State, bool) {
	switch {
	case r.state.Final():
		return r.state, false
	case r.decision == RollBack:
		return RolledBack, true
	case r.decision == Move && r.canComplete(now):
		return Completed, true
	}
	return Running, r.state == Ordered
}

// canComplete reports whether the baseline can be stopped. No request is left there, or there is no
// time left to wait for it. The target also has to stay within its exposure bound.
func (r *Rollout) canComplete(now time.Time) bool {
	if r.endpoints.Target == 0 || now.Sub(r.movingAt) < r.settings.Ramp+r.settings.MinDrain {
		return false
	}
	age := r.Age(now)
	if !r.completionWithinBound(now) {
		return false
	}
	return age >= r.schedule.earliestCompletion && r.undrainedTotal(now) == 0 || age >= r.schedule.latestCompletion
}
