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

func counter() func() uint64 {
	var n uint64
	return func() uint64 { n++; return n }
}

// store is the platform's object.
type store struct{ o Object }

func (s *store) write(w Write) (Result, Object) {
	if s.o.Version != w.IfVersion {
		return Conflict, Object{}
	}
	s.o = w.Object
	s.o.Version = w.IfVersion + 1
	return Done, s.o
}

// act carries out an action at once.
func act(s *store, h *Holder, now time.Time, a Action) {
	switch a := a.(type) {
	case Read:
		h.Seen(now, Done, s.o)
	case Write:
		r, o := s.write(a)
		h.Written(now, r, o)
	}
}

func until(s *store, h *Holder, now time.Time, want bool, most time.Duration) (time.Time, bool) {
	for end := now.Add(most); now.Before(end); now = now.Add(100 * time.Millisecond) {
		act(s, h, now, h.Tick(now))
		if _, ok := h.Valid(now); ok == want {
			return now, true
		}
	}
	return now, false
}

func TestAcquireRenewAndPassOn(t *testing.T) {
	s := &store{}
	a, b := New(DefaultSettings(), "a", counter()), New(DefaultSettings(), "b", counter())
	now, ok := until(s, a, epoch, true, time.Second)
	assert.Assert(t, ok)
	first, _ := a.Valid(now)
	for range 600 { // a minute: a renews, b looks on
		now = now.Add(100 * time.Millisecond)
		act(s, a, now, a.Tick(now))
		act(s, b, now, b.Tick(now))
		_, held := a.Valid(now)
		assert.Assert(t, held)
		_, held = b.Valid(now)
		assert.Assert(t, !held)
	}
	// a is paused; b takes over once it has seen the lease unchanged for its time to live.
	died := now
	now, ok = until(s, b, now, true, time.Minute)
	assert.Assert(t, ok)
	assert.Assert(t, now.Sub(died) <= 14*time.Second, "%v", now.Sub(died))
	fence, _ := b.Valid(now)
	assert.Assert(t, fence > first)
	_, held := a.Valid(now) // a wakes
	assert.Assert(t, !held)
	act(s, a, now, a.Tick(now)) // and tries to renew
	act(s, a, now, a.Tick(now))
	_, held = a.Valid(now)
	assert.Assert(t, !held)
}

func TestReleaseIsTakenAtOnce(t *testing.T) {
	s := &store{}
	a, b := New(DefaultSettings(), "a", counter()), New(DefaultSettings(), "b", counter())
	now, _ := until(s, a, epoch, true, time.Second)
	act(s, a, now, a.Release(now))
	_, held := a.Valid(now)
	assert.Assert(t, !held)
	_, ok := until(s, b, now, true, time.Second)
	assert.Assert(t, ok)
}

func TestLostAnswers(t *testing.T) {
	for name, effect := range map[string]bool{"took effect": true, "had none": false} {
		t.Run(name, func(t *testing.T) {
			s := &store{}
			h := New(DefaultSettings(), "a", counter())
			act(s, h, epoch, h.Tick(epoch)) // reads
			w := h.Tick(epoch).(Write)
			if effect {
				s.write(w)
			}
			late := epoch.Add(3 * time.Second)
			h.Written(late, Uncertain, Object{})
			_, held := h.Valid(late)
			assert.Assert(t, !held, "not before it is known")
			_, ok := until(s, h, late, true, 5*time.Second)
			assert.Assert(t, ok)
			if effect {
				// Valid from before the write was sent, not from when it was found.
				_, held = h.Valid(epoch.Add(8 * time.Second))
				assert.Assert(t, !held)
			}
		})
	}
}

func TestOutageEndsTheLease(t *testing.T) {
	s := &store{}
	h := New(DefaultSettings(), "a", counter())
	now, _ := until(s, h, epoch, true, time.Second)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		switch h.Tick(now).(type) {
		case Read:
			h.Seen(now, Unavailable, Object{})
		case Write:
			h.Written(now, Unavailable, Object{})
		}
	}
	_, held := h.Valid(now)
	assert.Assert(t, !held)
	_, ok := until(s, h, now, true, 15*time.Second)
	assert.Assert(t, ok, "and it is taken again afterwards")
}

