package crashers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(team string, n int) Subject {
	return Subject{Team: team, Content: ContentHash{byte(n >> 8), byte(n)}}
}

// recordWhole, verdictOf and acquireWhole call the registry for a request without parts.
func (r *Registry) recordWhole(now time.Time, s Subject, crash Crash) bool {
	return len(r.RecordCrash(now, Request{Whole: s}, crash)) > 0
}

func (r *Registry) verdictOf(now time.Time, s Subject, service string) Verdict {
	return r.Decide(now, &Request{Whole: s}, service).Verdict
}

func (r *Registry) acquireWhole(now time.Time, s Subject, service, instance string) bool {
	return r.AcquireTrial(now, &Request{Whole: s}, service, instance)
}

// crash returns a crash of an endpoint that had a request from sent to ended, in ms after the
// epoch.
func crash(endpoint string, sign Phase, sent, ended int) Crash {
	return Crash{Endpoint: endpoint, Service: "engines", Phase: sign, Sent: at(sent), At: at(ended)}
}

// TestVerdicts checks the verdict on a request after the crash patterns that occur: in sequence, at
// once, of bystanders, and around a clearing.
func TestVerdicts(t *testing.T) {
	mine, other := request("desk", 1), request("desk", 2)
	type step struct {
		req   Subject
		crash Crash
		clear bool
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  Verdict
	}{
		{"nothing", nil, Free},
		{"one crash", []step{{req: mine, crash: crash("a", Present, 0, 900)}}, Suspect},
		{"one crash at which it had begun", []step{{req: mine, crash: crash("a", Begun, 0, 900)}}, Careful},
		{"two of requests that may not have begun", []step{
			{req: mine, crash: crash("a", Present, 0, 900)}, {req: mine, crash: crash("b", Present, 901, 1800)},
		}, Careful},
		{"two crashes, one after the other", []step{{req: mine, crash: crash("a", Begun, 0, 900)}, {req: mine, crash: crash("b", Begun, 901, 1800)}}, Careful},
		{"three", []step{
			{req: mine, crash: crash("a", Begun, 0, 900)}, {req: mine, crash: crash("b", Begun, 901, 1800)}, {req: mine, crash: crash("c", Begun, 1801, 2700)},
		}, Stopped},
		{"three in a quick succession", []step{
			{req: mine, crash: crash("a", Present, 0, 60)}, {req: mine, crash: crash("b", Present, 61, 120)}, {req: mine, crash: crash("c", Present, 121, 180)},
		}, Stopped},
		{"three of copies that overlap", []step{
			{req: mine, crash: crash("a", Begun, 0, 900)}, {req: mine, crash: crash("b", Begun, 100, 1400)}, {req: mine, crash: crash("c", Begun, 200, 2000)},
		}, Stopped},
		{"three at one moment", []step{
			{req: mine, crash: crash("a", Present, 0, 900)}, {req: mine, crash: crash("b", Present, 100, 910)}, {req: mine, crash: crash("c", Present, 200, 920)},
		}, Suspect},
		{"three at one moment, begun", []step{
			{req: mine, crash: crash("a", Begun, 0, 900)}, {req: mine, crash: crash("b", Begun, 100, 910)}, {req: mine, crash: crash("c", Begun, 200, 920)},
		}, Careful},
		{"the same crash reported again", []step{
			{req: mine, crash: crash("a", Present, 0, 900)}, {req: mine, crash: crash("a", Present, 0, 1400)}, {req: mine, crash: crash("a", Present, 0, 1900)},
		}, Suspect},
		{"beside one that had begun", []step{
			{req: mine, crash: crash("a", Present, 0, 900)}, {req: other, crash: crash("a", Begun, 0, 900)},
			{req: mine, crash: crash("b", Present, 901, 1800)}, {req: other, crash: crash("b", Begun, 901, 1800)},
			{req: mine, crash: crash("c", Present, 1801, 2700)}, {req: other, crash: crash("c", Begun, 1801, 2700)},
		}, Free},
		{"beside one that was at more", []step{
			{req: other, crash: crash("x", Present, 0, 500)},
			{req: mine, crash: crash("a", Present, 501, 900)}, {req: other, crash: crash("a", Present, 501, 900)},
			{req: mine, crash: crash("b", Present, 901, 1800)}, {req: other, crash: crash("b", Present, 901, 1800)},
			{req: mine, crash: crash("c", Present, 1801, 2700)}, {req: other, crash: crash("c", Present, 1801, 2700)},
		}, Free},
		{"beside one that had begun and was served since", []step{
			{req: mine, crash: crash("a", Present, 0, 900)}, {req: other, crash: crash("a", Begun, 0, 900)}, {req: other, clear: true, crash: Crash{At: at(1000)}},
			{req: mine, crash: crash("b", Present, 1001, 1800)}, {req: mine, crash: crash("c", Present, 1801, 2700)},
		}, Stopped},
		{"two that had both begun", []step{
			{req: mine, crash: crash("a", Begun, 0, 900)}, {req: other, crash: crash("a", Begun, 0, 900)},
		}, Careful},
		{"served in between", []step{
			{req: mine, crash: crash("a", Begun, 0, 900)}, {req: mine, crash: crash("b", Begun, 901, 1800)}, {req: mine, clear: true, crash: Crash{At: at(2000)}},
			{req: mine, crash: crash("c", Present, 2001, 2700)},
		}, Suspect},
		{"a crash that is reported after a later clearing", []step{
			{req: mine, crash: crash("a", Begun, 0, 900)}, {req: mine, clear: true, crash: Crash{At: at(2000)}}, {req: mine, crash: crash("b", Begun, 901, 1800)},
		}, Free},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(DefaultSettings())
			for _, s := range c.steps {
				if s.clear {
					r.Clear(s.crash.At, s.req)
					continue
				}
				r.recordWhole(s.crash.At, s.req, s.crash)
			}
			assert.Equal(t, r.verdictOf(at(3000), mine, "engines"), c.want)
		})
	}
}

