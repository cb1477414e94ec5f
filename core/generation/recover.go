package generation

import "time"

// maxMismatches is how many engines may fail to continue a journal before the machine assumes that
// none can.
const maxMismatches = 3

// handleFailure handles the failure of the current attempt or the contender.
func (m *Machine) handleFailure(now time.Time, a *attempt, failure Failure, retryAfter time.Duration) {
	switch failure {
	case Invalid:
		m.fail(now, CodeInvalid, 0, "the engine refused the request as invalid")
		return
	case Fenced:
		m.fail(now, CodeSuperseded, 0, "another instance has taken this generation over")
		return
	case Stopped:
		m.Stop(now, retryAfter)
		return
	}
	if a == m.contender {
		m.loseContender(now, a, failure, retryAfter)
		return
	}
	if failure == Broken && m.shouldProbe(a) {
		a.disconnected = true
		m.suspectAttempt(now, a)
		return
	}
	m.loseCurrent(now, a, failure, retryAfter)
}

// shouldProbe tells whether the stream may still run although its connection is lost.
func (m *Machine) shouldProbe(a *attempt) bool {
	if m.cfg.Policy == Restart || m.cfg.Policy == NoProbe || m.cfg.Unverified {
		return false
	}
	return a.state != starting && a.stream.ID != ""
}

// loseCurrent gives up the current attempt and continues with the contender or a new attempt,
// waits, or fails.
func (m *Machine) loseCurrent(now time.Time, a *attempt, failure Failure, retryAfter time.Duration) {
	if failure != NoEndpoint {
		m.avoidEndpoint(a.stream.Endpoint)
	}
	m.countUnrun(failure)
	switch failure {
	case Refused:
		m.consecutiveRefusals++
	case NoEndpoint:
	default:
		m.waitingSince, m.consecutiveRefusals = time.Time{}, 0 // an engine had accepted the request
	}
	m.current, m.probe.pending = nil, false
	if a.stream.ID != "" {
		m.cancelAttempt(a) // the engine may be paused and resume later
	}
	if m.contender != nil {
		m.promoteIfContender(now, m.contender.number) // else when its engine acknowledges it
		return
	}
	if failure == Mismatch && !a.resumed && a.from > 0 {
		m.mismatches++
	}
	if m.mismatches >= maxMismatches || m.mismatches > 0 && failure == NoEndpoint {
		m.restartOrFail(now)
		return
	}
	m.startNextOrWait(now, failure, retryAfter)
}

// restartOrFail is called when no engine could continue the journal. It restarts from index 0 if
// nothing was relayed, and fails otherwise.
func (m *Machine) restartOrFail(now time.Time) {
	if m.streamed && m.relayed > 0 {
		m.fail(now, CodeCannotContinue, 0, "the engine can't continue from the tokens already delivered")
		return
	}
	m.stats.Restarts++
	m.stats.DiscardedTokens += m.journal.Len()
	m.mismatches = 0
	m.journal.reset()
	m.startCurrent(now)
}

// startNextOrWait starts another attempt, waits for an endpoint, or fails when the attempts are
// used up.
func (m *Machine) startNextOrWait(now time.Time, failure Failure, retryAfter time.Duration) {
	if m.attemptsUsed() >= m.cfg.MaxAttempts && failure != NoEndpoint && failure != Refused {
		m.fail(now, CodeAttemptsExhausted, time.Second, "too many engines failed during this answer")
		return
	}
	if failure != NoEndpoint && m.consecutiveRefusals < maxImmediateRefusals {
		m.startCurrent(now) // on another endpoint: the one that failed or refused is avoided
		return
	}
	m.waitForEndpoint(now, retryAfter)
}

// maxImmediateRefusals is the number of consecutive refusals after which the next endpoint is tried
// only after a growing delay. Without it, when all endpoints refuse, a request would reach about a
// hundred of them before the instances learn from each other how much is being retried.
const maxImmediateRefusals = 3

// waitForEndpoint schedules another attempt after a growing delay. It fails at once if that attempt
// would come after the deadline or after WaitForEndpoint.
func (m *Machine) waitForEndpoint(now time.Time, retryAfter time.Duration) {
	if m.waitingSince.IsZero() {
		m.waitingSince, m.retryDelay = now, initialRetryDelay
	}
	m.avoid = m.avoid[:0] // an endpoint that failed may have recovered
	giveUp := m.waitingSince.Add(m.cfg.WaitForEndpoint)
	if m.deadline.Before(giveUp) || m.keepsSilent() && m.streamed && m.relayed > 0 {
		giveUp = m.deadline
	}
	wait := max(m.retryDelay, min(retryAfter, maxRetryDelay))
	if now.Add(wait).After(giveUp) {
		m.fail(now, CodeNoEndpoint, max(retryAfter, time.Second), "no endpoint is able to take this request")
		return
	}
	m.retryAt = now.Add(wait)
	m.retryDelay = min(2*m.retryDelay, maxRetryDelay)
}

