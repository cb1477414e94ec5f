package crashers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(team string, n int) Request {
	return Request{Team: team, Content: Content{byte(n >> 8), byte(n)}}
}

// end is the end of an endpoint that had a request for a while.
func end(endpoint string, sign Sign, sent, ended int) End {
	return End{Endpoint: endpoint, Service: "engines", Sign: sign, Sent: at(sent), At: at(ended)}
}

// TestVerdicts: the pattern is a request whose endpoints end, in the ways in which that happens.
func TestVerdicts(t *testing.T) {
	mine, other := request("desk", 1), request("desk", 2)
	type step struct {
		req   Request
		end   End
		clear bool
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  Verdict
	}{
		{"nothing", nil, Free},
		{"one end", []step{{req: mine, end: end("a", Present, 0, 900)}}, Suspect},
		{"one end at which it had begun", []step{{req: mine, end: end("a", Begun, 0, 900)}}, Careful},
		{"two of requests that may not have begun", []step{
			{req: mine, end: end("a", Present, 0, 900)}, {req: mine, end: end("b", Present, 901, 1800)},
		}, Careful},
		{"two ends, one after the other", []step{{req: mine, end: end("a", Begun, 0, 900)}, {req: mine, end: end("b", Begun, 901, 1800)}}, Careful},
		{"three", []step{
			{req: mine, end: end("a", Begun, 0, 900)}, {req: mine, end: end("b", Begun, 901, 1800)}, {req: mine, end: end("c", Begun, 1801, 2700)},
		}, Stopped},
		{"three in a quick succession", []step{
			{req: mine, end: end("a", Present, 0, 60)}, {req: mine, end: end("b", Present, 61, 120)}, {req: mine, end: end("c", Present, 121, 180)},
		}, Stopped},
		{"three of copies that overlap", []step{
			{req: mine, end: end("a", Begun, 0, 900)}, {req: mine, end: end("b", Begun, 100, 1400)}, {req: mine, end: end("c", Begun, 200, 2000)},
		}, Stopped},
		{"three at one moment", []step{
			{req: mine, end: end("a", Present, 0, 900)}, {req: mine, end: end("b", Present, 100, 910)}, {req: mine, end: end("c", Present, 200, 920)},
		}, Suspect},
		{"three at one moment, begun", []step{
			{req: mine, end: end("a", Begun, 0, 900)}, {req: mine, end: end("b", Begun, 100, 910)}, {req: mine, end: end("c", Begun, 200, 920)},
		}, Careful},
		{"the same end told again", []step{
			{req: mine, end: end("a", Present, 0, 900)}, {req: mine, end: end("a", Present, 0, 1400)}, {req: mine, end: end("a", Present, 0, 1900)},
		}, Suspect},
		{"beside one that had begun", []step{
			{req: mine, end: end("a", Present, 0, 900)}, {req: other, end: end("a", Begun, 0, 900)},
			{req: mine, end: end("b", Present, 901, 1800)}, {req: other, end: end("b", Begun, 901, 1800)},
			{req: mine, end: end("c", Present, 1801, 2700)}, {req: other, end: end("c", Begun, 1801, 2700)},
		}, Free},
		{"beside one that was at more", []step{
			{req: other, end: end("x", Present, 0, 500)},
			{req: mine, end: end("a", Present, 501, 900)}, {req: other, end: end("a", Present, 501, 900)},
			{req: mine, end: end("b", Present, 901, 1800)}, {req: other, end: end("b", Present, 901, 1800)},
			{req: mine, end: end("c", Present, 1801, 2700)}, {req: other, end: end("c", Present, 1801, 2700)},
		}, Free},
		{"beside one that had begun and was served since", []step{
			{req: mine, end: end("a", Present, 0, 900)}, {req: other, end: end("a", Begun, 0, 900)}, {req: other, clear: true, end: End{At: at(1000)}},
			{req: mine, end: end("b", Present, 1001, 1800)}, {req: mine, end: end("c", Present, 1801, 2700)},
		}, Stopped},
		{"two that had both begun", []step{
			{req: mine, end: end("a", Begun, 0, 900)}, {req: other, end: end("a", Begun, 0, 900)},
		}, Careful},
		{"served in between", []step{
			{req: mine, end: end("a", Begun, 0, 900)}, {req: mine, end: end("b", Begun, 901, 1800)}, {req: mine, clear: true, end: End{At: at(2000)}},
			{req: mine, end: end("c", Present, 2001, 2700)},
		}, Suspect},
		{"an end that is heard after a later service", []step{
			{req: mine, end: end("a", Begun, 0, 900)}, {req: mine, clear: true, end: End{At: at(2000)}}, {req: mine, end: end("b", Begun, 901, 1800)},
		}, Free},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(DefaultSettings())
			for _, s := range c.steps {
				if s.clear {
					r.Clear(s.end.At, s.req)
					continue
				}
				r.Ended(s.end.At, s.req, s.end)
			}
			assert.Equal(t, r.Verdict(at(3000), mine, "engines"), c.want)
		})
	}
}

