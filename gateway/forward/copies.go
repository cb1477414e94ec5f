package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/copies"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/platform"
)

// A copy of the memory of each stream is kept at an engine of another data centre, so that it
// survives the loss of a whole data centre. Resuming from a copy takes some tens of milliseconds,
// whereas prefilling a prompt of 8,000 tokens again takes a second.

const (
	// copyRenewDivisor sets the renewal interval: the time that an engine keeps a copy, divided by
	// this.
	copyRenewDivisor = 2
	// copyRetryDelay is the delay before another copy is requested after one failed or was lost.
	copyRetryDelay = 300 * time.Millisecond
	// copyCheckInterval is how often the engine that holds a copy is checked.
	copyCheckInterval = 150 * time.Millisecond
	// copyTimeout bounds a copy. 1.3 GB take 10 ms on an idle link, but copies queue behind others.
	copyTimeout = 700 * time.Millisecond
	// freeCopyTimeout bounds the call that frees a copy.
	freeCopyTimeout = 300 * time.Millisecond
)

// engineSpec returns the description of the engines of the session's service; nil when the service
// has no engines.
func (s *session) engineSpec() *route.Engine {
	if service := s.req.table.Service(s.req.service); service != nil {
		return service.Engine
	}
	return nil
}

func (s *session) copySettings() copies.Settings {
	settings := copies.Settings{RetryDelay: copyRetryDelay}
	if e := s.engineSpec(); e != nil && e.CopiesOnRequest && !s.f.Settings.Disabled.Copies {
		settings.RefreshInterval = e.CopyTTL / copyRenewDivisor
	}
	return settings
}

// placeCopy picks the engine that keeps a copy of a run that is about to start, and returns its
// address. It returns an empty string when the engines do not support continuous copies or none has
// room.
func (s *session) placeCopy(a *attempt) string {
	tracker := s.trackerFor(a)
	target := s.continuousCopyEngine(&a.endpoint)
	if target == nil {
		tracker.RunStarted(time.Now(), copies.Holder{})
		return ""
	}
	tracker.RunStarted(time.Now(), copies.Holder{Endpoint: target.ID, Address: target.Address})
	if a.contender {
		a.copyEngineID = target.ID
		s.f.Placement.Place(target.ID, s.copyPlaced())
	} else {
		s.accountCopy(target.ID)
	}
	return target.Address
}

// trackerFor returns the tracker of the copy of an attempt's run. A contender has its own until it
// becomes the current attempt.
func (s *session) trackerFor(a *attempt) *copies.Tracker {
	if !a.contender {
		return s.copies
	}
	a.copies = copies.New(s.copySettings())
	return a.copies
}

// continuousCopyEngine returns the engine that keeps a copy of a run at e while it grows; nil for none.
func (s *session) continuousCopyEngine(e *routing.Endpoint) *routing.Endpoint {
	engine := s.engineSpec()
	if engine == nil || !engine.ContinuousCopies || s.f.Settings.Disabled.Copies {
		return nil
	}
	return s.pickCopyEngine(e)
}

// copyEngineOf returns the engine at which the copy of an attempt's run is accounted; empty for none.
func (s *session) copyEngineOf(a *attempt) string {
	if a.contender {
		return a.copyEngineID
	}
	return s.copyEngineID
}

// adoptCopy makes the copy of an attempt that was a contender the session's.
func (s *session) adoptCopy(a *attempt) {
	s.accountCopy("")
	s.copies, s.copyEngineID = a.copies, a.copyEngineID
}

// dropContenderCopy releases what the copy of a contender that did not become current occupies. If the
// contender was sent, it has used up the copy that it was to resume from.
func (s *session) dropContenderCopy(a *attempt) {
	if a.copyEngineID != "" {
		s.f.Placement.Release(a.copyEngineID, s.copyPlaced())
		s.f.Peers.Freed(a.copyEngineID)
		a.copyEngineID = ""
	}
	if a.sent && a.resumesFromCopy() {
		s.copies.EngineLost(time.Now(), a.resumeFrom.Endpoint)
		s.accountCopy("")
	}
}

