package forward

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/placement"
)

// trialCounter counts the crash trials that are held.
type trialCounter struct {
	noCrashes
	held int
}

func (c *trialCounter) Admit(crashers.Request, string, any) crashes.Decision {
	c.held = 1
	return crashes.Decision{Verdict: crashers.Careful}
}

func (c *trialCounter) ReleaseTrial(crashers.Request, any) { c.held = 0 }

func newContenderSession(c Crashes) *session {
	f := New(Options{Placement: placement.New(routing.DefaultSettings(), 1), Log: discardLog{}, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), Clock: func() time.Duration { return 0 }})
	f.Crashes, f.Configuration = c, staticConfiguration{}
	now := time.Now()
	s := &session{f: f, req: &request{route: &route.Route{MaxAttempts: 9}}, copies: copies.New(copies.Settings{}), attempts: map[int]*attempt{}}
	c0 := s.generationConfig()
	c0.KeepSilent = true
	s.machine = generation.New(c0, generation.Origin{}, true, 0, now, now.Add(time.Minute))
	return s
}

func (s *session) ackForTest(n int, contender bool) *attempt {
	id := fmt.Sprint("e", n)
	a := &attempt{session: s, number: n, endpoint: routing.Endpoint{ID: id}, cancel: func() {}, contender: contender, sent: true}
	if contender {
		a.copies = copies.New(copies.Settings{})
	}
	s.attempts[n] = a
	s.machine.Acked(time.Now(), n, generation.Stream{Endpoint: id, ID: id}, 0, 0, 0)
	return a
}

// fallSilent has the current attempt fall silent, with a target to move to.
func (s *session) fallSilent(t *testing.T, n int) {
	now := time.Now().Add(10 * time.Second)
	s.machine.Tick(now)
	s.machine.Assessed(now, n, generation.Assessment{Target: true, Copy: true})
	for _, a := range s.machine.Ready() {
		if start, ok := a.(generation.Start); ok && start.Contender {
			return
		}
	}
	t.Fatal("no contender")
}

// TestTrialOutlivesFailedContender guards against a request that may crash engines being tried at two of
// them: the trial ended with a contender that was refused, while the first engine still had the request.
func TestTrialOutlivesFailedContender(t *testing.T) {
	c := &trialCounter{}
	s := newContenderSession(c)
	c.Admit(s.req.identity, "", s)
	s.inCrashTrial = true
	s.ackForTest(1, false)
	s.fallSilent(t, 1)
	s.ackForTest(2, true)
	s.handleFailure(time.Now(), message{attempt: 2, failure: generation.Refused})
	assert.Equal(t, c.held, 1)
}

// TestEndedContenderIsNotAdopted guards against a session that takes over the copy of a contender that
// failed long ago, since it has the highest number.
func TestEndedContenderIsNotAdopted(t *testing.T) {
	s := newContenderSession(noCrashes{})
	own := s.copies
	for n := 1; n <= 3; n++ {
		s.ackForTest(n, false)
		s.handleFailure(time.Now(), message{attempt: n, failure: generation.Refused})
	}
	s.machine.Tick(time.Now().Add(40 * time.Millisecond)) // the wait after three refusals
	s.ackForTest(4, false)
	s.fallSilent(t, 4)
	s.ackForTest(5, true)
	s.handleFailure(time.Now(), message{attempt: 5, failure: generation.Refused})
	s.handleFailure(time.Now(), message{attempt: 4, failure: generation.Refused})
	s.adoptContender()
	assert.Assert(t, s.copies == own)
}

// TestPresumedAliveIsFreeOfRaces covers the goroutine of an assessment beside the session's own. It fails
// under -race only.
func TestPresumedAliveIsFreeOfRaces(t *testing.T) {
	s := newContenderSession(noCrashes{})
	a := s.ackForTest(1, false)
	var done sync.WaitGroup
	done.Go(func() { a.presumedAlive() })
	s.relayedEvents++ // as in handleEvent
	done.Wait()
}
