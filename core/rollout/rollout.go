package rollout

import (
	"time"
)

// Decision is what instances have decided about an order.
type Decision uint8

// Decisions, each of which replaces those before.
const (
	// Undecided orders are in their canary phase.
	Undecided Decision = iota
	// Move: requests move to the target.
	Move
	// RollBack: nothing more goes to the target.
	RollBack
)

// String returns the decision's name.
func (d Decision) String() string { return [...]string{"canary", "move", "roll_back"}[d] }

// Rollout is one order, as an instance sees it.

type Rollout struct {
	set   Settings
	order Order
	self  string // data centre of this instance
	plan  schedule
	// given is when the order was given, on this instance's clock, and began when this instance began to count.
	given    time.Time
	began    time.Time
	state    State
	decision Decision
	why      string
	movingAt time.Time
	// left is this instance's own [Report.Left].
	left      int
	own       Tally
	instances map[string]*received
	sums      map[string]*received
	// total, sent and judgement are kept until something changes.
	total     Tally
	sent      volume
	judgement Judgement
	judgedAt  time.Time
	dirty     bool
	// held is set once the target has failed so much that its canary pauses.
	held bool
	// manyAt is when the target had answered [Settings.ManyAnswers] requests; zero before.
	manyAt time.Time
	// past are earlier totals, the oldest first.
	past      []snapshot
	endpoints Endpoints
}

// Endpoints is how many endpoints of each arm take requests.
type Endpoints struct{ Baseline, Target int }

// New returns an order that was given some time ago. dataCentre is that of this instance.
func New(s Settings, o Order, now time.Time, age time.Duration, dataCentre string) *Rollout {
	return &Rollout{
		set: s, order: o, self: dataCentre, plan: s.schedule(o.Duration, 0), given: now.Add(-age), began: now,
		own: Tally{}, instances: map[string]*received{}, sums: map[string]*received{}, dirty: true,
	}
}

// Order returns the order.
func (r *Rollout) Order() Order { return r.order }

// State returns the order's state in the store.
func (r *Rollout) State() State { return r.state }

// Decision returns what is decided, and why where the target is rolled back.
func (r *Rollout) Decision() (Decision, string) { return r.decision, r.why }

// Age returns the time since the order was given.
func (r *Rollout) Age(now time.Time) time.Duration { return now.Sub(r.given) }

// Moving tells whether requests move to the target.
func (r *Rollout) Moving() bool { return r.decision == Move }

// SetEndpoints says how many endpoints of each arm take requests.
func (r *Rollout) SetEndpoints(e Endpoints) { r.endpoints = e }

// SetSettle says how long requests at the baseline usually take until they end or can go on at the target.
func (r *Rollout) SetSettle(d time.Duration) { r.plan = r.set.schedule(r.order.Duration, d) }

// SetLeft says how many requests of this instance are at the baseline that can't go on at the target.
func (r *Rollout) SetLeft(n int) { r.left = n }

// Own returns the counts of this instance, to be added to.
func (r *Rollout) Own(c Cell) *Counts {
	c.Moving = r.Moving()
	r.dirty = true
	return r.own.At(c)
}

// SetState takes the order's state from the store. A final one never turns.
func (r *Rollout) SetState(s State) {
	if r.state.Final() || s < r.state {
		return
	}
	r.state = s
	if s == RolledBack {
		r.rollBack("rolled back in the store")
	}
}

func (r *Rollout) rollBack(why string) {
	if r.decision != RollBack {
		r.decision, r.why = RollBack, why
	}
}

func (r *Rollout) move(now time.Time, since time.Duration) {
	if r.decision == Undecided {
		r.decision, r.movingAt = Move, now.Add(-since)
	}
}

// UsualMost returns the time that all but a share of the baseline's requests take to the answer; 0 where that is not known.
func (r *Rollout) UsualMost(now time.Time, share float64) time.Duration {
	_, t := r.Judgement(now)
	sum := Histogram{}
	for cell, n := range t {
		if cell.Arm == Baseline {
			sum.add(&n.First)
		}
	}
	if sum.Total() == 0 {
		return 0
	}
	return upperOf(sum.tail(share))
}

// judgeEvery is the least time between two judgements.
const judgeEvery = 100 * time.Millisecond

