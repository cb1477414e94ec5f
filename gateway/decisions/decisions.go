// Package decisions logs a line for each decision that touches a request. Its volume is bounded, and
// it never blocks: lines beyond the budget, or that a slow reader of the output leaves no room for, are
// counted and left out. Refusals and failures have a budget of their own, so that they are kept when
// ordinary lines are not.
package decisions

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/agateway/agateway/gateway/pause"
)

// Budgets of lines a second. A line costs 5 us of processor time and one that is left out 0.2 us
// (BenchmarkDecision, BenchmarkLeftOut), so both budgets together cost 0.2% of a core.
const (
	ordinaryPerSecond = 200
	refusalsPerSecond = 200
	// burst is how many lines may come at once.
	burst = 400
)

// Log takes decisions. It is safe for concurrent use.
type Log struct {
	log                *logrus.Entry
	ordinary, refusals *rate.Limiter
	left               atomic.Uint64
}

// New returns a log that writes to log.
func New(log *logrus.Entry) *Log {
	return &Log{
		log: log, ordinary: rate.NewLimiter(ordinaryPerSecond, burst), refusals: rate.NewLimiter(refusalsPerSecond, burst),
	}
}

// Decision logs what was decided about a request, and from which inputs.
func (l *Log) Decision(request, what string, inputs logrus.Fields) {
	l.line(l.ordinary, logrus.InfoLevel, request, what, inputs)
}

// Refusal logs why a request was not served.
func (l *Log) Refusal(request, what string, inputs logrus.Fields) {
	l.line(l.refusals, logrus.WarnLevel, request, what, inputs)
}

func (l *Log) line(budget *rate.Limiter, level logrus.Level, request, what string, inputs logrus.Fields) {
	if !l.log.Logger.IsLevelEnabled(level) {
		return
	}
	if !budget.Allow() {
		l.left.Add(1)
		return
	}
	l.log.WithFields(inputs).WithField("request", request).Log(level, what)
}

// Run logs how many lines were left out, once a second, until ctx ends.
func (l *Log) Run(ctx context.Context) {
	pause.Every(ctx, time.Second, func() {
		if n := l.left.Swap(0); n > 0 {
			l.log.WithField("lines", n).Warn("decisions left out of the log")
		}
	})
}

// queueLines is how many lines wait for the reader of the output: about 256 kB.
const queueLines = 1024

// Writer passes lines on to an output that may be slow, without ever waiting for it.
type Writer struct {
	lines           chan []byte
	closed, written chan struct{}
	left            atomic.Uint64
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), closed: make(chan struct{}), written: make(chan struct{})}
	go w.run(out)
	return w
}

// run writes lines until the writer is closed, and then those that wait.
func (w *Writer) run(out io.Writer) {
	defer close(w.written)
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // where a log can't be written there is nobody to tell
		case <-w.closed:
			for len(w.lines) > 0 {
				_, _ = out.Write(<-w.lines)
			}
			return
		}
	}
}

// Write implements [io.Writer]. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.left.Add(1)
	}
	return len(line), nil
}

// Left returns how many lines the reader of the output left no room for.
func (w *Writer) Left() uint64 { return w.left.Load() }

// closeWait bounds the wait for the last lines.
const closeWait = 200 * time.Millisecond

// Close waits a short while until the lines so far are written. Lines after it are lost.
func (w *Writer) Close() {
	close(w.closed)
	t := time.NewTimer(closeWait)
	defer t.Stop()
	select {
	case <-w.written:
	case <-t.C:
	}
}