// TestNeverTwoHolders lets calls take any time, answers be lost and holders be paused.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		type call struct {
			h      int
			act    Action
			effect bool // carried out at the platform
			result Result
			object Object
		}
		nonce := counter()
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
					t.Fatalf("%d and %d have fence %d", other, i, fence)
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
				holders[c.h].Written(now, Uncertain, Object{})
			case isWrite:
				holders[c.h].Written(now, c.result, c.object)
			case lost:
				holders[c.h].Seen(now, Unavailable, Object{})
			default:
				holders[c.h].Seen(now, c.result, c.object)
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

func want(version string, replicas int) Want {
	return Want{Deployment: "d", Group: "g", Model: Model{Name: "m", Version: version}, Replicas: replicas, Version: 7}
}

// rollOut carries orders out until there are none, loading for the time given.
func rollOut(p *Planner, wants []Want, es []Engine, load time.Duration) (orders int, most int) {
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
		most = max(most, len(done))
		if o, ok := p.Next(now, wants, es); ok {
			orders++
			p.Given(now, o)
			done[o.Engine], models[o.Engine] = now.Add(load), o.Models
		}
	}
	return orders, most
}

func TestRollOutReachesTheReplicasAndIsSpaced(t *testing.T) {
	es := engines(9)
	orders, most := rollOut(NewPlanner(DefaultPace()), []Want{want("1", 6)}, es, 5*time.Second)
	assert.Equal(t, orders, 6)
	assert.Equal(t, most, 4)
	byCentre := map[string]int{}
	for _, e := range es {
		if len(e.Models) > 0 {
			byCentre[e.DataCentre]++
		}
	}
	assert.DeepEqual(t, byCentre, map[string]int{"dc0": 2, "dc1": 2, "dc2": 2})
}

func TestNewVersionReplacesTheOldAndKeepsOthers(t *testing.T) {
	other := Want{Deployment: "o", Group: "g", Model: Model{Name: "other", Version: "3"}, Replicas: 3}
	es := engines(3, Model{Name: "m", Version: "1"}, Model{Name: "other", Version: "3"})
	orders, _ := rollOut(NewPlanner(DefaultPace()), []Want{want("2", 3), other}, es, time.Second)
	assert.Equal(t, orders, 3)
	for _, e := range es {
		assert.DeepEqual(t, e.Models, []Model{{Name: "m", Version: "2"}, {Name: "other", Version: "3"}})
	}
}

func TestNothingToDo(t *testing.T) {
	orders, _ := rollOut(NewPlanner(DefaultPace()), []Want{want("1", 3), want("1", 0)}, engines(3, Model{Name: "m", Version: "1"}), time.Second)
	assert.Equal(t, orders, 0)
	orders, _ = rollOut(NewPlanner(DefaultPace()), []Want{want("1", 5)}, engines(2), time.Second)
	assert.Equal(t, orders, 2, "no more than there are")
	orders, _ = rollOut(NewPlanner(DefaultPace()), []Want{{Deployment: "d", Group: "elsewhere", Model: Model{Name: "m"}, Replicas: 1}}, engines(2), time.Second)
	assert.Equal(t, orders, 0)
}

func TestOrderThatIsNotCarriedOutIsGivenAgain(t *testing.T) {
	p := NewPlanner(DefaultPace())
	es := engines(1)
	o, ok := p.Next(epoch, []Want{want("1", 1)}, es)
	assert.Assert(t, ok)
	p.Given(epoch, o)
	_, ok = p.Next(epoch.Add(time.Minute), []Want{want("1", 1)}, es)
	assert.Assert(t, !ok)
	_, ok = p.Next(epoch.Add(2*time.Minute), []Want{want("1", 1)}, es)
	assert.Assert(t, ok)
}

// TestRolesAreTakenAndNotRobbed: two deployments want the same model in two roles; each
// gets its engines, and none is turned back and forth.
func TestRolesAreTakenAndNotRobbed(t *testing.T) {
	prefill, decode := want("1", 2), want("1", 3)
	prefill.Role, decode.Role, decode.Deployment = "prefill", "decode", "other"
	es := engines(6, Model{Name: "m", Version: "1"})
	p, now, orders := NewPlanner(DefaultPace()), epoch, 0
	for range 200 {
		now = now.Add(time.Second)
		o, ok := p.Next(now, []Want{prefill, decode}, es)
		if !ok {
			continue
		}
		orders++
		p.Given(now, o)
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
