package lease

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateway/agateway/core/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m)) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func nonceCounter() func() uint64 {
	var n uint64
	return func() uint64 { n++; return n }
}

// store is the platform's copy of the lease's object.
type store struct{ o Object }

func (s *store) write(w Write) (Result, Object) {
	if s.o.Version != w.IfVersion {
		return Conflict, Object{}
	}
	s.o = w.Object
	s.o.Version = w.IfVersion + 1
	return Done, s.o
}

// perform carries out an action and reports its outcome at once.
func perform(s *store, h *Holder, now time.Time, a Action) {
	switch a := a.(type) {
	case Read:
		h.ReportRead(now, Done, s.o)
	case Write:
		r, o := s.write(a)
		h.ReportWrite(now, r, o)
	}
}

// tickUntil advances the time in steps of 100 ms until the holder's validity is want. It returns
// false when that takes longer than timeout.
func tickUntil(s *store, h *Holder, now time.Time, want bool, timeout time.Duration) (time.Time, bool) {
	for end := now.Add(timeout); now.Before(end); now = now.Add(100 * time.Millisecond) {
		perform(s, h, now, h.Tick(now))
		if _, ok := h.Valid(now); ok == want {
			return now, true
		}
	}
	return now, false
}

// A holder that is paused must not consider its lease valid once another instance may have acquired
// it, and must not renew it.
func TestAcquireRenewAndTakeOver(t *testing.T) {
	s := &store{}
	a, b := New(DefaultSettings(), "a", nonceCounter()), New(DefaultSettings(), "b", nonceCounter())
	now, ok := tickUntil(s, a, epoch, true, time.Second)
	assert.Assert(t, ok)
	first, _ := a.Valid(now)
	for range 600 { // for a minute, a renews and b observes
		now = now.Add(100 * time.Millisecond)
		perform(s, a, now, a.Tick(now))
		perform(s, b, now, b.Tick(now))
		_, held := a.Valid(now)
		assert.Assert(t, held)
		_, held = b.Valid(now)
		assert.Assert(t, !held)
	}
	// a is paused; b acquires the lease after seeing it unchanged for its time to live.
	died := now
	now, ok = tickUntil(s, b, now, true, time.Minute)
	assert.Assert(t, ok)
	assert.Assert(t, now.Sub(died) <= 14*time.Second, "%v", now.Sub(died))
	fence, _ := b.Valid(now)
	assert.Assert(t, fence > first)
	_, held := a.Valid(now) // a resumes
	assert.Assert(t, !held)
	perform(s, a, now, a.Tick(now)) // and tries to renew
	perform(s, a, now, a.Tick(now))
	_, held = a.Valid(now)
	assert.Assert(t, !held)
}

// A released lease is acquired without waiting for its time to live.
func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	s := &store{}
	a, b := New(DefaultSettings(), "a", nonceCounter()), New(DefaultSettings(), "b", nonceCounter())
	now, _ := tickUntil(s, a, epoch, true, time.Second)
	perform(s, a, now, a.Release(now))
	_, held := a.Valid(now)
	assert.Assert(t, !held)
	_, ok := tickUntil(s, b, now, true, time.Second)
	assert.Assert(t, ok)
}

// When the answer to a write is lost, the lease must not count as held before a read shows whose
// write took effect. It is then valid from before the write was sent.
func TestLostWriteAnswers(t *testing.T) {
	for name, effect := range map[string]bool{"took effect": true, "had none": false} {
		t.Run(name, func(t *testing.T) {
			s := &store{}
			h := New(DefaultSettings(), "a", nonceCounter())
			perform(s, h, epoch, h.Tick(epoch)) // reads
			w := h.Tick(epoch).(Write)
			if effect {
				s.write(w)
			}
			late := epoch.Add(3 * time.Second)
			h.ReportWrite(late, Uncertain, Object{})
			_, held := h.Valid(late)
			assert.Assert(t, !held, "held before the outcome is known")
			_, ok := tickUntil(s, h, late, true, 5*time.Second)
			assert.Assert(t, ok)
			if effect {
				// Valid from before the write was sent, not from when it was found.
				_, held = h.Valid(epoch.Add(8 * time.Second))
				assert.Assert(t, !held)
			}
		})
	}
}

// A holder that can't renew during an outage must stop giving orders, and acquires the lease again
// afterwards.
func TestOutageEndsTheLease(t *testing.T) {
	s := &store{}
	h := New(DefaultSettings(), "a", nonceCounter())
	now, _ := tickUntil(s, h, epoch, true, time.Second)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		switch h.Tick(now).(type) {
		case Read:
			h.ReportRead(now, Unavailable, Object{})
		case Write:
			h.ReportWrite(now, Unavailable, Object{})
		}
	}
	_, held := h.Valid(now)
	assert.Assert(t, !held)
	_, ok := tickUntil(s, h, now, true, 15*time.Second)
	assert.Assert(t, ok, "not acquired again after the outage")
}

