package crashers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// promptRequest returns a request of a team with content of its own and parts of its prompt.
func promptRequest(team string, n int, parts ...uint64) Request {
	return NewRequest(request(team, n), parts)
}

const (
	base, fatal, other, rare = 0xaa, 0xbad, 0xca, 0xda
)

// TestPartVerdicts checks how requests may be sent after crashes under requests that share parts of their
// prompts. A part is stopped after three crashes under different requests, and nothing wider than the part is.
func TestPartVerdicts(t *testing.T) {
	type step struct {
		n        int // content of the request
		team     string
		parts    []uint64
		endpoint string
		phase    Phase
		answered bool
	}
	// fatalAt is the crash of a further request with the fatal part.
	fatalAt := func(n int, phase Phase) step {
		return step{n: n, parts: []uint64{base, fatal}, endpoint: fmt.Sprint("e", n), phase: phase}
	}
	answered := func(n int, parts ...uint64) step { return step{n: n, parts: parts, answered: true} }
	three := []step{fatalAt(1, Begun), fatalAt(2, Begun), fatalAt(3, Begun)}
	of := func(steps ...[]step) (all []step) {
		for _, s := range steps {
			all = append(all, s...)
		}
		return all
	}
	sound, bad := []uint64{base, other}, []uint64{base, fatal}
	// stopped are the crashes that stop the fatal part for a team.
	stopped := func(team string) (all []step) {
		for n := range 3 {
			all = append(all, step{n: n, team: team, parts: []uint64{base, fatal}, endpoint: fmt.Sprint(team, n), phase: Begun})
		}
		return all
	}
	for _, c := range []struct {
		name       string
		steps      []step
		sound, bad Verdict // of a further request with these parts
	}{
		{"of two other teams", of(stopped("field"), stopped("night")), Free, Stopped},
		{"of two other teams, answered for one of them", of(stopped("field"), stopped("night"), []step{{n: 9, team: "night", parts: []uint64{base, fatal}, answered: true}}), Free, Free},
		{"of two other teams, answered for this one", of([]step{answered(9, base, fatal)}, stopped("field"), stopped("night")), Free, Free},
		{"one crash", three[:1], Suspect, Suspect},
		{"two crashes", three[:2], Suspect, Suspect},
		{"three, another part may be the cause", three, Careful, Stopped},
		{"three, the other part is answered", of(three, []step{answered(9, base, other)}), Free, Stopped},
		{"the other part is answered in between", of(three[:2], []step{answered(9, base)}, three[2:]), Suspect, Stopped},
		{"five, the other part is answered before", of([]step{answered(9, base)}, three, []step{fatalAt(4, Begun), fatalAt(5, Begun)}), Careful, Stopped},
		{"a bystander had begun where the head of the fatal answer was lost", of(three, []step{
			fatalAt(4, Present), {n: 5, parts: []uint64{base, other}, endpoint: "e4", phase: Begun},
		}), Careful, Stopped},
		{"the fatal part is answered", of(three, []step{answered(9, fatal)}), Stopped, Stopped},
		{"after some events", []step{fatalAt(1, Present), fatalAt(2, Present), fatalAt(3, Present)}, Careful, Stopped},
		{"late", []step{fatalAt(1, Late), fatalAt(2, Late), fatalAt(3, Late), fatalAt(4, Late)}, Suspect, Suspect},
		{"five late", []step{fatalAt(1, Late), fatalAt(2, Late), fatalAt(3, Late), fatalAt(4, Late), fatalAt(5, Late)}, Careful, Stopped},
		{"repeats of one request", []step{
			{n: 1, parts: bad, endpoint: "a", phase: Begun}, {n: 1, parts: bad, endpoint: "b", phase: Begun}, {n: 1, parts: bad, endpoint: "c", phase: Begun},
		}, Careful, Careful},
		{"repeats of one request, and another one", []step{
			{n: 1, parts: bad, endpoint: "a", phase: Begun}, {n: 1, parts: bad, endpoint: "b", phase: Begun}, {n: 1, parts: bad, endpoint: "c", phase: Begun},
			fatalAt(2, Begun),
		}, Careful, Stopped},
		{"the other part crashes an engine alone", of(three, []step{
			{n: 4, parts: sound, endpoint: "x", phase: Begun},
		}), Stopped, Stopped},
		{"of another team", []step{
			{n: 1, team: "field", parts: bad, endpoint: "a", phase: Begun}, {n: 2, team: "field", parts: bad, endpoint: "b", phase: Begun},
			{n: 3, team: "field", parts: bad, endpoint: "c", phase: Begun},
		}, Free, Free},
		{"of another team and once of this one", []step{
			{n: 1, team: "field", parts: []uint64{fatal}, endpoint: "a", phase: Begun}, {n: 2, team: "field", parts: []uint64{fatal}, endpoint: "b", phase: Begun},
			{n: 3, team: "field", parts: []uint64{fatal}, endpoint: "c", phase: Begun}, answered(9, base), fatalAt(4, Begun), answered(10, base),
		}, Free, Stopped},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, now := New(DefaultSettings()), 0
			for _, s := range c.steps {
				if s.team == "" {
					s.team = "desk"
				}
				req := promptRequest(s.team, s.n, s.parts...)
				if now += 1000; s.answered {
					r.Answered(at(now), &req)
					continue
				}
				r.RecordCrash(at(now), req, crash(s.endpoint, s.phase, now-900, now))
			}
			for parts, want := range map[*[]uint64]Verdict{&sound: c.sound, &bad: c.bad} {
				req := promptRequest("desk", 100, *parts...)
				assert.Check(t, r.Decide(at(now+100), &req, "engines").Verdict == want, "%x: %v, not %v", *parts, r.Decide(at(now+100), &req, "engines").Verdict, want)
			}
		})
	}
}