// stop ends three endpoints under a request.
func stop(r *Register, req Request, from int) {
	for i := range 3 {
		sent := from + i*1000
		r.Ended(at(sent+900), req, end(fmt.Sprint("e", from, i), Begun, sent, sent+900))
	}
}

// TestAStopEnds: it may be tried again once, and the next end stops it for twice as long.
func TestAStopEnds(t *testing.T) {
	set := DefaultSettings()
	r, req := New(set), request("desk", 1)
	stop(r, req, 0)
	until := r.Stop(req).Until
	assert.Equal(t, until.Sub(at(2900)), set.StopFirst)
	assert.Equal(t, r.Verdict(until.Add(-1), req, "engines"), Stopped)
	assert.Equal(t, r.Ended(at(3500), req, end("on its way", Begun, 2000, 3500)), false)
	assert.Equal(t, r.Verdict(until, req, "engines"), Careful, "what was on its way does not count against the trial")
	assert.Assert(t, r.Try(until, req, "engines", "f1"))
	assert.Assert(t, !r.Try(until, req, "engines", "f2"), "one at a time")
	next := until.Add(time.Second)
	assert.Assert(t, r.Ended(next, req, End{Endpoint: "z", Sign: Begun, Sent: until, At: next}))
	assert.Equal(t, r.Stop(req).Until.Sub(next), 2*set.StopFirst)
	assert.Equal(t, r.Stop(req).Times, 2)
	r.Clear(next.Add(time.Second), req)
	assert.Equal(t, r.Verdict(next.Add(time.Second), req, "engines"), Free)
}

// TestTrials: a trial whose end is not heard counts for a while, and that of an instance that is gone not at all.
func TestTrials(t *testing.T) {
	r, req := New(DefaultSettings()), request("desk", 1)
	r.Ended(at(900), req, end("a", Begun, 0, 900))
	assert.Assert(t, r.Try(at(1000), req, "engines", "f1"))
	assert.Assert(t, !r.Try(at(1100), req, "engines", "f2"))
	assert.Assert(t, r.Try(at(1000).Add(DefaultSettings().TrialMost), req, "engines", "f2"))
	r.Tried(req, "f2")
	r.Try(at(1100), req, "engines", "f3")
	r.Forget("f3")
	r.Forget("f1")
	assert.Assert(t, r.Try(at(1200), req, "engines", "f2"))
}

// TestWatchedTeams: where a team has several requests that end endpoints, what it has not been served yet is tried one at a time, at one
// instance; what it was served, and other teams, are not touched.
func TestWatchedTeams(t *testing.T) {
	set := DefaultSettings()
	r := New(set)
	served := request("desk", 100)
	r.Ended(at(0), served, end("x", Begun, -900, 0))
	r.Clear(at(10), served)
	for n := range set.Harmful {
		assert.Equal(t, r.Verdict(at(5000), request("desk", 200), "engines"), Free)
		stop(r, request("desk", n), 1000*n)
	}
	now := at(10000)
	a, b := request("desk", 200), request("desk", 201)
	assert.Equal(t, r.Verdict(now, a, "engines"), Careful)
	assert.Equal(t, r.Verdict(now, served, "engines"), Free)
	assert.Equal(t, r.Verdict(now, request("other", 200), "engines"), Free)
	assert.Assert(t, r.Try(now, a, "engines", "f1"))
	assert.Assert(t, !r.Try(now, b, "engines", "f1"))
	other := New(set)
	for _, req := range append(r.Stopped(), a) {
		f, ok := r.Fact(now, req, "f1")
		assert.Assert(t, ok)
		other.Heard(now, "f1", f)
	}
	assert.Assert(t, !other.Try(now, b, "engines", "f2"))
	r.Tried(a, "f1")
	assert.Assert(t, r.Try(now, b, "engines", "f1"))
	assert.Equal(t, r.Verdict(now, a, "another service"), Free)
	assert.Equal(t, r.Verdict(now.Add(set.HarmfulWithin), a, "engines"), Free, "it has stopped sending them")
}

// TestFactsComeInAnyOrder: whoever hears the same facts believes the same, in whatever order and how often they come.
func TestFactsComeInAnyOrder(t *testing.T) {
	req := request("desk", 1)
	facts := []Fact{
		{Request: req, Ends: []End{end("a", Begun, 0, 900)}},
		{Request: req, Ends: []End{end("a", Present, 0, 900), end("b", Begun, 901, 1800)}},
		{Request: req, Cleared: at(950), Ends: []End{end("b", Begun, 901, 1800)}},
		{Request: req, Ends: []End{end("c", Begun, 1801, 2700)}},
		{Request: req, Ends: []End{end("d", Begun, 2701, 3600)}, Cleared: at(950)},
	}
	for _, order := range [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 0, 4, 1, 3, 0, 2}, {3, 4, 0, 1, 2}} {
		r := New(DefaultSettings())
		for _, i := range order {
			r.Heard(at(4000), "f2", facts[i])
		}
		assert.Equal(t, r.Verdict(at(4000), req, "engines"), Stopped, "%v: b, c and d", order)
		r.Heard(at(4100), "f3", Fact{Request: req, Service: "engines", Cleared: at(4050)})
		assert.Equal(t, r.Verdict(at(4100), req, "engines"), Free, "%v", order)
		assert.Equal(t, r.Heard(at(4200), "f2", facts[4]), Change{}, "%v: what came before the clearing", order)
	}
}

