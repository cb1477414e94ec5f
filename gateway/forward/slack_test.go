package forward

import (
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/placement"
	"github.com/agateway/agateway/platform"
)

// slackSession returns a session with an attempt at an engine, on an instance that has served streams of 100
// events in 40 ms each.
func slackSession(deadlines bool) (*session, *attempt) {
	s := routing.DefaultSettings()
	s.Deadlines = deadlines
	f := New(Options{Placement: placement.New(s, 1), Log: discardLog{}, Scope: tally.NoopScope, Clock: func() time.Duration { return 0 }})
	f.Settings.Overload.Deadlines = deadlines
	f.Placement.SetEndpoints([]routing.Endpoint{{ID: "e", Service: "s", Slots: 8, Memory: 88000}})
	for range 8 {
		f.streamTimes.update("s", func(t *limits.StreamTimes) { t.ObserveStream(time.Now(), 1000, 100, 99, 99*40*time.Millisecond) })
	}
	now := time.Now()
	session := &session{
		f: f, w: httptest.NewRecorder(), copies: copies.New(copies.Settings{}), attempts: map[int]*attempt{},
		req: &request{ClientRequest: platform.ClientRequest{MaxOutputTokens: 1000}, service: "s", arrivedAt: now, deadline: now.Add(25 * time.Second), route: &route.Route{MaxAttempts: 5}},
	}
	session.machine = generation.New(session.generationConfig(), generation.Origin{}, true, 0, now, session.req.deadline)
	a := &attempt{session: session, number: 1, endpoint: routing.Endpoint{ID: "e"}, cancel: func() {}}
	session.attempts[1] = a
	return session, a
}

func (s *session) relayForTest(now time.Time, id int) {
	s.handleEvent(now, message{kind: attemptEvent, attempt: 1, id: uint64(id), hasID: true, raw: []byte("id: " + strconv.Itoa(id) + "\n\n")})
}

func announcedSlack(s *session) (time.Duration, bool) {
	d, known := s.f.Placement.PeerReport().Slacks["e"]
	return d, known
}

// TestSessionReportsSlack: what is left of a stream is known from its placement to the end of its attempt,
// and follows its events.
func TestSessionReportsSlack(t *testing.T) {
	s, a := slackSession(true)
	s.beginSlackReport(a)
	slack, known := announcedSlack(s)
	assert.Assert(t, known && (slack-21*time.Second).Abs() < 100*time.Millisecond, "%v", slack)
	s.machine.Acked(time.Now(), 1, generation.Stream{Endpoint: "e", ID: "e"}, 0, 0, 0)
	now := time.Now()
	for id := 1; id <= 50; id++ {
		s.relayForTest(now, id)
		now = now.Add(slackInterval / 10)
	}
	assert.Equal(t, a.slack.delivered, 41) // of the last report
	slack, _ = announcedSlack(s)           // 59 events are left, and no time has passed
	assert.Assert(t, (slack-25*time.Second+59*40*time.Millisecond).Abs() < 100*time.Millisecond, "%v", slack)
	a.slack.end(s.f.Placement, "e")
	_, known = announcedSlack(s)
	assert.Assert(t, !known)
	s.relayForTest(now.Add(time.Second), 51) // an event that the attempt has left behind
	_, known = announcedSlack(s)
	assert.Assert(t, !known, "the stream would be kept for ever")
}

func TestSlackIsReportedOnlyWithDeadlines(t *testing.T) {
	for name, change := range map[string]func(*session){
		"switched off": func(s *session) { s.f.Settings.Overload.Deadlines = false },
		"no deadline":  func(s *session) { s.req.deadline = time.Time{} },
		"no samples":   func(s *session) { s.req.service = "other" },
	} {
		s, a := slackSession(true)
		change(s)
		s.beginSlackReport(a)
		s.updateSlack(time.Now().Add(time.Second), a)
		_, known := announcedSlack(s)
		assert.Assert(t, !known, name)
		a.slack.end(s.f.Placement, "e")
	}
}

// TestSlackReportAllocatesNothing: an instance relays thousands of events a second.
func TestSlackReportAllocatesNothing(t *testing.T) {
	s, a := slackSession(true)
	s.beginSlackReport(a)
	a.eventCount, s.lastEventID = 2, "1"
	now := time.Now()
	assert.Equal(t, testing.AllocsPerRun(100, func() { s.updateSlack(now, a) }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		now = now.Add(slackInterval)
		s.updateSlack(now, a)
	}), 0.0, "also with a report for each event")
}