// TestBystandersPartsAreNotStopped crashes engines under requests with a fatal part, each beside requests with
// rare parts that have begun longer ago. No part of theirs is stopped, however often they share the engine.
func TestBystandersPartsAreNotStopped(t *testing.T) {
	r := New(DefaultSettings())
	for n := range 8 {
		now := at(1000 * (n + 1))
		bystander := promptRequest("desk", 100+n, base, rare)
		r.RecordCrash(now, bystander, crash(fmt.Sprint("e", n), Present, 1000*n, 1000*(n+1)))
		r.RecordCrash(now, promptRequest("desk", n, base, fatal), crash(fmt.Sprint("e", n), Begun, 1000*n, 1000*(n+1)))
		sound := promptRequest("desk", 200+n, base)
		r.Answered(now.Add(100*time.Millisecond), &sound)
	}
	req := promptRequest("desk", 300, base, rare)
	assert.Assert(t, r.Decide(at(8500), &req, "engines").Verdict < Careful)
}

// TestTrialTellsPartsApart checks that of the requests with a part that may be innocent one is tried at a time,
// that its answer frees the others, and that its crash stops them.
func TestTrialTellsPartsApart(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		r := New(DefaultSettings())
		for n := range 3 {
			r.RecordCrash(at(1000*n), promptRequest("desk", n, base, fatal), crash(fmt.Sprint("e", n), Begun, 1000*n-900, 1000*n))
		}
		a, b := promptRequest("desk", 10, base), promptRequest("desk", 11, base)
		assert.Assert(t, r.AcquireTrial(at(3000), &a, "engines", "f1"))
		assert.Assert(t, !r.AcquireTrial(at(3000), &b, "engines", "f2"))
		want := Free
		if crashes {
			want = Stopped
			r.RecordCrash(at(4000), a, crash("x", Begun, 3000, 4000))
		} else {
			r.Progressed(at(4000), &a)
		}
		assert.Equal(t, r.Decide(at(4000), &b, "engines").Verdict, want)
	}
}

// TestReleasedRequestStopsNoPart guards against a request that an operator releases, and that is then tried
// again, making the parts of its prompt count as stopped at instances that hear of the trial: the record of the
// request was what explained the crashes. A part with a crash under another request keeps its crashes.
func TestReleasedRequestStopsNoPart(t *testing.T) {
	here, there := New(DefaultSettings()), New(DefaultSettings())
	released, another := promptRequest("desk", 1, base, fatal), promptRequest("desk", 2, fatal)
	for i := range 3 {
		crash := Crash{Endpoint: fmt.Sprint("e", i), Service: "llm", Phase: Begun, Sent: at(1000 * i), At: at(1000*i + 500)}
		for _, r := range []*Registry{here, there} {
			r.RecordCrash(crash.At, released, crash)
		}
	}
	here.RecordCrash(at(3500), another, Crash{Endpoint: "e9", Service: "llm", Phase: Present, Sent: at(3000), At: at(3500)})
	assert.Equal(t, here.Decide(at(4000), &released, "llm").Verdict, Stopped)
	assert.Equal(t, len(here.Release(at(4000), released.Whole)), 2) // the request and the part base
	assert.Equal(t, here.Decide(at(4000), &another, "llm").Verdict, Stopped)
	tell := func(now int, s Subject) Change {
		f, ok := here.Fact(at(now), s, "here")
		assert.Assert(t, ok)
		return there.Merge(at(now), "here", f)
	}
	tell(4000, released.Whole)
	onlyBase := promptRequest("desk", 1, base)
	assert.Assert(t, here.AcquireTrial(at(5000), &released, "llm", "here"))
	for _, part := range onlyBase.Parts {
		assert.Assert(t, !tell(5000, part).Stopped)
	}
	assert.Equal(t, there.Decide(at(5000), &onlyBase, "llm").Verdict, Free)
}

