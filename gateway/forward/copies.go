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

// A copy of the memory of each stream is kept at an engine of another data centre, so that the loss of a
// whole data centre leaves it. Going on from a copy takes some tens of milliseconds, where reading a
// prompt of 8,000 tokens again takes a second.

const (
	// renewParts is the part of the time that an engine keeps a copy after which it is renewed.
	renewParts = 2
	// copyRetry is the pause before another copy is asked for.
	copyRetry = 300 * time.Millisecond
	// copyCheck is how often the engine that holds a copy is looked at.
	copyCheck = 150 * time.Millisecond
	// copyTimeout bounds a copy: 1.3 GB take 10 ms on an idle link, and wait behind others.
	copyTimeout = 700 * time.Millisecond
	// freeTimeout bounds giving a copy back.
	freeTimeout = 300 * time.Millisecond
)

// engine describes the engines of the session's service; nil where they are none.
func (s *session) engine() *route.Engine {
	if service := s.req.table.Service(s.req.service); service != nil {
		return service.Engine
	}
	return nil
}

func (s *session) copySettings() copies.Settings {
	set := copies.Settings{RetryDelay: copyRetry}
	if e := s.engine(); e != nil && e.CopiesOnRequest && !s.f.Settings.Without.Copies {
		set.RefreshInterval = e.CopyTTL / renewParts
	}
	return set
}

// placeCopy picks the engine that keeps a copy of a run that is about to begin at e, and returns its
// address; empty when the engines can't do that or none has room.
func (s *session) placeCopy(e *routing.Endpoint) string {
	now := time.Now()
	engine := s.engine()
	if engine == nil || !engine.ContinuousCopies || s.f.Settings.Without.Copies {
		s.copies.RunStarted(now, copies.Holder{})
		return ""
	}
	at := s.pickCopy(e)
	if at == nil {
		s.copies.RunStarted(now, copies.Holder{})
		return ""
	}
	s.copies.RunStarted(now, copies.Holder{Endpoint: at.ID, Address: at.Address})
	s.account(at.ID)
	return at.Address
}

