package forward

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/placement"
)

type discardLog struct{}

func (discardLog) Decision(string, string, logrus.Fields) {}
func (discardLog) Refusal(string, string, logrus.Fields)  {}

// TestEventNumbersComeFromCurrentAttempt guards against losing the first event of a stream
// unnoticed. The session gives up an engine while its first events are on their way, and the first
// of them is lost. The second event must not be taken for the first of the stream. This happened to
// one stream in 24 hours.
func TestEventNumbersComeFromCurrentAttempt(t *testing.T) {
	f := New(Options{Placement: placement.New(routing.DefaultSettings(), 1), Log: discardLog{}, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), Clock: func() time.Duration { return 0 }})
	now := time.Now()
	w := httptest.NewRecorder()
	s := &session{f: f, w: w, req: &request{route: &route.Route{MaxAttempts: 5}}, copies: copies.New(copies.Settings{}), attempts: map[int]*attempt{}}
	s.machine = generation.New(s.generationConfig(), generation.Origin{}, true, 0, now, now.Add(time.Minute))
	startAttempt := func(n int, endpoint string) {
		s.attempts[n] = &attempt{session: s, number: n, endpoint: routing.Endpoint{ID: endpoint}, cancel: func() {}}
		s.machine.Acked(now, n, generation.Stream{Endpoint: endpoint, ID: endpoint}, 0, 0, 0)
	}
	startAttempt(1, "e1")
	s.machine.Failed(now, 1, generation.Gone, 0)
	startAttempt(2, "e2")
	s.handleEvent(now, message{attempt: 1, id: 2, hasID: true, raw: []byte("id: 2\n\n")})
	assert.Equal(t, w.Body.String(), "")
	for id := uint64(1); id <= 3; id++ {
		s.handleEvent(now, message{attempt: 2, id: id, hasID: true, raw: []byte{'0' + byte(id)}})
	}
	assert.Equal(t, w.Body.String(), "123")
}

// TestUnsentAttemptLeavesNoCopy covers an attempt that is not sent because the retry budget is
// exhausted, so the engine chosen for its copy holds none. When the copy was still recorded,
// streams resumed at that engine up to ten times each, were refused, and counted as arrivals each
// time.
func TestUnsentAttemptLeavesNoCopy(t *testing.T) {
	chosen := copies.Holder{Endpoint: "e3", Address: "10.0.0.3:80"}
	held := copies.Holder{Endpoint: "e4", Address: "10.0.0.4:80", Handle: "h"}
	tests := []struct {
		name    string
		failure generation.Failure
		from    copies.Holder
		want    copies.Holder
	}{
		{"no room, prompt to be read", generation.NoEndpoint, copies.Holder{}, copies.Holder{}},
		{"no room, copy not used yet", generation.NoEndpoint, held, held},
		{"engine refused, copy used", generation.Refused, held, copies.Holder{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := New(Options{Placement: placement.New(routing.DefaultSettings(), 1), Log: discardLog{}, Scope: tally.NoopScope, Clock: func() time.Duration { return 0 }})
			now := time.Now()
			s := &session{f: f, req: &request{route: &route.Route{MaxAttempts: 5}}, copies: copies.New(copies.Settings{}), attempts: map[int]*attempt{}, relayedEvents: 3}
			s.machine = generation.New(s.generationConfig(), generation.Origin{}, true, 0, now, now.Add(time.Minute))
			s.attempts[1] = &attempt{session: s, number: 1, endpoint: routing.Endpoint{ID: "e2"}, resumeFrom: tt.from, cancel: func() {}}
			s.copies.RunStarted(now, chosen)
			s.accountCopy(chosen.Endpoint)
			s.handleFailure(now, message{attempt: 1, endpoint: "e2", failure: tt.failure})
			holder, ok := s.copies.Holder()
			assert.Equal(t, ok, tt.want != copies.Holder{})
			assert.Equal(t, holder, tt.want)
			assert.Equal(t, s.copyEngineID, tt.want.Endpoint)
		})
	}
}
