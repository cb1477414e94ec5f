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

func newEntry(out io.Writer) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.JSONFormatter{})
	return logrus.NewEntry(l)
}

// blockedOutput blocks each write until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestBlockedOutputDoesNotBlockLogging guards against requests that wait for the log. If the output
// blocks, logging goes on and the lines that don't fit into the queue are counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	w := NewWriter(out)
	e := newEntry(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			e.Info("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the output")
	}
	assert.Assert(t, w.Dropped() >= maxQueuedLines)
	close(out.release)
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

// TestRefusalsHaveTheirOwnLimit guards against refusals that are dropped while there are too many
// ordinary decisions.
func TestRefusalsHaveTheirOwnLimit(t *testing.T) {
	out := &safeBuffer{}
	l := New(newEntry(out))
	for range 10 * burstLines {
		l.Decision("r1", "placed", nil)
	}
	for range burstLines / 2 {
		l.Refusal("r2", "no room", logrus.Fields{"status": 503})
	}
	assert.Equal(t, strings.Count(out.buf.String(), "no room"), burstLines/2)
	placed := strings.Count(out.buf.String(), "placed")
	assert.Assert(t, placed >= burstLines && placed < 2*burstLines, "%d", placed)
	assert.Equal(t, int(l.dropped.Load()), 10*burstLines-placed)
}

// TestCloseWritesQueuedLines guards against losing the last lines of a process that ends.
func TestCloseWritesQueuedLines(t *testing.T) {
	out := &safeBuffer{}
	w := NewWriter(out)
	e := newEntry(w)
	for range 100 {
		e.Info("line")
	}
	w.Close()
	assert.Equal(t, strings.Count(out.buf.String(), "line"), 100)
}

func BenchmarkDecision(b *testing.B) {
	l := New(newEntry(NewWriter(io.Discard)))
	l.decisions.SetLimit(1e9)
	b.ReportAllocs()
	for b.Loop() {
		l.Decision("9c41d07be2a35f68", "placed", logrus.Fields{"endpoint": "i-7f3a91c2", "attempt": 1, "configuration": 7, "events": 0})
	}
}

func BenchmarkDroppedDecision(b *testing.B) {
	l := New(newEntry(NewWriter(io.Discard)))
	l.decisions.SetLimit(0)
	l.decisions.SetBurst(0)
	b.ReportAllocs()
	for b.Loop() {
		l.Decision("9c41d07be2a35f68", "placed", logrus.Fields{"endpoint": "i-7f3a91c2", "attempt": 1})
	}
}

// TestLongIDsAreCut guards against memory and output that callers take up with the ids of their requests.
func TestLongIDsAreCut(t *testing.T) {
	out := &safeBuffer{}
	l := New(newEntry(out))
	l.Refusal(strings.Repeat("x", 60<<10), "no room", nil)
	assert.Assert(t, out.buf.Len() < 456, "%d bytes", out.buf.Len())
}

// TestQueueIsBoundedInBytes guards against long lines that wait for an output which is too slow.
func TestQueueIsBoundedInBytes(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	w := NewWriter(out)
	line := make([]byte, 64<<10)
	for range 100 {
		_, err := w.Write(line)
		assert.NilError(t, err)
	}
	assert.Equal(t, w.Dropped(), uint64(100-maxQueuedBytes/len(line)))
	close(out.release)
	w.Close()
}