// pickCopy chooses an engine for a copy of a run at e: in another data centre, or in the same where no
// other one has room. It returns nil when there is none at all.
func (s *session) pickCopy(e *routing.Endpoint) *routing.Endpoint {
	r := s.request()
	r.Avoid, r.ExcludeDataCentre, r.Copy, r.Weights = []string{e.ID}, e.DataCentre, true, copyWeights()
	r.Builds, r.RequestsWaiting = s.f.Rollouts.CopyBuilds(s.req.service), s.f.short(s.req.service)
	r.WillMoveToCopy = r.Builds.Only != ""
	if s.f.Settings.Without.CopyElsewhere {
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

// copyWeights ranks engines that may keep a copy: by the memory that is left, and by load, since a
// stream that goes on there runs beside what is there.
func copyWeights() routing.Weights { return routing.Weights{Load: 0.5, Memory: 1} }

// account records what the copy takes at an engine; empty for none.
func (s *session) account(endpoint string) {
	if s.copyAt != "" {
		s.f.Placement.Release(s.copyAt, s.copyPlaced())
		s.f.Others.Freed(s.copyAt)
	}
	s.copyAt = endpoint
	if endpoint != "" {
		s.f.Placement.Place(endpoint, s.copyPlaced())
	}
}

func (s *session) copyPlaced() routing.Placed { return routing.Placed{Tokens: s.tokens()} }

// takeCopy returns the engine with the copy, to go on there; nil when there is none or it failed.
// Nothing is copied before the first event.
func (s *session) takeCopy(avoid []string) (*routing.Endpoint, copies.Holder) {
	holder, ok := s.copies.Holder()
	s.account("")
	if !ok || s.relayed == 0 || slices.Contains(avoid, holder.Endpoint) {
		return nil, copies.Holder{}
	}
	e, ok := s.f.Placement.Get(holder.Endpoint)
	if !ok || e.State != routing.Live || s.f.Rollouts.RolledBack(&e) {
		return nil, copies.Holder{}
	}
	return &e, holder
}

// dropCopy forgets the copy of a run that did not begin.
func (s *session) dropCopy() {
	s.copies.RunEnded()
	if h, ok := s.copies.Holder(); ok {
		s.copies.EngineLost(time.Now(), h.Endpoint)
	}
	s.account("")
}

// restoreCopy takes back the copy from which a run was to go on that was not sent; the zero holder where it was to read
// its prompt. The engine chosen for the copy of that run has none.
func (s *session) restoreCopy(from copies.Holder) {
	s.dropCopy()
	if from != (copies.Holder{}) {
		s.copies.RunStarted(time.Now(), from)
		s.account(from.Endpoint)
	}
}

// renewCopy looks after the engine that holds the copy, and asks for another copy when one is due.
func (s *session) renewCopy(now time.Time) {
	if now.Sub(s.checkedAt) >= copyCheck {
		s.checkedAt = now
		if h, ok := s.copies.Holder(); ok && !s.f.Placement.Usable(h.Endpoint) {
			s.f.Log.Decision(s.req.ID, "copy lost", logrus.Fields{"endpoint": h.Endpoint, "events": s.relayed})
			s.copies.EngineLost(now, h.Endpoint)
			s.account("")
		}
		s.followRollout(now)
	}
	if !s.copiable() {
		return
	}
	if c, due := s.copies.Tick(now); due {
		s.copy(s.current(), c)
	}
}

// copiable tells whether an engine has memory of the run to copy: from its first event on.
func (s *session) copiable() bool {
	a := s.current()
	return a != nil && a.began && !a.over
}

// copy asks the engine of an attempt for a copy of its memory.
func (s *session) copy(a *attempt, c copies.Request) {
	to := s.copyTarget(a, c)
	if to == nil {
		s.f.Log.Decision(s.req.ID, "no engine for a copy", logrus.Fields{"endpoint": a.endpoint.ID, "events": s.relayed, "to": c.Target})
		s.copies.CopyEnded(time.Now(), copies.Holder{})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, copyTimeout)
		defer cancel()
		handle, err := s.f.copyRun(ctx, s.req.ID, &a.endpoint, to)
		m := message{kind: attemptCopied, err: err}
		if err == nil {
			m.holder = copies.Holder{Endpoint: to.ID, Address: a.endpoint.Address, Handle: handle}
		}
		a.tell(s.ctx, m)
	}()
}

// copyTarget returns the engine to copy to: the one that holds a copy already, since only what is new
// moves there, or another one.
func (s *session) copyTarget(a *attempt, c copies.Request) *routing.Endpoint {
	if c.Target == "" {
		return s.pickCopy(&a.endpoint)
	}
	e, ok := s.f.Placement.Get(c.Target)
	if !ok {
		return nil
	}
	return &e
}

func (f *Forwarder) copyRun(ctx context.Context, id string, from, to *routing.Endpoint) (string, error) {
	body, err := platform.EncodeCopy(id, to.Address)
	if err != nil {
		return "", err
	}
	raw, err := f.ask(ctx, from, http.MethodPost, platform.CopyPath, body)
	if err != nil {
		return "", err
	}
	return platform.DecodeCopy(raw)
}

// copied takes the end of a copy that was asked for.
func (s *session) copied(now time.Time, m message) {
	if a := s.current(); a == nil || a.number != m.attempt {
		return
	}
	s.f.Log.Decision(s.req.ID, "copied", logrus.Fields{"from": m.endpoint, "to": m.holder.Endpoint, "events": s.relayed, "error": errorText(m.err)})
	s.copies.CopyEnded(now, m.holder)
	s.account(m.holder.Endpoint)
}

// freeCopy gives the copy of a run that ended well back. A copy that the engine kept by itself is freed
// by it.
func (s *session) freeCopy() {
	h, ok := s.copies.Holder()
	a := s.current()
	s.account("")
	if !ok || h.Handle == "" || a == nil {
		return
	}
	f, e := s.f, a.endpoint
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		// What is not given back is dropped after a while.
		if _, err := f.ask(ctx, &e, http.MethodDelete, platform.FreePath(h.Handle), nil); err != nil {
			f.Log.Decision(s.req.ID, "copy not given back", logrus.Fields{"endpoint": e.ID, "error": err.Error()})
		}
	}()
}

// leaveCopy accounts for a copy whose run did not end well: it stays for a while.
func (s *session) leaveCopy() {
	if s.copyAt == "" || s.engine() == nil {
		return
	}
	f, at, placed := s.f, s.copyAt, s.copyPlaced()
	s.copyAt = ""
	time.AfterFunc(s.engine().CopyTTL, func() {
		f.Placement.Release(at, placed)
		f.Others.Freed(at)
	})
}