// Two valid holders at once would give conflicting orders. Calls take any time, answers are lost
// and holders are paused in random order; at most one holder may be valid, and no two may use the
// same fencing number.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		type call struct {
			h      int
			act    Action
			effect bool // the platform has carried it out
			result Result
			object Object
		}
		nonce := nonceCounter()
		holders := make([]*Holder, 3)
		for i := range holders {
			holders[i] = New(DefaultSettings(), fmt.Sprint(i), nonce)
		}
		paused := map[int]time.Time{}
		fences := map[uint64]int{}
		var calls []call
		now := epoch
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			valid := -1
			for i, h := range holders {
				fence, ok := h.Valid(now)
				if !ok {
					continue
				}
				if valid >= 0 {
					t.Fatalf("%d and %d hold the lease", valid, i)
				}
				valid = i
				if other, seen := fences[fence]; seen && other != i {
					t.Fatalf("%d and %d have the same fencing number %d", other, i, fence)
				}
				fences[fence] = i
			}
			i := rapid.IntRange(0, 2).Draw(t, "holder")
			if rapid.IntRange(0, 19).Draw(t, "pause") == 0 {
				paused[i] = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			}
			if now.After(paused[i]) {
				if a := holders[i].Tick(now); a != nil {
					calls = append(calls, call{h: i, act: a})
				}
			}
			if len(calls) == 0 {
				continue
			}
			n := rapid.IntRange(0, len(calls)-1).Draw(t, "call")
			c := &calls[n]
			if !c.effect {
				c.effect = true
				switch a := c.act.(type) {
				case Read:
					c.result, c.object = Done, s.o
				case Write:
					c.result, c.object = s.write(a)
				}
				continue
			}
			if !now.After(paused[c.h]) {
				continue
			}
			_, isWrite := c.act.(Write)
			lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
			switch {
			case isWrite && lost:
				holders[c.h].ReportWrite(now, Uncertain, Object{})
			case isWrite:
				holders[c.h].ReportWrite(now, c.result, c.object)
			case lost:
				holders[c.h].ReportRead(now, Unavailable, Object{})
			default:
				holders[c.h].ReportRead(now, c.result, c.object)
			}
			calls = append(calls[:n], calls[n+1:]...)
		}
	})
}

func engines(n int, models ...Model) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{ID: fmt.Sprint("e", i), Group: "g", DataCentre: fmt.Sprint("dc", i%3), Models: models}
	}
	return out
}

func spec(version string, replicas int) DeploymentSpec {
	return DeploymentSpec{Deployment: "d", Group: "g", Model: Model{Name: "m", Version: version}, Replicas: replicas, Version: 7}
}

// runPlanner lets the planner give orders for 300 s, and lets each engine carry an order out after
// loadTime. It returns the number of orders and the largest number of engines loading at once.
func runPlanner(p *Planner, specs []DeploymentSpec, es []Engine, loadTime time.Duration) (orders int, maxLoading int) {
	now := epoch
	done := map[string]time.Time{}
	models := map[string][]Model{}
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		for i := range es {
			if at, ok := done[es[i].ID]; ok && !now.Before(at) {
				es[i].Models = models[es[i].ID]
				delete(done, es[i].ID)
			}
		}
		maxLoading = max(maxLoading, len(done))
		if o, ok := p.Next(now, specs, es); ok {
			orders++
			p.Accepted(now, o)
			done[o.Engine], models[o.Engine] = now.Add(loadTime), o.Models
		}
	}
	return orders, maxLoading
}

// The planner loads as many replicas as required, spread over data centres, without exceeding
// MaxParallel.
func TestPlannerReachesReplicasWithinParallelLimit(t *testing.T) {
	es := engines(9)
	orders, maxLoading := runPlanner(NewPlanner(DefaultPlannerSettings()), []DeploymentSpec{spec("1", 6)}, es, 5*time.Second)
	assert.Equal(t, orders, 6)
	assert.Equal(t, maxLoading, 4)
	servingIn := map[string]int{}
	for _, e := range es {
		if len(e.Models) > 0 {
			servingIn[e.DataCentre]++
		}
	}
	assert.DeepEqual(t, servingIn, map[string]int{"dc0": 2, "dc1": 2, "dc2": 2})
}

// A new version of a model replaces the old one and leaves models of other deployments loaded.
func TestNewVersionReplacesOldAndKeepsOtherModels(t *testing.T) {
	other := DeploymentSpec{Deployment: "o", Group: "g", Model: Model{Name: "other", Version: "3"}, Replicas: 3}
	es := engines(3, Model{Name: "m", Version: "1"}, Model{Name: "other", Version: "3"})
	orders, _ := runPlanner(NewPlanner(DefaultPlannerSettings()), []DeploymentSpec{spec("2", 3), other}, es, time.Second)
	assert.Equal(t, orders, 3)
	for _, e := range es {
		assert.DeepEqual(t, e.Models, []Model{{Name: "m", Version: "2"}, {Name: "other", Version: "3"}})
	}
}