// startCurrent starts a new current attempt.
func (m *Machine) startCurrent(now time.Time) {
	m.retryAt = time.Time{}
	m.current = m.startAttempt(now)
}

// startAttempt queues a Start that continues the journal, or begins at index 0 under the Restart
// policy.
func (m *Machine) startAttempt(now time.Time) *attempt {
	m.lastAttempt++
	from := m.journal.Len()
	if m.cfg.Policy == Restart {
		from = 0
	}
	a := &attempt{number: m.lastAttempt, state: starting, from: from, startedAt: now, lastActivity: now}
	if from > 0 {
		m.stats.ResumesElsewhere++
	}
	if m.contender == nil && m.current == nil {
		m.resetJournalIfFromZero(a)
	}
	avoid := append([]string(nil), m.avoid...)
	m.emit(Start{Attempt: m.lastAttempt, Avoid: avoid, From: from, Recovery: m.mayHaveRun, Contender: m.current != nil})
	return a
}

// Routed reports the endpoint that routing chose for an attempt, so that a later failure is
// attributed to that endpoint.
func (m *Machine) Routed(number int, endpoint string) {
	if a := m.findAttempt(number); a != nil && a.state == starting {
		a.stream.Endpoint = endpoint
	}
}

// suspectAttempt starts a probe, and under the Latency policy a contender as well.
func (m *Machine) suspectAttempt(now time.Time, a *attempt) {
	if a.state == suspect {
		return
	}
	a.state = suspect
	m.probe.pending, m.probe.attempt, m.probe.deadline = true, a.number, now.Add(m.cfg.ProbeTimeout)
	m.stats.Probes++
	m.emit(Probe{Attempt: a.number, Stream: a.stream})
	if m.cfg.Policy == Latency && m.contender == nil && m.lastAttempt-m.baseAttempt < m.cfg.MaxAttempts {
		m.avoidEndpoint(a.stream.Endpoint)
		m.contender = m.startAttempt(now)
	}
}

// Probed reports the answer to a probe: whether the engine still runs the stream, and the index
// that it has reached.
func (m *Machine) Probed(now time.Time, number int, alive bool, index int) {
	a := m.current
	if m.ended || !m.probe.pending || m.probe.attempt != number || a == nil || a.number != number {
		return
	}
	m.probe.pending = false
	if !alive {
		m.stats.ProbesDead++
		m.loseCurrent(now, a, Gone, 0)
		return
	}
	m.stats.ProbesAlive++
	m.allowEndpoint(a.stream.Endpoint)
	m.cancelContender()
	if a.disconnected || index > m.journal.Len() {
		m.reattach(now, a)
		return
	}
	a.state, a.lastActivity = live, now // slow, not silent: the engine has no new token
	if m.cfg.Policy != Move {
		a.liveProbes++
	}
}

func (m *Machine) allowEndpoint(endpoint string) {
	kept := m.avoid[:0]
	for _, e := range m.avoid {
		if e != endpoint {
			kept = append(kept, e)
		}
	}
	m.avoid = kept
}

// maxResumesWithoutToken is how often a stream may be resumed in a row without delivering a token.
// Each resume doubles the silence threshold.
const maxResumesWithoutToken = 3

// reattach resumes the stream on a new connection, or continues on another engine if this engine
// does not support that.
func (m *Machine) reattach(now time.Time, a *attempt) {
	if m.cfg.Unverified {
		m.loseCurrent(now, a, Gone, 0)
		return
	}
	m.resumeSameStream(now, a)
}

// resumeSameStream requests the running stream on a new connection. After too many resumes without
// a token the generation continues on another engine.
func (m *Machine) resumeSameStream(now time.Time, a *attempt) {
	if a.resumes >= maxResumesWithoutToken {
		m.loseCurrent(now, a, Gone, 0)
		return
	}
	m.stats.ResumesSameStream++
	m.resumeStream(now, a.stream, a.resumes+1)
}

// resumeStream makes a stream current under a new attempt number, which fences its older
// connections.
func (m *Machine) resumeStream(now time.Time, s Stream, resumes int) {
	m.lastAttempt++
	m.current = &attempt{
		number: m.lastAttempt, state: starting, stream: s, from: m.journal.Len(),
		startedAt: now, lastActivity: now, resumed: true, resumes: resumes,
	}
	m.emit(Resume{Attempt: m.lastAttempt, Stream: s, From: m.journal.Len()})
}

