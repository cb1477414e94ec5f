package crashes

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/gateway/pause"
)

const (
	// begunWindow is how long a request counts as just begun: from the head of its answer, unless
	// the first event comes earlier. A crash in that time is strong evidence against the request,
	// since a usual stream spends only some tens of milliseconds in this state.
	begunWindow = 500 * time.Millisecond
	// ProgressAfter is how long a stream has to run for its request to be cleared. After
	// TrialDuration its trial is over, since a request that crashes its engine has done so by then.
	ProgressAfter = time.Second
	TrialDuration = 250 * time.Millisecond
	// staleConnectionWindow bounds how soon a request is lost on a reused connection whose endpoint
	// crashed before the request was sent. A loss within it is not attributed to the request.
	staleConnectionWindow = 20 * time.Millisecond
	// failureReportWait is how long to wait for reports of other failures in the data centre,
	// before a crash is attributed to a request.
	failureReportWait = 500 * time.Millisecond
	// coincidenceLookback is how long before a crash other endpoints of the data centre may have
	// failed to count as lost together with it.
	coincidenceLookback = 100 * time.Millisecond
	// silenceConfirmWait is how long after the first check, and after failureReportWait, a silent endpoint
	// is checked again. One that was paused or cut off for a moment is reached then.
	silenceConfirmWait = 500 * time.Millisecond
	// silenceLookback is how long before a silence was noticed other endpoints may have failed to share it.
	// Silences that begin together are noticed this far apart at most.
	silenceLookback = 300 * time.Millisecond
	// maxSilentTogether is how many endpoints of a service may fail together before their silence is
	// shared. It is less than what makes a team harmful; see [crashers.Settings]. In a service of many
	// endpoints it is 1/silentShareDivisor of them.
	maxSilentTogether  = 3
	silentShareDivisor = 20
	// maxPending bounds the crashes that are being attributed in the background.
	maxPending = 64
)

// Loss describes a request that was lost with its endpoint, and how far the endpoint was with it.
type Loss struct {
	Request crashers.Request
	// ID is the id of the caller's attempt, for the log.
	ID                string
	Endpoint, Service string
	// SentAt is when the request was sent, HeadAt when the head of its answer arrived, and
	// FirstEventAt when its first event arrived; the first part of a plain body counts as an event.
	// HeadAt and FirstEventAt are zero if they did not arrive.
	SentAt, HeadAt, FirstEventAt time.Time
	// Reused reports whether the connection had served another request before.
	Reused bool
	// ServedBefore reports whether the caller had been served for a while before the request was
	// sent to this endpoint.
	ServedBefore bool
	// Async makes Attribute return before it has found out anything. It is set if the caller
	// already has events and must not wait.
	Async bool
}

// phase returns how far the endpoint was with the request if it crashed at the given time. It
// returns 0 if the crash says nothing about the request.
func (l *Loss) phase(at time.Time) crashers.Phase {
	switch {
	case l.ServedBefore, !l.FirstEventAt.IsZero() && at.Sub(l.FirstEventAt) >= ProgressAfter:
		return crashers.Late
	case !l.HeadAt.IsZero() && l.FirstEventAt.IsZero() && at.Sub(l.HeadAt) <= begunWindow:
		return crashers.Begun
	case l.Reused && at.Sub(l.SentAt) <= staleConnectionWindow:
		return 0
	}
	return crashers.Present
}

// Attributor decides whether a request caused the crash of an endpoint. It is safe for concurrent
// use.
type Attributor struct {
	// Record receives each crash that is attributed to a request; nil disables attribution.
	Record func(req crashers.Request, crash crashers.Crash, inputs logrus.Fields)
	// HasCrashed reports whether an endpoint's process is gone, although it was not told to leave.
	HasCrashed func(endpoint string) bool
	// Unreachable reports whether an endpoint that was not told to leave refuses or ignores
	// connections; nil if silence is not to be attributed.
	Unreachable func(endpoint string) bool
	// DataCentreFailures returns the number of endpoints in the data centre of an endpoint, and how
	// many of them failed last between from and to.
	DataCentreFailures func(endpoint string, from, to time.Time) (failed, all int)
	// ServiceFailures returns the same of the service of an endpoint; nil if silence is not to be
	// attributed.
	ServiceFailures func(endpoint string, from, to time.Time) (failed, all int)

	pending atomic.Int64 // crashes that are being attributed in the background
}

