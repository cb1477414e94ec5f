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
	// isolatedOneIn: a pause of one endpoint in so many or fewer is isolated. Its streams may all be
	// prefilled again. Of the streams that run when other pauses begin, prefilledAgainShare may be: those
	// at a paused engine stay there unless an engine that answers has their copy.
	isolatedOneIn       = 10
	prefilledAgainShare = 0.1
	// prefilledAgainSlack is how many more may be prefilled again in a soak, as shares of few streams
	// vary.
	prefilledAgainSlack = 2
	// leftShare is the share of its streams that an instance may move after it was paused itself, and
	// leftSlack how many more in a soak. leftWithin is how long after its pause a move may be due to it.
	leftShare  = 0.1
	leftSlack  = 2
	leftWithin = 500 * time.Millisecond
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
	return s.env.disruptions.undisturbed(a.sent, a.ended, a.process) && !s.env.cuts.affected(a.process, a.sent, a.ended) &&
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
// because of them.
func (s *soak) checkPrefilledAgain(runs map[string][]workerRun) {
	running, again := 0, 0
	for _, p := range s.env.pauses.endpoints {
		if p.isolated || p.service != "engines" {
			continue
		}
		for id, of := range runs {
			a := s.calls[id]
			i := slices.IndexFunc(of, func(r workerRun) bool { return r.At.Before(p.from) && (r.EndedAt.IsZero() || r.EndedAt.After(p.from)) })
			if a == nil || i < 0 || strings.HasPrefix(a.body, fatalBody) {
				continue
			}
			running++
			if p.incarnations[of[i].incarnation] && s.instanceStood(a) && s.endpointStood(&of[i], cmp.Or(of[i].EndedAt, p.until)) &&
				slices.ContainsFunc(of[i+1:], func(r workerRun) bool { return r.Read > promptTokens/2 && r.At.Before(p.until.Add(prefilledWithin)) }) {
				again++
			}
		}
	}
	if allowed := prefilledAgainShare*float64(running) + prefilledAgainSlack; float64(again) > allowed {
		s.addFinding("%d of %d streams were prefilled again beside shared pauses, %.1f may", again, running, allowed)
	}
	s.logf("beside shared pauses %d of %d streams were prefilled again", again, running)
}

// checkOwnPauses checks how many streams instances moved to other endpoints after they had been paused
// themselves, which is no silence of the endpoints.
func (s *soak) checkOwnPauses(runs map[string][]workerRun) {
	running, left := 0, 0
	for _, p := range s.env.pauses.processes {
		end := p.until.Add(leftWithin)
		for id, of := range runs {
			a := s.calls[id]
			i := slices.IndexFunc(of, func(r workerRun) bool { return r.At.Before(p.from) && (r.EndedAt.IsZero() || r.EndedAt.After(p.until)) })
			if a == nil || i < 0 || a.process != p.process || strings.HasPrefix(a.body, fatalBody) || of[i].worker.config.PrefillTokensPerMS == 0 ||
				s.env.disruptions.count(p.from, end, p.process) > 1 || s.env.cuts.affected(p.process, p.from, end) ||
				s.env.disruptions.count(p.from, end, of[i].worker.name) > 0 || s.wasPausedBetween(&of[i], p.from, end) {
				continue
			}
			running++
			if slices.ContainsFunc(of[i+1:], func(r workerRun) bool { return r.At.After(p.until.Add(-leftWithin)) && r.At.Before(end) }) {
				left++
			}
		}
	}
	if allowed := leftShare*float64(running) + leftSlack; float64(left) > allowed {
		s.addFinding("%d of %d streams were moved after pauses of their instances, %.1f may", left, running, allowed)
	}
	s.logf("after pauses of their instances %d of %d streams were moved", left, running)
}
