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

// nowhere is a response writer that drops what is written.
type nowhere struct{ header http.Header }

func (n *nowhere) Header() http.Header         { return n.header }
func (n *nowhere) Write(b []byte) (int, error) { return len(b), nil }
func (n *nowhere) WriteHeader(int)             {}
func (n *nowhere) Flush()                      {}

// deaf is a response writer whose caller does not read any more.
type deaf struct{ nowhere }

func (*deaf) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestUnreadCallerIsNoticed: a write that fails ends the relay, and the stream is cancelled
// as for a caller that went away; it is not run to its end for nobody.
func TestUnreadCallerIsNoticed(t *testing.T) {
	s := testSession(t, &deaf{nowhere{http.Header{}}})
	r := &receiver{s: s, number: 1, endpoint: "engine-01"}
	r.Token(0, []byte(" a"))
	r.Token(1, []byte(" b"))
	select {
	case <-s.x.unread():
	default:
		t.Fatal("not noticed")
	}
}

func testSession(b testing.TB, w http.ResponseWriter) *session {
	set, err := settings.Parse([]byte(`[instance]
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
	d := &Deps{Settings: set, Scope: tally.NoopScope}
	d.prepare()
	x := &Exchange{
		W: w, Received: time.Now(), Deadline: time.Now().Add(time.Hour), Team: &config.Team{Name: "team"},
		Deployment: &config.Deployment{Name: "brief-llm"}, Generation: &GenerationRequest{Model: "brief-llm", Stream: true},
		entry: directory.Entry{Generation: "5f0e6a3e-0000-0000-0000-000000000000"},
	}
	s := newSession(d, x, d.request(x.Deployment, x.Generation))
	x.events = newEventStream(d, x)
	s.sink = newSink(x)
	s.timer, s.timerAt = time.AfterFunc(time.Hour, func() {}), time.Now()
	s.machine = generation.New(d.recovery, generation.Origin{}, true, 10, time.Now(), x.Deadline)
	s.machine.Ready()
	s.machine.Acked(time.Now(), 1, generation.Stream{Endpoint: "engine-01", ID: "engine-01-5f0e6a3e-1"}, 0, 0, 0)
	s.sink.attempt(s.place())
	return s
}

// BenchmarkToken measures what a token costs between the engine's connection and the
// caller's: the decision, the cursor and the event. The write itself goes nowhere.
func BenchmarkToken(b *testing.B) {
	s := testSession(b, &nowhere{http.Header{}})
	r := &receiver{s: s, number: 1, endpoint: "engine-01"}
	text := []byte(" token")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.Token(i, text)
		i++
	}
}

// TestVersionIsPinned: an engine that acknowledges another version than the answer began
// with is not relayed.
func TestVersionIsPinned(t *testing.T) {
	s := testSession(t, &nowhere{http.Header{}})
	for _, c := range []struct {
		version string
		want    bool
	}{{"1", true}, {"1", true}, {"2", false}, {"", true}, {"1", true}} {
		if got := s.pinVersion(&endpoint.Ack{Version: c.version}); got != c.want {
			t.Fatalf("version %q: %t", c.version, got)
		}
	}
}
