package soak

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of what pauses of endpoints may cause.
const (
	// sideBySideWithin is how long a request may run at two endpoints at once.
	sideBySideWithin = 400*time.Millisecond + sideBySideMargin
	sideBySideMargin = 100 * time.Millisecond
	// Pauses of one endpoint, or of isolatedShare of a service or less, are isolated: their streams may all
	// be prefilled again. Of the streams that run when other pauses begin, prefilledAgainShare may be, as
	// those at a paused engine stay there unless an engine that answers has their copy. Beside pauses of
	// broadShare or more the silence is certainly shared, and prefilledAgainShareBroad may be.
	isolatedShare, broadShare                     = 0.1, 0.4
	prefilledAgainShare, prefilledAgainShareBroad = 0.1, 0.05
	// prefilledAgainSlack is how many more may be prefilled again in a soak, as shares of few streams
	// vary.
	prefilledAgainSlack = 2
	// ownPauseShare is the share of its streams that an instance may move or doubt within ownPauseEffect
	// after it was paused itself, and ownPauseSlack how many more. For each that it doubts it may ask
	// questionsPerStream endpoints.
	ownPauseShare      = 0.1
	ownPauseSlack      = 1
	ownPauseEffect     = 300 * time.Millisecond
	questionsPerStream = 7
	// prefilledWithin is how long after a pause a prefill may still be due to it.
	prefilledWithin = 500 * time.Millisecond
)

// checkEndpointPauses checks what pauses of endpoints have done to requests. runs holds the runs of each call.
func (s *soak) checkEndpointPauses(runs map[string][]workerRun) {
	p := &s.env.pauses
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, of := range runs {
		a := s.calls[id]
		if a == nil || strings.HasPrefix(a.body, fatalBody) {
			continue
		}
		slices.SortFunc(of, func(x, y workerRun) int { return x.At.Compare(y.At) })
		s.checkSideBySide(a, of)
		s.checkNotBrokenOff(a, of)
	}
	s.checkPrefilledAgain(runs)
	s.checkOwnPauses(runs)
}

// isBroken reports whether a call has no whole answer though its caller waited for one.
func (a *call) isBroken() bool {
	return !a.abandoned && a.ended.Sub(a.sent) < a.timeout-timingMargin && (a.err != nil || !a.answer.Complete || a.answer.Status != http.StatusOK)
}

// checkNotBrokenOff checks that a stream has a whole answer if the instance ended one of its runs at an
// endpoint that was only paused.
func (s *soak) checkNotBrokenOff(a *call, of []workerRun) {
	if !a.isBroken() || !s.instanceStood(a) {
		return
	}
	for i, r := range of {
		later := of[i:]
		if r.worker.config.PrefillTokensPerMS == 0 || r.Ended != "cut" || !s.wasPausedBetween(&r, r.At, r.EndedAt) ||
			slices.ContainsFunc(later, func(l workerRun) bool { return !s.endpointStood(&l, a.ended) }) {
			continue
		}
		s.addFinding("stream %s was broken off after %v with %d events (status %d, %v), and %s was only paused: it had run there for %v until %v before",
			a.id, a.ended.Sub(a.sent), len(a.answer.Events), a.answer.Status, a.err, r.incarnation.Config().ID, r.EndedAt.Sub(r.At), a.ended.Sub(r.EndedAt))
		return
	}
}

// wasPausedBetween reports whether a run's incarnation was paused between two times. The caller holds
// pauses.mu.
func (s *soak) wasPausedBetween(r *workerRun, from, to time.Time) bool {
	return slices.ContainsFunc(s.env.pauses.endpoints, func(p enginePause) bool {
		return p.incarnations[r.incarnation] && p.from.Before(to) && p.until.After(from)
	})
}

// endpointStood reports whether nothing but pauses disrupted a run's endpoint from the start of the run
// to a time.
func (s *soak) endpointStood(r *workerRun, until time.Time) bool {
	return s.env.disruptions.count(r.At, until, r.worker.name) == 0
}

// instanceStood reports whether nothing disrupted the instance of a call or its connections to the
// endpoints, and no drain of it ended by force.
func (s *soak) instanceStood(a *call) bool {
	return s.env.disruptions.count(a.sent, a.ended, a.process) == 0 && !s.env.cuts.affected(a.process, a.sent, a.ended) &&
		!slices.ContainsFunc(s.env.processes, func(p *process) bool {
			return p.name == a.process && p.forcedEndBetween(a.sent, a.ended, s.ShutdownGrace)
		})
}

// checkSideBySide checks that a request didn't run at two endpoints at once for longer than allowed.
func (s *soak) checkSideBySide(a *call, of []workerRun) {
	for i := range of {
		for j := range of[:i] {
			first, second := &of[j], &of[i]
			end := first.EndedAt
			if end.IsZero() || !second.EndedAt.IsZero() && second.EndedAt.Before(end) {
				end = second.EndedAt
			}
			if end.IsZero() {
				end = time.Now()
			}
			if both := end.Sub(second.At); both > sideBySideWithin && s.instanceStood(a) && s.endpointStood(first, end) && s.endpointStood(second, end) {
				s.addFinding("request %s ran at %s and %s side by side for %v", a.id, first.incarnation.Config().ID, second.incarnation.Config().ID, both)
				return
			}
		}
	}
}