// crashThree records three crashes of a request, which stop it.
func crashThree(r *Registry, req Subject, from int) {
	for i := range 3 {
		sent := from + i*1000
		r.recordWhole(at(sent+900), req, crash(fmt.Sprint("e", from, i), Begun, sent, sent+900))
	}
}

// TestStopExpiresAndDoubles checks that a stopped request may be tried again by one instance at a
// time, and that the next crash stops it for twice as long.
func TestStopExpiresAndDoubles(t *testing.T) {
	set := DefaultSettings()
	r, req := New(set), request("desk", 1)
	crashThree(r, req, 0)
	until := r.Stop(req).Until
	assert.Equal(t, until.Sub(at(2900)), set.MinStop)
	assert.Equal(t, r.verdictOf(until.Add(-1), req, "engines"), Stopped)
	assert.Equal(t, r.recordWhole(at(3500), req, crash("on its way", Begun, 2000, 3500)), false)
	assert.Equal(t, r.verdictOf(until, req, "engines"), Careful, "a crash before the stop expired does not count against the trial")
	assert.Assert(t, r.acquireWhole(until, req, "engines", "f1"))
	assert.Assert(t, !r.acquireWhole(until, req, "engines", "f2"), "one at a time")
	next := until.Add(time.Second)
	assert.Assert(t, r.recordWhole(next, req, Crash{Endpoint: "z", Phase: Begun, Sent: until, At: next}))
	assert.Equal(t, r.Stop(req).Until.Sub(next), 2*set.MinStop)
	assert.Equal(t, r.Stop(req).Count, 2)
	r.Clear(next.Add(time.Second), req)
	assert.Equal(t, r.verdictOf(next.Add(time.Second), req, "engines"), Free)
}

// TestTrialsExpire checks that a trial whose end is never reported expires, and that those of an
// instance that is gone are dropped. Otherwise the request could not be tried again.
func TestTrialsExpire(t *testing.T) {
	r, req := New(DefaultSettings()), request("desk", 1)
	r.recordWhole(at(900), req, crash("a", Begun, 0, 900))
	assert.Assert(t, r.acquireWhole(at(1000), req, "engines", "f1"))
	assert.Assert(t, !r.acquireWhole(at(1100), req, "engines", "f2"))
	assert.Assert(t, r.acquireWhole(at(1000).Add(DefaultSettings().TrialTimeout), req, "engines", "f2"))
	r.ReleaseTrial(req, "f2")
	r.acquireWhole(at(1100), req, "engines", "f3")
	r.DropTrials("f3")
	r.DropTrials("f1")
	assert.Assert(t, r.acquireWhole(at(1200), req, "engines", "f2"))
}