// TestPartStopExpires checks that a stopped part is tried by one request at a time once its stop is over, and
// that the next crash stops it again.
func TestPartStopExpires(t *testing.T) {
	r := New(DefaultSettings())
	for n := range 3 {
		r.RecordCrash(at(1000*n), promptRequest("desk", n, fatal), crash(fmt.Sprint("e", n), Begun, 1000*n-900, 1000*n))
	}
	req := promptRequest("desk", 10, fatal)
	d := r.Decide(at(3000), &req, "engines")
	assert.Equal(t, d.Verdict, Stopped)
	assert.Equal(t, d.Subject.Part, "bad")
	later := d.Until.Add(time.Second)
	assert.Equal(t, r.Decide(later, &req, "engines").Verdict, Careful)
	r.RecordCrash(later, req, Crash{Endpoint: "z", Service: "engines", Phase: Begun, Sent: later.Add(-time.Millisecond), At: later})
	next := promptRequest("desk", 11, fatal)
	assert.Equal(t, r.Decide(later, &next, "engines").Verdict, Stopped)
}

// TestSoundRequestsOfHarmfulTeam checks that a team whose requests crash endpoints with many different parts is
// tried one request at a time, except for requests of which all parts were answered since.
func TestSoundRequestsOfHarmfulTeam(t *testing.T) {
	r, set := New(DefaultSettings()), DefaultSettings()
	sound := promptRequest("desk", 500, base, other)
	for n := range set.HarmfulThreshold {
		r.RecordCrash(at(1000*n), promptRequest("desk", n, base, uint64(0x100+n)), crash(fmt.Sprint("e", n), Begun, 1000*n-900, 1000*n))
		r.Answered(at(1000*n+500), &sound)
	}
	now := at(1000 * set.HarmfulThreshold)
	unknown, proven := promptRequest("desk", 600, base, 0x200), promptRequest("desk", 601, base, other)
	assert.Equal(t, r.Decide(now, &unknown, "engines").Verdict, Careful)
	assert.Equal(t, r.Decide(now, &proven, "engines").Verdict, Free)
	for n := range set.HarmfulThreshold { // requests that crash endpoints by themselves
		r.RecordCrash(now, promptRequest("desk", 700+n, base, other), crash(fmt.Sprint("f", n), Begun, 1000*n, 1000*set.HarmfulThreshold))
	}
	r.Answered(now.Add(time.Millisecond), &sound)
	assert.Equal(t, r.Decide(now.Add(time.Second), &proven, "engines").Verdict, Careful)
}

// TestManyPartsAreBounded checks that a prompt of thousands of parts costs a bounded number of records, and that
// a flood of parts leaves the stopped one.
func TestManyPartsAreBounded(t *testing.T) {
	r, set := New(DefaultSettings()), DefaultSettings()
	for n := range 3 {
		r.RecordCrash(at(1000*n), promptRequest("desk", n, fatal), crash(fmt.Sprint("e", n), Begun, 1000*n-900, 1000*n))
	}
	for n := range 20 {
		parts := make([]uint64, 3000)
		for i := range parts {
			parts[i] = uint64(0x10000 + n*len(parts) + i)
		}
		req := promptRequest("desk", 100+n, parts...)
		assert.Equal(t, len(req.Parts), maxParts)
		r.RecordCrash(at(4000+n), req, crash(fmt.Sprint("x", n), Begun, 3000, 4000+n))
		r.Answered(at(4000+n), &req)
	}
	all, _ := r.Len(at(5000))
	assert.Assert(t, all <= set.MaxPerTeam, "%d", all)
	assert.Assert(t, len(r.answered.newer)+len(r.answered.older) <= 2*maxAnsweredParts)
	req := promptRequest("desk", 900, fatal)
	assert.Equal(t, r.Decide(at(5000), &req, "engines").Verdict, Stopped)
}