// checkPrefilledAgain checks how many of the streams that ran when pauses began were prefilled again
// because of them: beside all pauses that are not isolated, beside broad ones, and
// beside those without another disruption.
func (s *soak) checkPrefilledAgain(runs map[string][]workerRun) {
	check := func(kind string, share float64, counts func(*enginePause) bool) {
		running, again := 0, 0
		for i := range s.env.pauses.endpoints {
			if p := &s.env.pauses.endpoints[i]; counts(p) && p.service == "engines" {
				r, a := s.countPrefilledAgain(p, runs)
				running, again = running+r, again+a
			}
		}
		s.logf("beside %s pauses %d of %d streams were prefilled again", kind, again, running)
		if allowed := share*float64(running) + prefilledAgainSlack; float64(again) > allowed {
			s.addFinding("%d of %d streams were prefilled again beside %s pauses, %.1f may", again, running, kind, allowed)
		}
	}
	check("shared", prefilledAgainShare, func(p *enginePause) bool { return p.share > isolatedShare && len(p.incarnations) > 1 })
	check("lone", prefilledAgainShareBroad, func(p *enginePause) bool { return p.lone })
	check("broad", prefilledAgainShareBroad, func(p *enginePause) bool { return p.share >= broadShare })
}

func (s *soak) countPrefilledAgain(p *enginePause, runs map[string][]workerRun) (running, again int) {
	for id, of := range runs {
		a := s.calls[id]
		i := slices.IndexFunc(of, func(r workerRun) bool { return r.At.Before(p.from) && (r.EndedAt.IsZero() || r.EndedAt.After(p.from)) })
		if a == nil || i < 0 || of[i].worker.config.Service != p.service || strings.HasPrefix(a.body, fatalBody) {
			continue
		}
		running++
		if p.incarnations[of[i].incarnation] && s.instanceStood(a) && s.endpointStood(&of[i], cmp.Or(of[i].EndedAt, p.until)) &&
			slices.ContainsFunc(of[i+1:], func(r workerRun) bool { return r.Read > promptTokens/2 && r.At.Before(p.until.Add(prefilledWithin)) }) {
			again++
		}
	}
	return running, again
}

// checkOwnPauses checks how many streams instances moved, and how many endpoints they asked for a sign of
// life, after they had been paused themselves: that is no silence of the endpoints. It counts pauses in
// which nothing else was disrupted that they depend on.
func (s *soak) checkOwnPauses(runs map[string][]workerRun) {
	running, moved, asked := 0, 0, 0
	for _, p := range s.env.pauses.processes {
		end := p.until.Add(ownPauseEffect)
		if !s.isOnlyDisruption(&p, end) {
			continue
		}
		for id, of := range runs {
			a := s.calls[id]
			i := slices.IndexFunc(of, func(r workerRun) bool { return r.At.Before(p.from) && (r.EndedAt.IsZero() || r.EndedAt.After(p.until)) })
			if a == nil || i < 0 || a.process != p.process || strings.HasPrefix(a.body, fatalBody) || of[i].worker.config.PrefillTokensPerMS == 0 {
				continue
			}
			running++
			if slices.ContainsFunc(of[i+1:], func(r workerRun) bool { return r.At.After(p.until) && r.At.Before(end) }) {
				moved++
			}
		}
		for _, k := range s.env.workers {
			if n := k.questions(s, p.process, p.until, end); n > 0 {
				s.logf("DEBUG %s %d to %s, pause until %v", p.process, n, k.name, p.until.UTC())
			}
			asked += k.questions(s, p.process, p.until, end)
		}
	}
	s.logf("after pauses of their instances %d of %d streams were moved, %d endpoints were asked", moved, running, asked)
	if allowed := ownPauseShare*float64(running) + ownPauseSlack; float64(moved) > allowed || float64(asked) > questionsPerStream*allowed {
		s.addFinding("after pauses of their instances, %d of %d streams were moved and %d endpoints were asked", moved, running, asked)
	}
}

// isOnlyDisruption reports whether the pause of an instance was all that was disrupted of it, and of the
// endpoints, until a time shortly after.
func (s *soak) isOnlyDisruption(p *processPause, end time.Time) bool {
	from := p.from.Add(-ownPauseEffect)
	return s.env.disruptions.count(from, end, p.process) == 1 && !s.env.cuts.affected(p.process, from, end) &&
		!slices.ContainsFunc(s.env.workers, func(k *worker) bool { return s.env.disruptions.count(from, end, k.name) > 0 }) &&
		!slices.ContainsFunc(s.env.pauses.endpoints, func(e enginePause) bool { return e.from.Before(end) && e.until.After(from) })
}

// questions returns how often an instance asked the worker's current incarnation for its status between
// two times.
func (k *worker) questions(s *soak, process string, from, to time.Time) int {
	n := 0
	for _, a := range k.current.Arrivals() {
		if p := s.processOf(a); a.Target == "/report" && p != nil && p.name == process && a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}