// No order is given when the replicas exist already, beyond the engines that exist, or for a group
// without engines.
func TestOrdersAreBoundedBySpecsAndEngines(t *testing.T) {
	orders, _ := runPlanner(NewPlanner(DefaultPlannerSettings()), []DeploymentSpec{spec("1", 3), spec("1", 0)}, engines(3, Model{Name: "m", Version: "1"}), time.Second)
	assert.Equal(t, orders, 0)
	orders, _ = runPlanner(NewPlanner(DefaultPlannerSettings()), []DeploymentSpec{spec("1", 5)}, engines(2), time.Second)
	assert.Equal(t, orders, 2, "more orders than engines")
	orders, _ = runPlanner(NewPlanner(DefaultPlannerSettings()), []DeploymentSpec{{Deployment: "d", Group: "elsewhere", Model: Model{Name: "m"}, Replicas: 1}}, engines(2), time.Second)
	assert.Equal(t, orders, 0)
}

// An order that an engine accepted and did not carry out is given again after OrderTimeout, and not
// before.
func TestOrderIsRepeatedAfterTimeout(t *testing.T) {
	p := NewPlanner(DefaultPlannerSettings())
	es := engines(1)
	o, ok := p.Next(epoch, []DeploymentSpec{spec("1", 1)}, es)
	assert.Assert(t, ok)
	p.Accepted(epoch, o)
	_, ok = p.Next(epoch.Add(time.Minute), []DeploymentSpec{spec("1", 1)}, es)
	assert.Assert(t, !ok)
	_, ok = p.Next(epoch.Add(2*time.Minute), []DeploymentSpec{spec("1", 1)}, es)
	assert.Assert(t, ok)
}

// Two deployments require the same model in two roles. Each must get its engines; taking them from
// each other would change roles forever.
func TestEnginesDoNotAlternateBetweenRoles(t *testing.T) {
	prefill, decode := spec("1", 2), spec("1", 3)
	prefill.Role, decode.Role, decode.Deployment = "prefill", "decode", "other"
	es := engines(6, Model{Name: "m", Version: "1"})
	p, now, orders := NewPlanner(DefaultPlannerSettings()), epoch, 0
	for range 200 {
		now = now.Add(time.Second)
		o, ok := p.Next(now, []DeploymentSpec{prefill, decode}, es)
		if !ok {
			continue
		}
		orders++
		p.Accepted(now, o)
		for i := range es {
			if es[i].ID == o.Engine {
				es[i].Models, es[i].Role = o.Models, o.Role
			}
		}
	}
	roles := map[string]int{}
	for _, e := range es {
		roles[e.Role]++
	}
	assert.DeepEqual(t, roles, map[string]int{"prefill": 2, "decode": 3, "": 1})
	assert.Equal(t, orders, 5)
}

// TestLeaseAcrossReturn: the store returns from a copy of before a lease, or with the lease in an earlier state
// that was released. Another instance waits until the holder is certainly not valid any more, and its fencing
// numbers are higher than all of before.
func TestLeaseAcrossReturn(t *testing.T) {
	for name, stored := range map[string]Object{"no lease": {Era: 2}, "released": {Era: 2, Version: 3, Holder: "a", Released: true}, "of the holder": {Era: 2, Version: 2, Holder: "a"}} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_000_000, 0)
			set := DefaultSettings()
			h := New(set, "b", func() uint64 { return 7 })
			h.ReportRead(start, Done, Object{Era: 1, Version: 9, Holder: "a", Nonce: 1})
			returned := start.Add(time.Second)
			h.ReportRead(returned, Done, stored)
			for now := returned; now.Before(returned.Add(set.TTL)); now = now.Add(200 * time.Millisecond) {
				if w, ok := h.Tick(now).(Write); ok {
					t.Fatalf("acquires the lease %v after the return: %+v", now.Sub(returned), w)
				}
				h.ReportRead(now, Done, stored)
			}
			now := returned.Add(set.TTL)
			h.ReportRead(now, Done, stored)
			w, ok := h.Tick(now.Add(set.CheckInterval)).(Write)
			assert.Assert(t, ok, "does not acquire the lease after its time")
			w.Object.Era, w.Object.Version = 2, w.IfVersion+1
			h.ReportWrite(now.Add(set.CheckInterval), Done, w.Object)
			fence, valid := h.Valid(now.Add(set.CheckInterval))
			assert.Assert(t, valid && fence > 1<<versionBits|9, "fence %d", fence)
		})
	}
}
