package forward

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/liveness"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
	"github.com/agateway/agateway/platform"
)

// livenessRecords is what this instance has seen of its engines, and the questions to them that are
// in progress. The zero value is empty. It is safe for concurrent use.
type livenessRecords struct {
	mu        sync.Mutex
	tracker   liveness.Tracker
	questions map[string]*question
}

// question is a status request to an engine. Sessions that ask at the same time share it.
type question struct {
	done   chan struct{}
	answer engineAnswer
}

// engineAnswer is the outcome of a question to an engine.
type engineAnswer struct {
	state  generation.EngineState
	report platform.EngineReport
	err    error
	// asked is false if nothing was sent, since nothing may be sent to the engine now.
	asked bool
	// late is set if this process was paused while it waited.
	late bool
}

// returnedAfter is the time from which an answer shows that the engine was silent when it was asked
// and has just returned.
const returnedAfter = 100 * time.Millisecond

func (l *livenessRecords) recordAnswer(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Answered(time.Now(), id)
}

func (l *livenessRecords) lastAnswer(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.LastAnswer(id)
}

func (l *livenessRecords) answeredSince(id string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.AnsweredSince(id, since)
}

// wasSilent reports whether the last question to an engine was not answered, and nothing has come
// from it since.
func (l *livenessRecords) wasSilent(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Silent(id)
}

// hasAnswered reports whether there is evidence that an engine answers.
func (l *livenessRecords) hasAnswered(id string) bool { return l.hasEvidence(id) && !l.wasSilent(id) }

func (l *livenessRecords) hasEvidence(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.HasEvidence(time.Now(), id)
}

func (l *livenessRecords) evidence(ids []string) liveness.Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Evidence(time.Now(), ids)
}

func (l *livenessRecords) silentIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.SilentIDs(time.Now())
}

// ask returns the question to an engine that is in progress, or starts one.
func (f *Forwarder) ask(e *routing.Endpoint) *question {
	l := &f.liveness
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.questions[e.ID]; q != nil {
		return q
	}
	if l.questions == nil {
		l.questions = map[string]*question{}
	}
	q := &question{done: make(chan struct{})}
	l.questions[e.ID] = q
	engine := *e
	go func() {
		q.answer = f.query(f.shutdownCtx, &engine)
		l.mu.Lock()
		delete(l.questions, engine.ID)
		l.mu.Unlock()
		close(q.done)
	}()
	return q
}

// query asks an engine for its status on a new connection and records whether it answered.
func (f *Forwarder) query(ctx context.Context, e *routing.Endpoint) engineAnswer {
	ctx, cancel := context.WithTimeout(ctx, f.Settings.ProbeTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := f.fetchReport(ctx, e)
	took := time.Since(askedAt)
	a := engineAnswer{report: report, err: err, asked: true, late: f.ownDelay() > 0 && took >= f.Settings.ProbeTimeout+f.ownDelay()}
	switch {
	case err == nil && took < returnedAfter && !f.liveness.wasSilent(e.ID):
		a.state = generation.Working
	case err == nil:
		a.state = generation.Returned
	case errorx.IsOfType(err, ErrLimited), errorx.IsOfType(err, ErrWithheld):
		a.asked = false
	case errorx.IsOfType(err, ErrRefused):
		a.state = generation.Working
	case errorx.IsOfType(err, upstream.ErrGone):
		a.state = generation.Ended
	case errorx.IsOfType(err, upstream.ErrNotSent):
		a.state = generation.Unreachable
	default:
		a.state = generation.Silent
	}
	f.recordQuery(e, askedAt, &a)
	if err == nil {
		f.Placement.Answered(e.ID)
	}
	return a
}

func (f *Forwarder) recordQuery(e *routing.Endpoint, askedAt time.Time, a *engineAnswer) {
	if a.state == generation.Unreachable && !a.late {
		f.Reach.Failed(e.ID)
	}
	l, now := &f.liveness, time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !a.asked || a.late && a.err != nil:
	case a.err == nil || a.state == generation.Working:
		l.tracker.Answered(now, e.ID)
	default:
		l.tracker.Unanswered(now, askedAt, e.ID)
	}
}

// ownDelay is the delay of a timer from which this process counts as having been paused; 0 if that is
// switched off.
func (f *Forwarder) ownDelay() time.Duration {
	if f.Settings.Disabled.OwnPauses {
		return 0
	}
	return ownDelay
}

// ownDelay is longer than what a process with a small share of a processor waits for its turn.
const ownDelay = 150 * time.Millisecond

// await returns the answer to a question, or false if it takes longer than until due.
func (q *question) await(ctx context.Context, due <-chan time.Time) (engineAnswer, bool) {
	select {
	case <-q.done:
		return q.answer, true
	default:
	}
	select {
	case <-q.done:
		return q.answer, true
	case <-due:
	case <-ctx.Done():
	}
	return engineAnswer{}, false
}

// isWorking reports whether the engine answers within a time that it works.
func (q *question) isWorking(ctx context.Context, within time.Duration) bool {
	answer, ok := q.await(ctx, time.After(within))
	return ok && answer.asked && answer.state == generation.Working
}