// TestHarmfulTeam checks that requests of a team with several harmful requests are tried one at a
// time over all instances, unless they were served before. Other teams and other services are not
// affected.
func TestHarmfulTeam(t *testing.T) {
	set := DefaultSettings()
	r := New(set)
	served := request("desk", 100)
	r.recordWhole(at(0), served, crash("x", Begun, -900, 0))
	r.Clear(at(10), served)
	for n := range set.HarmfulThreshold {
		assert.Equal(t, r.verdictOf(at(5000), request("desk", 200), "engines"), Free)
		crashThree(r, request("desk", n), 1000*n)
	}
	now := at(10000)
	a, b := request("desk", 200), request("desk", 201)
	assert.Equal(t, r.verdictOf(now, a, "engines"), Careful)
	assert.Equal(t, r.verdictOf(now, served, "engines"), Free)
	assert.Equal(t, r.verdictOf(now, request("other", 200), "engines"), Free)
	assert.Assert(t, r.acquireWhole(now, a, "engines", "f1"))
	assert.Assert(t, !r.acquireWhole(now, b, "engines", "f1"))
	other := New(set)
	for _, req := range append(r.StoppedRequests(), a) {
		f, ok := r.Fact(now, req, "f1")
		assert.Assert(t, ok)
		other.Merge(now, "f1", f)
	}
	assert.Assert(t, !other.acquireWhole(now, b, "engines", "f2"))
	r.ReleaseTrial(a, "f1")
	assert.Assert(t, r.acquireWhole(now, b, "engines", "f1"))
	assert.Equal(t, r.verdictOf(now, a, "another service"), Free)
	assert.Equal(t, r.verdictOf(now.Add(set.HarmfulWindow), a, "engines"), Free, "the window has passed without further crashes")
}

// TestMergeInAnyOrder checks that the order and the repetition of facts make no difference.
func TestMergeInAnyOrder(t *testing.T) {
	req := request("desk", 1)
	facts := []Fact{
		{Subject: req, Crashes: []Crash{crash("a", Begun, 0, 900)}},
		{Subject: req, Crashes: []Crash{crash("a", Present, 0, 900), crash("b", Begun, 901, 1800)}},
		{Subject: req, ClearedAt: at(950), Crashes: []Crash{crash("b", Begun, 901, 1800)}},
		{Subject: req, Crashes: []Crash{crash("c", Begun, 1801, 2700)}},
		{Subject: req, Crashes: []Crash{crash("d", Begun, 2701, 3600)}, ClearedAt: at(950)},
	}
	for _, order := range [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 0, 4, 1, 3, 0, 2}, {3, 4, 0, 1, 2}} {
		r := New(DefaultSettings())
		for _, i := range order {
			r.Merge(at(4000), "f2", facts[i])
		}
		assert.Equal(t, r.verdictOf(at(4000), req, "engines"), Stopped, "%v: b, c and d", order)
		r.Merge(at(4100), "f3", Fact{Subject: req, Service: "engines", ClearedAt: at(4050)})
		assert.Equal(t, r.verdictOf(at(4100), req, "engines"), Free, "%v", order)
		assert.Equal(t, r.Merge(at(4200), "f2", facts[4]), Change{}, "%v: crashes before the clearing", order)
	}
}

// TestMergeStopWithoutCrashes checks that an instance that starts, or reads the store, takes over a
// stop without the crashes that led to it.
func TestMergeStopWithoutCrashes(t *testing.T) {
	a, b, req := New(DefaultSettings()), New(DefaultSettings()), request("desk", 1)
	crashThree(a, req, 0)
	f, ok := a.Fact(at(4000), req, "f1")
	assert.Assert(t, ok)
	f.Crashes = nil
	assert.Equal(t, b.Merge(at(4000), "f1", f), Change{Stopped: true})
	assert.Equal(t, b.verdictOf(at(4000), req, "engines"), Stopped)
	assert.Equal(t, b.Merge(at(4001), "f1", f), Change{})
	f.Stop.Until = f.Stop.Until.Add(24 * time.Hour)
	b.Merge(at(4002), "f1", f)
	assert.Assert(t, !b.Stop(req).Until.After(a.Stop(req).Until), "another instance can't stop it for longer than this one would")
}

