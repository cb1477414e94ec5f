package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTeamConcurrencyFollowsFleetUsage(t *testing.T) {
	for name, c := range map[string]struct {
		fleet FleetUsage
		want  int
	}{
		"alone":                     {FleetUsage{1, 0, Usage{}}, 12},
		"others idle":               {FleetUsage{3, 2, Usage{}}, 12},
		"others use some":           {FleetUsage{3, 2, Usage{Running: 5}}, 7},
		"others use all":            {FleetUsage{3, 2, Usage{Running: 12}}, 4},
		"others use more than all":  {FleetUsage{3, 2, Usage{Running: 30}}, 4},
		"one not heard of":          {FleetUsage{3, 1, Usage{Running: 1}}, 7},
		"none heard of":             {FleetUsage{3, 0, Usage{}}, 4},
		"more members than permits": {FleetUsage{50, 49, Usage{Running: 12}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			team := &Team{}
			team.Configure(epoch, Quota{Concurrent: 12})
			team.SetFleetUsage(c.fleet)
			n := 0
			for ; team.Acquire(epoch) == nil; n++ {
			}
			assert.Equal(t, n, c.want)
			team.Release()
			assert.Assert(t, team.Acquire(epoch) == nil)
		})
	}
}

func TestTeamRateRefusalHasRetryAfter(t *testing.T) {
	team := &Team{}
	team.Configure(epoch, Quota{Rate: 10, Burst: 2})
	team.SetFleetUsage(FleetUsage{Members: 1})
	assert.Assert(t, team.Acquire(epoch) == nil)
	assert.Assert(t, team.Acquire(epoch) == nil)
	refusal := team.Acquire(epoch)
	assert.Equal(t, refusal.Reason, ReasonRate)
	assert.Equal(t, refusal.RetryAfter, 100*time.Millisecond)
	assert.Assert(t, team.Acquire(epoch.Add(refusal.RetryAfter)) == nil)
}

func TestTeamWithoutQuotaIsNotLimited(t *testing.T) {
	team := &Team{}
	for range 1000 {
		assert.Assert(t, team.Acquire(epoch) == nil)
	}
}

// TestFleetKeepsTeamRate runs instances that exchange their usage once a second.
func TestFleetKeepsTeamRate(t *testing.T) {
	const instances, rate = 9, 90.0
	teams := make([]*Team, instances)
	for i := range teams {
		teams[i] = &Team{}
		teams[i].Configure(epoch, Quota{Rate: rate, Burst: rate / instances})
	}
	admitted := 0
	const seconds = 30
	for ms := range seconds * 1000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms%1000 == 0 {
			exchangeUsage(now, teams)
		}
		// Nearly all callers use one instance, at almost three times the permitted rate.
		for i, team := range teams {
			if offers := i == 0 && ms%4 == 0 || ms%1000 == i; offers && team.Acquire(now) == nil {
				admitted++
				team.Release()
			}
		}
	}
	perSecond := float64(admitted) / seconds
	assert.Assert(t, perSecond > 0.8*rate && perSecond < 1.15*rate, "%.1f requests per second", perSecond)
}

func exchangeUsage(now time.Time, teams []*Team) {
	var sum Usage
	for _, t := range teams {
		u := t.Usage(now)
		sum.Running += u.Running
		sum.Rate += u.Rate
	}
	for _, t := range teams {
		u := t.Usage(now)
		t.SetFleetUsage(FleetUsage{len(teams), len(teams) - 1, Usage{Running: sum.Running - u.Running, Rate: sum.Rate - u.Rate}})
	}
}

