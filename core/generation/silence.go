package generation

import "time"

// EngineState is what a question to a silent engine has shown.
type EngineState int

// States of a silent engine.
const (
	// Silent means that the engine accepts connections and does not answer: its process is stopped
	// for a moment or for good.
	Silent EngineState = iota
	// Unreachable means that the engine can't be connected to.
	Unreachable
	// Working means that the engine answers and may still run the stream.
	Working
	// Returned means that the engine has just begun to answer again.
	Returned
	// Ended means that the engine does not run the stream any more.
	Ended
)

// Assessment is what was found out about the silence of the current attempt. See [Assess].
type Assessment struct {
	Engine EngineState
	// Undelivered tells that the engine has generated tokens that did not arrive.
	Undelivered bool
	// Prefilling tells that the engine is prefilling prompts, beside which its streams make little
	// progress.
	Prefilling bool
	// Target tells that another engine has answered since the silence began and has room. Copy tells
	// that it holds a copy of the run's memory, so that moving there costs next to nothing.
	Target, Copy bool
	// Shared tells that many of the other engines are silent too.
	Shared bool
	// Inconclusive tells that the answers do not fit together: this process was paused while it waited
	// for them, or other engines have just returned from the same silence.
	Inconclusive bool
}

// MaxSharedSilence is the longest silence for which a stream without a copy stays with an engine
// because others are silent too, or because the engine answers questions. With a copy, a stream stays that
// long with an engine that answers and prefills prompts: the engine is slow, and under overload so is the
// one that holds the copy.
const MaxSharedSilence = 2 * time.Second

const (
	// initialReassessDelay is the delay before a silence is assessed again. It doubles up to
	// maxReassessDelay.
	initialReassessDelay = 200 * time.Millisecond
	maxReassessDelay     = 400 * time.Millisecond
	// contenderRetryDelay is the delay before a silence is assessed again that is the engine's own, when
	// no other engine has room, or the one that had was taken by others.
	contenderRetryDelay = 100 * time.Millisecond
	// undeliveredDelay is how long tokens that an engine has generated may be on their way.
	undeliveredDelay = 100 * time.Millisecond
	// ownDelayGrace is how long messages that arrived while this process was paused may take to be
	// handled.
	ownDelayGrace = 100 * time.Millisecond
	// maxAssessmentProbes is how many probe timeouts an assessment may take.
	maxAssessmentProbes = 7
)

// Assessed reports the result of an [Assess] action. The attempt is left only if it has ended or
// another engine is known to be better; otherwise it is kept and assessed again later.
func (m *Machine) Assessed(now time.Time, number int, r Assessment) {
	a := m.current
	if m.ended || !m.probe.pending || m.probe.attempt != number || a == nil || a.number != number {
		return
	}
	m.probe.pending = false
	switch {
	case r.Inconclusive:
		a.reassessAt = now.Add(ownDelayGrace)
	case r.Engine == Ended:
		m.stats.ProbesDead++
		m.loseCurrent(now, a, Gone, 0)
	case m.shouldLeave(now, a, &r):
		m.stats.Leaves++
		m.contender = m.startAttempt(now)
	case r.Engine == Working && r.Undelivered:
		a.undelivered, a.reassessAt = true, now.Add(undeliveredDelay)
	case r.Engine == Working || r.Engine == Returned:
		m.keepWorking(now, a)
	case !r.Shared && !r.Target:
		m.stats.Keeps++
		a.reassessAt = now.Add(contenderRetryDelay)
	default:
		m.keepSilent(now, a)
	}
}

// shouldLeave tells whether another engine is better than the current one, which is silent.
func (m *Machine) shouldLeave(now time.Time, a *attempt, r *Assessment) bool {
	if !r.Target || m.contender != nil || m.attemptsUsed() >= m.cfg.MaxAttempts {
		return false
	}
	silence := now.Sub(a.silentSince)
	switch r.Engine {
	case Returned:
		return false
	case Working:
		stalled := r.Copy && !r.Prefilling
		return r.Undelivered && a.undelivered || a.hasToken && (stalled || silence >= MaxSharedSilence)
	case Unreachable:
		return true
	}
	return r.Copy || !r.Shared || silence >= MaxSharedSilence
}

// keepWorking keeps an attempt whose engine answers: it is slow, not silent.
func (m *Machine) keepWorking(now time.Time, a *attempt) {
	m.stats.ProbesAlive++
	m.allowEndpoint(a.stream.Endpoint)
	a.state, a.lastActivity = live, now
	if a.hasToken {
		a.liveProbes++
	} else {
		a.silentSince = now
	}
}

// keepSilent keeps an attempt whose engine does not answer, since no better engine is known.
func (m *Machine) keepSilent(now time.Time, a *attempt) {
	if a.reassessDelay == 0 {
		a.reassessDelay = initialReassessDelay
	}
	m.stats.Keeps++
	a.reassessAt = now.Add(a.reassessDelay)
	a.reassessDelay = min(2*a.reassessDelay, maxReassessDelay)
}

// AllowEndpoint removes an endpoint from those that the generation avoids, since it has been found to
// work.
func (m *Machine) AllowEndpoint(endpoint string) { m.allowEndpoint(endpoint) }

// assess asks for an assessment of the current attempt's silence.
func (m *Machine) assess(now time.Time, a *attempt) {
	a.state, a.reassessAt = suspect, time.Time{}
	if a.silentSince.IsZero() {
		a.silentSince = a.lastActivity
		if !a.hasToken { // until now it was expected to prefill the prompt
			a.silentSince = now
		}
	}
	m.probe.pending, m.probe.attempt = true, a.number
	m.probe.deadline = now.Add(maxAssessmentProbes * m.cfg.ProbeTimeout)
	m.stats.Probes++
	m.emit(Assess{Attempt: a.number, Stream: a.stream, SilentSince: a.silentSince})
}

// attemptsUsed returns how many attempts count against Config.MaxAttempts: those that may have run.
func (m *Machine) attemptsUsed() int {
	return m.lastAttempt - m.baseAttempt - m.refusedAttempts - m.unplacedAttempts
}

// noteOwnDelay excuses the engine of a silence if this process was paused: what the engine sent
// meanwhile may not have been handled yet.
func (m *Machine) noteOwnDelay(now time.Time) {
	if m.cfg.OwnDelay <= 0 || m.dueAt.IsZero() || now.Sub(m.dueAt) < m.cfg.OwnDelay {
		return
	}
	m.stats.OwnDelays++
	for _, a := range []*attempt{m.current, m.contender} {
		if a != nil {
			a.excusedUntil = now.Add(ownDelayGrace)
		}
	}
}

// Awaits tells whether the assessment of an attempt is awaited.
func (m *Machine) Awaits(number int) bool {
	return !m.ended && m.probe.pending && m.probe.attempt == number
}

// Suspects tells whether the current attempt is silent or disconnected, so that its fate is open.
func (m *Machine) Suspects() bool { return m.current != nil && m.current.state == suspect }