// Attribute finds out whether an endpoint crashed, and if so records the crash for the request that
// it lost. losses are those of the same attempt of the caller.
//
// If the request had just begun, or the attempt lost an endpoint before, Attribute returns only
// after it has found out whether the process is gone, so that the request is not sent to another
// endpoint before that. It also returns when ctx ends, or if too many crashes are pending.
func (a *Attributor) Attribute(ctx context.Context, losses *Losses, l Loss) {
	at := time.Now()
	phase := l.phase(at)
	if phase == 0 || a.Record == nil {
		return
	}
	if l.Async {
		l.Async = false
		go a.Attribute(context.Background(), losses, l)
		return
	}
	crash := crashers.Crash{Endpoint: l.Endpoint, Service: l.Service, Phase: phase, Sent: l.SentAt, At: at}
	if phase == crashers.Begun {
		if a.HasCrashed(l.Endpoint) {
			a.Record(l.Request, crash, logrus.Fields{"request": l.ID})
			return
		}
		a.attributeUnreachable(&l, crash)
		return
	}
	done := a.attributeAsync(&l, crash, a.HasCrashed, func(inputs logrus.Fields) {
		losses.add(&crash, func() { a.Record(l.Request, crash, inputs) })
	})
	if done == nil || losses.count.Add(1) == 1 {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// AttributeSilence checks whether an endpoint that fell silent between the head of its answer and
// the first event can still be reached, and counts it as crashed if it can't for a while and did not
// fall silent together with many others of its service. Silence at any other moment is ignored, since
// it has too many causes.
func (a *Attributor) AttributeSilence(l Loss) {
	if a.Record == nil || l.ServedBefore || l.HeadAt.IsZero() || !l.FirstEventAt.IsZero() {
		return
	}
	if a.Unreachable == nil {
		return
	}
	crash := crashers.Crash{Endpoint: l.Endpoint, Service: l.Service, Phase: crashers.Begun, Sent: l.SentAt, At: time.Now()}
	a.attributeAsync(&l, crash, a.Unreachable, func(inputs logrus.Fields) {
		if a.silenceIsOwn(&crash, inputs) {
			inputs["unreachable"] = true
			a.Record(l.Request, crash, inputs)
		}
	})
}

// silenceIsOwn reports whether an unreachable endpoint stays unreachable, and few others of its service
// failed with it. It adds the inputs of that decision, and waits for silenceConfirmWait.
func (a *Attributor) silenceIsOwn(crash *crashers.Crash, inputs logrus.Fields) bool {
	failed, all := a.ServiceFailures(crash.Endpoint, crash.At.Add(-silenceLookback), time.Now())
	inputs["failed_in_service"], inputs["endpoints_in_service"] = failed, all
	if failed > max(maxSilentTogether, all/silentShareDivisor) {
		return false
	}
	pause.For(context.Background(), silenceConfirmWait)
	return a.Unreachable(crash.Endpoint)
}

// attributeUnreachable records a crash in the background, if the endpoint is unreachable.
func (a *Attributor) attributeUnreachable(l *Loss, crash crashers.Crash) {
	if a.Unreachable == nil {
		return
	}
	a.attributeAsync(l, crash, a.Unreachable, func(inputs logrus.Fields) {
		inputs["unreachable"] = true
		a.Record(l.Request, crash, inputs)
	})
}

// attributeAsync reports a crash in the background, if the endpoint is gone and did not fail
// together with most of its data centre. It returns a channel that is closed once that is decided.
// It returns nil if too many crashes are pending; the crash is then not reported.
func (a *Attributor) attributeAsync(l *Loss, crash crashers.Crash, gone func(endpoint string) bool, report func(inputs logrus.Fields)) chan struct{} {
	if a.pending.Add(1) > maxPending {
		a.pending.Add(-1)
		return nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer a.pending.Add(-1)
		if gone(crash.Endpoint) {
			if inputs, ok := a.isolated(l, crash); ok {
				report(inputs)
			}
		}
	}()
	return done
}

// isolated reports whether an endpoint crashed by itself, not together with most of its data
// centre. It also returns the inputs of that decision. It waits for failureReportWait.
func (a *Attributor) isolated(l *Loss, crash crashers.Crash) (inputs logrus.Fields, ok bool) {
	pause.For(context.Background(), failureReportWait)
	failed, all := a.DataCentreFailures(crash.Endpoint, crash.At.Add(-coincidenceLookback), crash.At.Add(failureReportWait))
	return logrus.Fields{"request": l.ID, "failed_nearby": failed, "endpoints_nearby": all}, 2*failed < all || failed <= 1
}