// TestSlackReportsRace: the session reports events while the goroutine of its attempt ends, and other
// requests are placed. Run with the race detector; a stream that is left over would close the engine.
func TestSlackReportsRace(t *testing.T) {
	for range 200 {
		s, a := slackSession(true)
		s.beginSlackReport(a)
		a.eventCount = 2
		var g sync.WaitGroup
		g.Go(func() { a.slack.end(s.f.Placement, "e") })
		g.Go(func() { s.f.Placement.CheckSlack("e", &routing.Request{PromptTokens: 100}) })
		for i := range 4 {
			s.updateSlack(time.Now().Add(time.Duration(i+1)*slackInterval), a)
		}
		g.Wait()
		_, known := announcedSlack(s)
		assert.Assert(t, !known)
	}
}

// TestEngineSpeedFromUndisturbedWindows: the best time per event of a service is that of its fastest engines.
// At a slower one, prefill-free times show its own; those with prefill show nothing.
func TestEngineSpeedFromUndisturbedWindows(t *testing.T) {
	r := slackReport{output: limits.Output{Events: 100, TimePerEvent: 40 * time.Millisecond}}
	for range 10 {
		r.endWindow(time.Second, 5, false)
	}
	assert.Equal(t, r.timePerEvent(), 40*time.Millisecond)
	r.endWindow(time.Second, 5, true) // there was prefill at its beginning
	for range minUndisturbedWindows {
		assert.Equal(t, r.timePerEvent(), 40*time.Millisecond)
		r.endWindow(260*time.Millisecond, 5, true)
	}
	assert.Equal(t, r.timePerEvent(), 52*time.Millisecond)
	r.endWindow(50*time.Millisecond, 5, true) // events that had been held up arrive together
	assert.Equal(t, r.timePerEvent(), 40*time.Millisecond)
}

type countingLog struct {
	discardLog
	lines []logrus.Fields
}

func (l *countingLog) Decision(_, _ string, inputs logrus.Fields) { l.lines = append(l.lines, inputs) }

// TestDeadlineRefusalsAreLoggedWithinBounds: a waiting request has many claims refused a second.
func TestDeadlineRefusalsAreLoggedWithinBounds(t *testing.T) {
	s, a := slackSession(true)
	log := &countingLog{}
	s.f.Log = log
	s.f.Placement.RecordPrefill("e", 8000, 1, time.Second)
	r := &routing.Request{Tokens: 9000, PromptTokens: 8000}
	s.f.recordDeadlineRefusal("e", r) // refused for another reason
	assert.Equal(t, len(log.lines), 0)
	s.req.deadline = time.Now().Add(5 * time.Second)
	s.f.Placement.Sent("e", routing.Placed{Tokens: 9000})
	s.beginSlackReport(a)
	for range 50 {
		s.f.recordDeadlineRefusal("e", r)
	}
	assert.Equal(t, len(log.lines), 1)
	assert.Equal(t, log.lines[0]["endpoint"], "e")
	suppressed, ok := s.f.deadlineLog.allow(time.Now().Add(2 * logInterval))
	assert.Assert(t, ok && suppressed == 49, "%d", suppressed)
}

// TestUnrankedStreamsReportNoSlack guards against work and messages for streams of services to which the check of
// deadlines does not apply.
func TestUnrankedStreamsReportNoSlack(t *testing.T) {
	for _, ranked := range []bool{false, true} {
		s, a := slackSession(true)
		s.f.Settings.Overload.OnlyRanked = true
		if ranked {
			s.req.priority = route.Priority{Level: 1, Levels: 2}
		}
		s.beginSlackReport(a)
		_, known := announcedSlack(s)
		assert.Equal(t, known, ranked)
		assert.Equal(t, s.f.outputBudget(s.req, s.req.arrivedAt) > 0, ranked)
	}
}

// TestOutputBudget: requests without a deadline, and callers that resume a stream, state none.
func TestOutputBudget(t *testing.T) {
	s, _ := slackSession(true)
	now := s.req.arrivedAt
	s.req.PromptTokens = 8000
	s.f.Placement.RecordPrefill("e", 8000, 1, time.Second)
	assert.Equal(t, s.f.outputBudget(s.req, now), 24*time.Second)
	assert.Equal(t, s.f.outputBudget(s.req, now.Add(time.Minute)), time.Millisecond)
	s.req.LastEventID = "7"
	assert.Equal(t, s.f.outputBudget(s.req, now), time.Duration(0))
	s.req.LastEventID, s.f.Settings.Overload.Deadlines = "", false
	assert.Equal(t, s.f.outputBudget(s.req, now), time.Duration(0))
}
