package pipeline

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/settings"
)

// discardWriter is a response writer that discards what is written.
type discardWriter struct{ header http.Header }

func (n *discardWriter) Header() http.Header         { return n.header }
func (n *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (n *discardWriter) WriteHeader(int)             {}
func (n *discardWriter) Flush()                      {}

// failingWriter is a response writer on which every write times out, as if the caller had stopped
// reading.
type failingWriter struct{ discardWriter }

func (*failingWriter) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestFailedWriteIsReported guards against a stream that runs on although its caller has stopped
// reading. A failed write has to close the writeFailed channel, on which the relay filter cancels
// the stream as it does for a caller that disconnected.
func TestFailedWriteIsReported(t *testing.T) {
	s := testSession(t, &failingWriter{discardWriter{http.Header{}}})
	r := &receiver{s: s, attempt: 1, endpoint: "engine-01"}
	r.Token(0, []byte(" a"))
	r.Token(1, []byte(" b"))
	select {
	case <-s.x.writeFailed():
	default:
		t.Fatal("the failed write was not reported")
	}
}

func testSession(b testing.TB, w http.ResponseWriter) *session {
	cfg, err := settings.Parse([]byte(`[instance]
id = a
data_centre = d
[platform]
url = http://10.0.0.1:1
[keys]
cursor = 0123456789abcdef
peer = 0123456789abcdef
operator_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
`))
	if err != nil {
		b.Fatal(err)
	}
	d := &Deps{Settings: cfg, Scope: tally.NoopScope}
	d.prepare()
	x := &Exchange{
		W: w, Received: time.Now(), Deadline: time.Now().Add(time.Hour), Team: &config.Team{Name: "team"},
		Deployment: &config.Deployment{Name: "brief-llm"}, Generation: &GenerationRequest{Model: "brief-llm", Stream: true},
		entry: directory.Entry{Generation: "5f0e6a3e-0000-0000-0000-000000000000"},
	}
	s := newSession(d, x, d.routingRequest(x.Deployment, x.Generation))
	x.events = newEventStream(d, x)
	s.sink = newSink(x)
	s.timer, s.timerAt = time.AfterFunc(time.Hour, func() {}), time.Now()
	s.machine = generation.New(d.recovery, generation.Origin{}, true, 10, time.Now(), x.Deadline)
	s.machine.Ready()
	s.machine.Acked(time.Now(), 1, generation.Stream{Endpoint: "engine-01", ID: "engine-01-5f0e6a3e-1"}, 0, 0, 0)
	s.sink.setAttempt(s.directoryEntry())
	return s
}

// BenchmarkToken measures the cost of a token between the engine's connection and the caller's: the
// machine, the cursor and the event. The written bytes are discarded.
func BenchmarkToken(b *testing.B) {
	s := testSession(b, &discardWriter{http.Header{}})
	r := &receiver{s: s, attempt: 1, endpoint: "engine-01"}
	text := []byte(" token")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.Token(i, text)
		i++
	}
}

// TestVersionIsPinned guards against an answer that mixes model versions. That would happen if an
// engine that acknowledges another version than the first one were relayed.
func TestVersionIsPinned(t *testing.T) {
	s := testSession(t, &discardWriter{http.Header{}})
	for _, c := range []struct {
		version string
		want    bool
	}{{"1", true}, {"1", true}, {"2", false}, {"", true}, {"1", true}} {
		if got := s.pinVersion(&endpoint.Ack{Version: c.version}); got != c.want {
			t.Fatalf("version %q: %t", c.version, got)
		}
	}
}