// pickCopyEngine chooses an engine for a copy of a run at e: in another data centre, or in the same
// one when no other has room. It returns nil when no engine has room.
func (s *session) pickCopyEngine(e *routing.Endpoint) *routing.Endpoint {
	r := s.routingRequest()
	r.Avoid, r.ExcludeDataCentre, r.Copy, r.Weights = []string{e.ID}, e.DataCentre, true, copyWeights()
	r.Builds, r.RequestsWaiting = s.f.Rollouts.CopyBuilds(s.req.service), s.f.lackedRoom(s.req.service)
	r.WillMoveToCopy = r.Builds.Only != ""
	if s.f.Settings.Disabled.CopyElsewhere {
		r.ExcludeDataCentre = ""
	}
	d, err := s.f.Placement.Pick(r)
	if err != nil {
		r.ExcludeDataCentre = ""
		d, err = s.f.Placement.Pick(r)
	}
	if err != nil {
		return nil
	}
	return &d.Endpoint
}

// copyWeights ranks engines for a copy: by free memory, and by load, since a stream that resumes
// there runs beside the streams of that engine.
func copyWeights() routing.Weights { return routing.Weights{Load: 0.5, Memory: 1} }

// accountCopy moves the accounting of the copy's memory to an engine; an empty id only releases it.
func (s *session) accountCopy(endpoint string) {
	if s.copyEngineID != "" {
		s.f.Placement.Release(s.copyEngineID, s.copyPlaced())
		s.f.Peers.Freed(s.copyEngineID)
	}
	s.copyEngineID = endpoint
	if endpoint != "" {
		s.f.Placement.Place(endpoint, s.copyPlaced())
	}
}

func (s *session) copyPlaced() routing.Placed { return routing.Placed{Tokens: s.peakTokens()} }

// useCopy returns the engine that holds the copy, to resume there. It returns nil when there is no
// copy or its engine can't be used. Nothing is copied before the first event.
func (s *session) useCopy(avoid []string) *engineChoice {
	holder, ok := s.copies.Holder()
	s.accountCopy("")
	if !ok || s.relayedEvents == 0 || slices.Contains(avoid, holder.Endpoint) {
		return nil
	}
	e, ok := s.f.Placement.Get(holder.Endpoint)
	if !ok || e.State != routing.Live || s.f.Rollouts.RolledBack(&e) {
		return nil
	}
	lease, err := s.f.claimResumption(s.ctx, e.ID)
	if err != nil {
		s.f.Log.Decision(s.req.ID, "copy not used", logrus.Fields{"endpoint": e.ID, "error": err.Error()})
		return nil
	}
	return &engineChoice{endpoint: &e, lease: lease, resumeFrom: holder}
}

// dropCopy forgets the copy of a run that did not start.
func (s *session) dropCopy() {
	s.copies.RunEnded()
	if h, ok := s.copies.Holder(); ok {
		s.copies.EngineLost(time.Now(), h.Endpoint)
	}
	s.accountCopy("")
}

// restoreCopy restores the copy that an unsent run was to resume from; zero when the run was to
// prefill its prompt. The engine chosen for the new run's copy holds none.
func (s *session) restoreCopy(resumeFrom copies.Holder) {
	s.dropCopy()
	if resumeFrom != (copies.Holder{}) {
		s.copies.RunStarted(time.Now(), resumeFrom)
		s.accountCopy(resumeFrom.Endpoint)
	}
}

// maintainCopy checks the engine that holds the copy, and requests another copy when one is due.
func (s *session) maintainCopy(now time.Time) {
	if now.Sub(s.copyCheckedAt) >= copyCheckInterval {
		s.copyCheckedAt = now
		if h, ok := s.copies.Holder(); ok && !s.f.Placement.Usable(h.Endpoint) {
			s.f.Log.Decision(s.req.ID, "copy lost", logrus.Fields{"endpoint": h.Endpoint, "events": s.relayedEvents})
			s.copies.EngineLost(now, h.Endpoint)
			s.accountCopy("")
		}
		s.followRollout(now)
	}
	if !s.canCopy() {
		return
	}
	if c, due := s.copies.Tick(now); due {
		s.requestCopy(s.currentAttempt(), c)
	}
}