// Tick applies the timeouts that have expired. Call it at [Machine.Deadline].
func (m *Machine) Tick(now time.Time) {
	if m.ended {
		return
	}
	m.noteOwnDelay(now)
	if !now.Before(m.deadline) {
		m.fail(now, CodeDeadline, 0, "the deadline of the request has passed")
		return
	}
	if !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.startCurrent(now)
	}
	if m.probe.pending && !now.Before(m.probe.deadline) {
		m.probeTimedOut(now)
	}
	if c := m.contender; c != nil && !now.Before(m.contenderDue(c)) {
		m.tickContender(now, c)
	}
	m.tickCurrent(now)
}

func (m *Machine) probeTimedOut(now time.Time) {
	if m.keepsSilent() {
		m.Assessed(now, m.probe.attempt, Assessment{Inconclusive: true})
		return
	}
	m.Probed(now, m.probe.attempt, false, 0)
}

func (m *Machine) tickCurrent(now time.Time) {
	a := m.current
	if a == nil || m.ended {
		return
	}
	switch a.state {
	case starting:
		if !now.Before(m.ackDue(a)) {
			m.cancelAttempt(a)
			m.handleFailure(now, a, Gone, 0)
		}
	case live:
		if !now.Before(m.suspectAt(a)) {
			m.handleSilence(now, a)
		}
	case suspect:
		if !a.reassessAt.IsZero() && !now.Before(a.reassessAt) {
			m.assess(now, a)
		}
	}
}

func (m *Machine) handleSilence(now time.Time, a *attempt) {
	m.stats.Silences++
	switch {
	case m.keepsSilent():
		m.assess(now, a)
	case m.cfg.Policy == Restart, m.cfg.Policy == NoProbe, m.cfg.Policy == Move && a.hasToken:
		m.cancelAttempt(a)
		m.loseCurrent(now, a, Gone, 0)
	default:
		m.suspectAttempt(now, a)
	}
}

// keepsSilent tells whether silence alone never ends an attempt.
func (m *Machine) keepsSilent() bool { return m.cfg.Policy == Move && m.cfg.KeepSilent }

const maxBackoffDoublings = 4

// suspectAt returns when the attempt becomes suspect if it reports nothing more.
func (m *Machine) suspectAt(a *attempt) time.Time {
	at := a.lastActivity.Add(m.silenceThreshold(a))
	if !a.hasToken && a.firstTokenDue.After(at) {
		at = a.firstTokenDue
	}
	return later(at, a.excusedUntil)
}

// silenceThreshold returns how long an attempt may be silent before it is suspected.
func (m *Machine) silenceThreshold(a *attempt) time.Duration {
	if m.cfg.Policy == Restart || m.cfg.Policy == NoProbe {
		return m.cfg.SilenceCeiling
	}
	t := m.cfg.FirstTokenSilence
	switch {
	case m.cfg.Policy == Move && a.hasToken:
		t = max(m.cfg.SilenceFloor, moveGapFactor*m.tokenGap)
	case m.cfg.Policy != Move && m.tokenGap > 0:
		t = max(time.Duration(m.cfg.SilenceFactor*float64(m.tokenGap)), m.tokenGap+deviationFactor*m.gapDeviation)
		t = min(max(t, m.cfg.SilenceFloor), m.cfg.SilenceCeiling)
	}
	return t << min(a.liveProbes+a.resumes, maxBackoffDoublings)
}

// moveGapFactor times the smoothed token gap is the shortest silence after which a stream is moved.
// Without it, a stream that is slow for a good reason, such as prompts being prefilled on the same
// engine, would be moved again and again.
const moveGapFactor = 2

// Deadline returns when [Machine.Tick] has to be called next if nothing else happens first.
func (m *Machine) Deadline(now time.Time) time.Time {
	if m.ended {
		return now.Add(farFuture)
	}
	m.dueAt = m.nextDue()
	return m.dueAt
}

func (m *Machine) nextDue() time.Time {
	next := m.deadline
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	earlier(m.retryAt)
	if m.probe.pending {
		earlier(m.probe.deadline)
	}
	if m.contender != nil {
		earlier(m.contenderDue(m.contender))
	}
	if a := m.current; a != nil && a.state == starting {
		earlier(m.ackDue(a))
	} else if a != nil && a.state == live {
		earlier(m.suspectAt(a))
	} else if a != nil && a.state == suspect {
		earlier(a.reassessAt)
	}
	return next
}
