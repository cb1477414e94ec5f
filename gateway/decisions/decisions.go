// Package decisions logs a line for each decision about a request. It bounds the number of lines
// and never blocks the caller. Lines beyond the rate limit, and lines that the output is too slow
// for, are dropped and counted. Refusals and failures have a rate limit of their own, so that
// ordinary decisions don't crowd them out.
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

// Rate limits, in lines per second. A logged line costs 5 us of processor time and a dropped one
// 0.2 us (BenchmarkDecision, BenchmarkDroppedDecision), so both limits together cost 0.2% of a
// core.
const (
	decisionsPerSecond = 200
	refusalsPerSecond  = 200
	// burstLines is how many lines may be logged at once, for each of the two limits.
	burstLines = 400
)

// Log logs decisions. It is safe for concurrent use.
type Log struct {
	log                 *logrus.Entry
	decisions, refusals *rate.Limiter
	dropped             atomic.Uint64
}

// New returns a Log that writes to log.
func New(log *logrus.Entry) *Log {
	return &Log{
		log: log, decisions: rate.NewLimiter(decisionsPerSecond, burstLines), refusals: rate.NewLimiter(refusalsPerSecond, burstLines),
	}
}

// Decision logs a decision about a request and the inputs that it was based on. request is the id
// of the request.
func (l *Log) Decision(request, message string, inputs logrus.Fields) {
	l.writeLine(l.decisions, logrus.InfoLevel, request, message, inputs)
}

// Refusal logs why a request was not served. request is the id of the request.
func (l *Log) Refusal(request, message string, inputs logrus.Fields) {
	l.writeLine(l.refusals, logrus.WarnLevel, request, message, inputs)
}

func (l *Log) writeLine(limiter *rate.Limiter, level logrus.Level, request, message string, inputs logrus.Fields) {
	if !l.log.Logger.IsLevelEnabled(level) {
		return
	}
	if !limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.log.WithFields(inputs).WithField("request", request[:min(len(request), maxIDBytes)]).Log(level, message)
}

// maxIDBytes bounds the id of a request in a line. Callers choose their ids.
const maxIDBytes = 128

// Run logs the number of dropped lines once a second, if there are any, until ctx ends.
func (l *Log) Run(ctx context.Context) {
	pause.Every(ctx, time.Second, func() {
		if n := l.dropped.Swap(0); n > 0 {
			l.log.WithField("lines", n).Warn("decisions left out of the log")
		}
	})
}

// Bounds of what waits for the output. Lines of usual length take about 256 kB.
const (
	maxQueuedLines = 1024
	maxQueuedBytes = 1 << 20
)

// Writer passes lines on to an output that may be slow, without ever blocking. It is safe for
// concurrent use.
type Writer struct {
	lines           chan []byte
	closed, written chan struct{}
	queued          atomic.Int64 // bytes of lines
	dropped         atomic.Uint64
}

// NewWriter returns a writer to out. It starts a goroutine, which [Writer.Close] ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), written: make(chan struct{})}
	go w.run(out)
	return w
}

// run writes lines until the writer is closed, and then the queued ones.
func (w *Writer) run(out io.Writer) {
	defer close(w.written)
	for {
		select {
		case line := <-w.lines:
			w.writeTo(out, line)
		case <-w.closed:
			for len(w.lines) > 0 {
				w.writeTo(out, <-w.lines)
			}
			return
		}
	}
}

func (w *Writer) writeTo(out io.Writer, line []byte) {
	_, _ = out.Write(line) // an error can't be reported, since the log itself fails
	w.queued.Add(-int64(len(line)))
}

// Write implements [io.Writer]. It always succeeds; it drops and counts the line if the queue is
// full.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queued.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns how many lines were dropped because the output was too slow.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// closeTimeout bounds the wait for the last lines.
const closeTimeout = 200 * time.Millisecond

// Close waits until the queued lines are written, for at most closeTimeout. Lines that are written
// later are lost. It must be called once.
func (w *Writer) Close() {
	close(w.closed)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-w.written:
	case <-t.C:
	}
}