// canCopy reports whether the current engine has memory of the run to copy, which it has from the
// first event on.
func (s *session) canCopy() bool {
	a := s.currentAttempt()
	return a != nil && a.helper == nil && a.hasEvent && !a.ended && !s.machine.Suspects()
}

// requestCopy asks the engine of an attempt to copy the run's memory.
func (s *session) requestCopy(a *attempt, c copies.Request) {
	to := s.copyTarget(a, c)
	if to == nil {
		if s.copies.Failures() == 0 {
			s.f.Log.Decision(s.req.ID, "no engine for a copy", logrus.Fields{"endpoint": a.endpoint.ID, "events": s.relayedEvents, "to": c.Target})
		}
		s.copies.CopyEnded(time.Now(), copies.Holder{})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, copyTimeout)
		defer cancel()
		handle, err := s.f.copyMemory(ctx, s.req.ID, &a.endpoint, to)
		m := message{kind: attemptCopied, err: err}
		if err == nil {
			m.holder = copies.Holder{Endpoint: to.ID, Address: a.endpoint.Address, Handle: handle}
		}
		a.report(s.ctx, m)
	}()
}

// copyTarget returns the engine to copy to: the current holder, since only new data has to move
// there, or else a newly picked one.
func (s *session) copyTarget(a *attempt, c copies.Request) *routing.Endpoint {
	if c.Target == "" {
		return s.pickCopyEngine(&a.endpoint)
	}
	e, ok := s.f.Placement.Get(c.Target)
	if !ok {
		return nil
	}
	return &e
}

func (f *Forwarder) copyMemory(ctx context.Context, id string, from, to *routing.Endpoint) (string, error) {
	body, err := platform.EncodeCopyRequest(id, to.Address)
	if err != nil {
		return "", err
	}
	raw, err := f.callEngine(ctx, from, http.MethodPost, platform.CopyPath, body)
	if err != nil {
		return "", err
	}
	return platform.DecodeCopyHandle(raw)
}

// handleCopyResult handles the end of a requested copy.
func (s *session) handleCopyResult(now time.Time, m message) {
	if a := s.currentAttempt(); a == nil || a.number != m.attempt {
		return
	}
	s.f.Log.Decision(s.req.ID, "copied", logrus.Fields{"from": m.endpoint, "to": m.holder.Endpoint, "events": s.relayedEvents, "error": errorText(m.err)})
	s.copies.CopyEnded(now, m.holder)
	s.machine.AllowEndpoint(m.holder.Endpoint)
	s.accountCopy(m.holder.Endpoint)
}

// freeCopy frees the copy of a run that completed. An engine that kept a copy continuously frees it
// itself.
func (s *session) freeCopy() {
	h, ok := s.copies.Holder()
	a := s.currentAttempt()
	s.accountCopy("")
	if !ok || h.Handle == "" || a == nil || a.helper != nil {
		return
	}
	f, e := s.f, a.endpoint
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeCopyTimeout)
		defer cancel()
		// The engine drops a copy that is not freed after its TTL.
		if _, err := f.callEngine(ctx, &e, http.MethodDelete, platform.FreeCopyPath(h.Handle), nil); err != nil {
			f.Log.Decision(s.req.ID, "copy not freed", logrus.Fields{"endpoint": e.ID, "error": err.Error()})
		}
	}()
}

// releaseCopyLater releases the accounting of the copy of a run that did not complete after the
// copy's TTL, since the engine keeps it until then.
func (s *session) releaseCopyLater() {
	if s.copyEngineID == "" || s.engineSpec() == nil {
		return
	}
	f, engineID, placed := s.f, s.copyEngineID, s.copyPlaced()
	s.copyEngineID = ""
	time.AfterFunc(s.engineSpec().CopyTTL, func() {
		f.Placement.Release(engineID, placed)
		f.Peers.Freed(engineID)
	})
}