// A target that turns bad after a long time shows in its late requests first.
const (
	// lately is how far back late requests go, at least.
	lately = 4 * time.Second
	// snapshotEvery is the time between two snapshots.
	snapshotEvery = time.Second
)

// snapshot is the total at an earlier time.
type snapshot struct {
	at    time.Time
	tally Tally
	all   uint64 // requests of both arms
}

// Judgement returns what is known of the target, from all its requests or the late ones, whichever speak more against it.
func (r *Rollout) Judgement(now time.Time) (Judgement, Tally) {
	if r.total != nil && (!r.dirty || now.Sub(r.judgedAt) < judgeEvery) {
		return r.judgement, r.total
	}
	r.total = r.totals()
	r.sent = r.total.volume()
	r.judgement = r.set.judge(r.total, r.set.Judge)
	if past := r.before(now.Add(-lately)); past != nil {
		late := r.set.judge(r.total.since(past), r.set.Judge.forLooks(int(r.order.Duration/lately)))
		if late.Evidence-late.Needed > r.judgement.Evidence-r.judgement.Needed {
			late.Answered, late.Failed = r.judgement.Answered, r.judgement.Failed
			late.Excess = max(late.Excess, r.judgement.Excess)
			r.judgement = late
		}
		r.judgement.Excess = max(r.judgement.Excess, late.Excess)
	}
	r.judgedAt, r.dirty = now, false
	r.remember(now)
	return r.judgement, r.total
}

// before returns the newest snapshot that is as old as a time; nil when there is none.
func (r *Rollout) before(at time.Time) Tally {
	var found Tally
	for i := range r.past {
		if !r.past[i].at.After(at) {
			found = r.past[i].tally
		}
	}
	return found
}

// remember keeps a snapshot, and drops those that are older than needed.
func (r *Rollout) remember(now time.Time) {
	if n := len(r.past); n > 0 && now.Sub(r.past[n-1].at) < snapshotEvery {
		return
	}
	r.past = append(r.past, snapshot{now, r.total, r.sent.all()})
	for len(r.past) > 1 && now.Sub(r.past[1].at) >= lately {
		r.past = r.past[1:]
	}
}

// Tick brings decisions up to date. informed tells that this instance would know of a roll-back: it hears the store or the others.
func (r *Rollout) Tick(now time.Time, informed bool) {
	if r.state.Final() || r.decision == RollBack {
		return
	}
	j, _ := r.Judgement(now)
	age := r.Age(now)
	switch {
	case j.Bad:
		r.rollBack(j.Why)
	case r.decision == Move || age < r.plan.move || !informed:
	case r.endpoints.Target > 0 && r.endpoints.Baseline == 0:
		r.move(now, 0) // there is nothing to move, and nothing to go back to
	case age < r.plan.lastMove && r.proved(now, &j):
		if r.affordsMove(now) {
			r.move(now, 0)
		}
	case age >= r.order.Duration:
		r.rollBack("not proved in time")
	}
}

// proved tells whether a target is good enough for all requests.
func (r *Rollout) proved(now time.Time, j *Judgement) bool {
	if r.held || r.endpoints.Target == 0 || j.Compared && j.Evidence >= r.set.Unsure {
		return false
	}
	if j.Answered >= r.set.MinAnswers {
		return true
	}
	// A quiet service moves on few answers, unless they may be few since the counts were lost with all instances.
	return r.sent.all() <= r.set.MinAnswers && now.Sub(r.began) >= r.plan.move/quietParts
}

// quietParts: a service is known to be quiet after one part in so many of a canary.
const quietParts = 2

// Due returns the state that is to be written to the store now.
func (r *Rollout) Due(now time.Time) (State, bool) {
	switch {
	case r.state.Final():
		return r.state, false
	case r.decision == RollBack:
		return RolledBack, true
	case r.decision == Move && r.settled(now):
		return Completed, true
	}
	return Running, r.state == Ordered
}

// settled tells whether the baseline can be stopped: nothing is left there, or there is no time left.
func (r *Rollout) settled(now time.Time) bool {
	if r.endpoints.Target == 0 || now.Sub(r.movingAt) < r.set.Ramp+r.set.Settle {
		return false
	}
	age := r.Age(now)
	if !r.affordsCompletion(now) {
		return false
	}
	return age >= r.plan.complete && r.leftEverywhere(now) == 0 || age >= r.plan.last
}