// TestBounds sends a thousand different harmful requests of one team. They must evict only requests
// of that team, and the most suspicious requests must stay. After the first few of them, one crash
// is enough to stop a request.
func TestBounds(t *testing.T) {
	set := DefaultSettings()
	r, theirs := New(set), request("other", 1)
	crashThree(r, theirs, 0)
	worst := request("desk", 9999)
	crashThree(r, worst, 0)
	ended := 0
	for n := range 1000 {
		req := request("desk", n)
		for sent := 10 * n; r.verdictOf(at(sent), req, "engines") != Stopped && sent < 10*n+9; sent += 3 {
			ended++
			r.recordWhole(at(sent+1), req, crash(fmt.Sprint(sent), Begun, sent, sent+1))
		}
	}
	now := at(10000)
	all, _ := r.Len(now)
	assert.Equal(t, all, set.MaxPerTeam+1)
	assert.Equal(t, r.verdictOf(now, theirs, "engines"), Stopped)
	assert.Assert(t, ended <= 1000+2*set.HarmfulThreshold, "%d", ended)
	for n := range 40 {
		crashThree(r, request(fmt.Sprint("team", n), 1), 20000)
		for m := range set.MaxPerTeam {
			r.recordWhole(at(20000), request(fmt.Sprint("team", n), 100+m), crash(fmt.Sprint(n, m), Present, 1, 20000))
		}
	}
	all, _ = r.Len(at(23000))
	assert.Equal(t, all, set.MaxRequests)
	assert.Equal(t, r.verdictOf(at(23000), theirs, "engines"), Stopped)
	for n := range 40 {
		assert.Equal(t, r.verdictOf(at(23000), request(fmt.Sprint("team", n), 1), "engines"), Stopped, "team %d", n)
	}
	r.expire(at(23000).Add(set.Retention + set.MaxStop))
	all, _ = r.Len(at(23000).Add(set.Retention + set.MaxStop))
	assert.Equal(t, all, 0)
	assert.Equal(t, len(r.byEndpoint)+len(r.teamSizes), 0)
}

// FuzzHeard checks that no fact of another instance makes the registry exceed its bounds or a stop
// its longest duration.
func FuzzHeard(f *testing.F) {
	f.Add("desk", []byte{1}, "e1", uint8(2), int64(10), int64(900), int64(0), 1, int64(900), int64(1e9), true)
	f.Add("", []byte{}, "", uint8(9), int64(-10), int64(1<<62), int64(-1), -1, int64(0), int64(-1), false)
	f.Fuzz(func(t *testing.T, team string, content []byte, endpoint string, sign uint8, sent, ended, cleared int64, times int, stopped, until int64, trying bool) {
		set := DefaultSettings()
		set.MaxRequests, set.MaxPerTeam = 8, 4
		r := New(set)
		now := at(5000)
		var req Subject
		req.Team = team
		copy(req.Content[:], content)
		ago := func(n int64) time.Time { return now.Add(-time.Duration(n)) }
		fact := Fact{
			Subject: req, Crashes: []Crash{{Endpoint: endpoint, Phase: Phase(sign), Sent: ago(sent), At: ago(ended)}}, ClearedAt: ago(cleared), Trying: trying,
			Stop: Stop{Count: times, At: ago(stopped), Until: ago(-until)},
		}
		for i := range 10 {
			fact.Subject.Content[15] = byte(i)
			r.Merge(now, "f1", fact)
		}
		all, _ := r.Len(now)
		assert.Assert(t, all <= set.MaxPerTeam)
		for _, req := range r.StoppedRequests() {
			assert.Assert(t, !r.Stop(req).Until.After(now.Add(set.MaxStop)))
			assert.Assert(t, r.verdictOf(now, req, "engines") >= Careful)
		}
	})
}