func TestQueueAdmitsInClassOrder(t *testing.T) {
	q := &Queue{}
	q.SetCapacity(1)
	v, _ := q.Offer(1, Long, time.Minute)
	assert.Equal(t, v, Admitted)
	for id, class := range map[uint64]Class{10: Background, 11: Long, 12: Urgent, 13: Recovery} {
		if class == Recovery {
			q.running++ // the extra capacity for recoveries is in use too
		}
		v, _ := q.Offer(id, class, time.Minute)
		assert.Equal(t, v, Waiting, "class %d", class)
		if class == Recovery {
			q.running--
		}
	}
	var order []uint64
	for len(order) < 4 {
		order = append(order, q.Finish(time.Second)...)
	}
	assert.DeepEqual(t, order, []uint64{13, 12, 11, 10})
}

func TestQueueRefusesRequestsThatWouldWaitTooLong(t *testing.T) {
	q := &Queue{}
	q.SetCapacity(2)
	q.Offer(1, Long, 0)
	q.Offer(2, Long, 0)
	q.Finish(4 * time.Second) // sets the expected service time
	q.Offer(3, Long, 0)
	v, expected := q.Offer(4, Long, 8*time.Second)
	assert.Equal(t, v, Waiting)
	assert.Equal(t, expected, 2*time.Second)
	v, retry := q.Offer(5, Long, 8*time.Second)
	assert.Equal(t, v, Refused)
	assert.Equal(t, retry, 4*time.Second)
	v, _ = q.Offer(6, Urgent, 8*time.Second) // goes before the waiting request
	assert.Equal(t, v, Waiting)
	assert.Assert(t, q.Withdraw(4))
	assert.Assert(t, !q.Withdraw(4))
	assert.DeepEqual(t, q.Finish(4*time.Second), []uint64{6})
	assert.Equal(t, q.Waiting(), 0)
}

func TestQueueWithoutCapacityRefuses(t *testing.T) {
	q := &Queue{}
	v, retry := q.Offer(1, Urgent, time.Second)
	assert.Equal(t, v, Refused)
	assert.Assert(t, retry > 0)
	q.SetCapacity(1)
	v, _ = q.Offer(2, Urgent, time.Second)
	assert.Equal(t, v, Admitted)
}

func TestQueueAdmitsWhenCapacityRises(t *testing.T) {
	q := &Queue{}
	q.SetCapacity(1)
	q.Offer(1, Long, time.Minute)
	q.Offer(2, Long, time.Minute)
	q.Offer(3, Long, time.Minute)
	assert.DeepEqual(t, q.SetCapacity(2), []uint64{2})
	assert.Equal(t, q.Running(), 2)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget(0.1, 5)
	retries := 0
	for range 1000 {
		b.RecordRequest()
		if b.TryRetry() {
			retries++
		}
	}
	assert.Assert(t, retries >= 100 && retries <= 106, "%d retries", retries)
}

// TestQueueWaitIncludesExcessRequests: after the capacity fell, the requests in excess of it have
// to finish before another one is admitted. The expected wait includes them.
func TestQueueWaitIncludesExcessRequests(t *testing.T) {
	q := &Queue{}
	q.SetCapacity(8)
	for id := range uint64(8) {
		q.Offer(id, Long, 0)
	}
	q.Finish(time.Second)
	q.Offer(8, Long, 0)
	q.SetCapacity(4)
	v, retry := q.Offer(9, Long, time.Second)
	assert.Equal(t, v, Refused)
	assert.Equal(t, retry, 1250*time.Millisecond) // five have to finish, four at a time
}

// TestQueueUsesHintBeforeFirstFinish: before the first request has finished, the expected wait
// follows from the hinted service time.
func TestQueueUsesHintBeforeFirstFinish(t *testing.T) {
	q := &Queue{}
	q.SetCapacity(10)
	q.HintServiceTime(5 * time.Second)
	for id := range uint64(10) {
		q.Offer(id, Long, 0)
	}
	waiting := 0
	for id := range uint64(100) {
		if v, _ := q.Offer(100+id, Long, 4*time.Second); v == Waiting {
			waiting++
		}
	}
	assert.Equal(t, waiting, 2)
}
