package decisions

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

func entry(out io.Writer) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.JSONFormatter{})
	return logrus.NewEntry(l)
}

// stuck is an output that nobody reads.
type stuck struct{ hold chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.hold
	return len(b), nil
}

// TestAReaderThatStopsLosesLinesNotRequests: logging goes on at once, and what did not fit is counted.
func TestAReaderThatStopsLosesLinesNotRequests(t *testing.T) {
	out := stuck{make(chan struct{})}
	w := NewWriter(out)
	e := entry(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			e.Info("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the reader")
	}
	assert.Assert(t, w.Left() >= queueLines)
	close(out.hold)
	w.Close()
}

type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// TestRefusalsAreKept: a flood of ordinary lines uses up its own budget only.
func TestRefusalsAreKept(t *testing.T) {
	out := &safeBuffer{}
	l := New(entry(out))
	for range 10 * burst {
		l.Decision("r1", "placed", nil)
	}
	for range burst / 2 {
		l.Refusal("r2", "no room", logrus.Fields{"status": 503})
	}
	assert.Equal(t, strings.Count(out.buf.String(), "no room"), burst/2)
	placed := strings.Count(out.buf.String(), "placed")
	assert.Assert(t, placed >= burst && placed < 2*burst, "%d", placed)
	assert.Equal(t, int(l.left.Load()), 10*burst-placed)
}

func TestAllIsWrittenBeforeTheEnd(t *testing.T) {
	out := &safeBuffer{}
	w := NewWriter(out)
	e := entry(w)
	for range 100 {
		e.Info("line")
	}
	w.Close()
	assert.Equal(t, strings.Count(out.buf.String(), "line"), 100)
}

func BenchmarkDecision(b *testing.B) {
	l := New(entry(NewWriter(io.Discard)))
	l.ordinary.SetLimit(1e9)
	b.ReportAllocs()
	for b.Loop() {
		l.Decision("9c41d07be2a35f68", "placed", logrus.Fields{"endpoint": "i-7f3a91c2", "attempt": 1, "configuration": 7, "events": 0})
	}
}

func BenchmarkLeftOut(b *testing.B) {
	l := New(entry(NewWriter(io.Discard)))
	l.ordinary.SetLimit(0)
	l.ordinary.SetBurst(0)
	b.ReportAllocs()
	for b.Loop() {
		l.Decision("9c41d07be2a35f68", "placed", logrus.Fields{"endpoint": "i-7f3a91c2", "attempt": 1})
	}
}