// TestWhatIsToldIsEnough: an instance that starts, or reads what was kept, takes a stop without the ends that led to it.
func TestWhatIsToldIsEnough(t *testing.T) {
	a, b, req := New(DefaultSettings()), New(DefaultSettings()), request("desk", 1)
	stop(a, req, 0)
	f, ok := a.Fact(at(4000), req, "f1")
	assert.Assert(t, ok)
	f.Ends = nil
	assert.Equal(t, b.Heard(at(4000), "f1", f), Change{Stopped: true})
	assert.Equal(t, b.Verdict(at(4000), req, "engines"), Stopped)
	assert.Equal(t, b.Heard(at(4001), "f1", f), Change{})
	f.Stop.Until = f.Stop.Until.Add(24 * time.Hour)
	b.Heard(at(4002), "f1", f)
	assert.Assert(t, !b.Stop(req).Until.After(a.Stop(req).Until), "no other can stop it for longer than this one would")
}

// TestBounds: the pattern is a team that sends a thousand different requests that end endpoints. It fills its own part,
// not that of others; the worst stay; and after some of them one end is enough.
func TestBounds(t *testing.T) {
	set := DefaultSettings()
	r, theirs := New(set), request("other", 1)
	stop(r, theirs, 0)
	worst := request("desk", 9999)
	stop(r, worst, 0)
	ended := 0
	for n := range 1000 {
		req := request("desk", n)
		for sent := 10 * n; r.Verdict(at(sent), req, "engines") != Stopped && sent < 10*n+9; sent += 3 {
			ended++
			r.Ended(at(sent+1), req, end(fmt.Sprint(sent), Begun, sent, sent+1))
		}
	}
	now := at(10000)
	all, _ := r.Len(now)
	assert.Equal(t, all, set.PerTeam+1)
	assert.Equal(t, r.Verdict(now, theirs, "engines"), Stopped)
	assert.Assert(t, ended <= 1000+2*set.Harmful, "%d", ended)
	for n := range 40 {
		stop(r, request(fmt.Sprint("team", n), 1), 20000)
		for m := range set.PerTeam {
			r.Ended(at(20000), request(fmt.Sprint("team", n), 100+m), end(fmt.Sprint(n, m), Present, 1, 20000))
		}
	}
	all, _ = r.Len(at(23000))
	assert.Equal(t, all, set.Most)
	assert.Equal(t, r.Verdict(at(23000), theirs, "engines"), Stopped)
	for n := range 40 {
		assert.Equal(t, r.Verdict(at(23000), request(fmt.Sprint("team", n), 1), "engines"), Stopped, "team %d", n)
	}
	r.expire(at(23000).Add(set.Keep + set.StopMost))
	all, _ = r.Len(at(23000).Add(set.Keep + set.StopMost))
	assert.Equal(t, all, 0)
	assert.Equal(t, len(r.ended)+len(r.teams), 0)
}

// FuzzHeard: whatever others tell, the register stays within its bounds, and a stop within its time.
func FuzzHeard(f *testing.F) {
	f.Add("desk", []byte{1}, "e1", uint8(2), int64(10), int64(900), int64(0), 1, int64(900), int64(1e9), true)
	f.Add("", []byte{}, "", uint8(9), int64(-10), int64(1<<62), int64(-1), -1, int64(0), int64(-1), false)
	f.Fuzz(func(t *testing.T, team string, content []byte, endpoint string, sign uint8, sent, ended, cleared int64, times int, stopped, until int64, trying bool) {
		set := DefaultSettings()
		set.Most, set.PerTeam = 8, 4
		r := New(set)
		now := at(5000)
		var req Request
		req.Team = team
		copy(req.Content[:], content)
		ago := func(n int64) time.Time { return now.Add(-time.Duration(n)) }
		fact := Fact{
			Request: req, Ends: []End{{Endpoint: endpoint, Sign: Sign(sign), Sent: ago(sent), At: ago(ended)}}, Cleared: ago(cleared), Trying: trying,
			Stop: Stop{Times: times, At: ago(stopped), Until: ago(-until)},
		}
		for i := range 10 {
			fact.Request.Content[15] = byte(i)
			r.Heard(now, "f1", fact)
		}
		all, _ := r.Len(now)
		assert.Assert(t, all <= set.PerTeam)
		for _, req := range r.Stopped() {
			assert.Assert(t, !r.Stop(req).Until.After(now.Add(set.StopMost)))
			assert.Assert(t, r.Verdict(now, req, "engines") >= Careful)
		}
	})
}
