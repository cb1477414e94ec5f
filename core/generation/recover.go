package generation

import "time"

// maxMisfits is how many engines may fail to continue a journal before it is
// taken that none can.
const maxMisfits = 3

// drop handles the end of an attempt.
func (m *Machine) drop(now time.Time, a *attempt, why Failure, retryAfter time.Duration) {
	switch why {
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
		m.dropFailedContender(now, a, why, retryAfter)
		return
	}
	if why == Broken && m.worthProbing(a) {
		a.broken = true
		m.suspectNow(now, a)
		return
	}
	m.loseCurrent(now, a, why, retryAfter)
}

// dropFailedContender gives up a contender. A current attempt that is still
// under suspicion keeps its chance until its probe is answered.
func (m *Machine) dropFailedContender(now time.Time, a *attempt, why Failure, retryAfter time.Duration) {
	m.contender = nil
	if why != NoEndpoint {
		m.avoidEndpoint(a.stream.Endpoint)
	}
	if m.current == nil {
		m.next(now, why, retryAfter)
	}
}

// worthProbing tells whether a broken connection may hide a running stream.
func (m *Machine) worthProbing(a *attempt) bool {
	if m.cfg.Policy == Restart || m.cfg.Policy == NoProbe || m.cfg.Unverified {
		return false
	}
	return a.state != starting && a.stream.ID != ""
}

// loseCurrent gives the current attempt up and goes on elsewhere.
func (m *Machine) loseCurrent(now time.Time, a *attempt, why Failure, retryAfter time.Duration) {
	if why != NoEndpoint {
		m.avoidEndpoint(a.stream.Endpoint)
	}
	switch why {
	case Refused:
		m.refused++
		m.refusals++
	case NoEndpoint:
	default:
		m.waitFrom, m.refusals = time.Time{}, 0 // an engine had taken it
	}
	m.current, m.probe.out = nil, false
	if a.stream.ID != "" {
		m.discard(a) // it may be paused and come back
	}
	if m.contender != nil {
		return // it becomes current when its engine acknowledges
	}
	if why == Mismatch && !a.same && a.from > 0 {
		m.misfits++
	}
	if m.misfits >= maxMisfits || m.misfits > 0 && why == NoEndpoint {
		m.restartOrFail(now)
		return
	}
	m.next(now, why, retryAfter)
}

// restartOrFail starts from zero when nothing has reached the caller: no engine
// was able to continue the journal.
func (m *Machine) restartOrFail(now time.Time) {
	if m.streamed && m.relayed > 0 {
		m.fail(now, CodeCannotGoOn, 0, "the engine can't continue from the tokens already delivered")
		return
	}
	m.stats.Restarts++
	m.stats.ThrownAway += m.journal.Len()
	m.misfits = 0
	m.journal.reset()
	m.startCurrent(now)
}

// next starts another attempt, or waits for an endpoint, or gives up at once.
func (m *Machine) next(now time.Time, why Failure, retryAfter time.Duration) {
	if m.number-m.first-m.refused >= m.cfg.MaxAttempts && why != NoEndpoint && why != Refused {
		m.fail(now, CodeAttempts, time.Second, "too many engines failed during this answer")
		return
	}
	if why != NoEndpoint && m.refusals < refusalsAtOnce {
		m.startCurrent(now) // elsewhere: the endpoint that failed or refused is avoided
		return
	}
	m.waitForEndpoint(now, retryAfter)
}

// refusalsAtOnce is how many endpoints may refuse in a row before the next one is tried after a pause that grows. Where all
// refuse, a request would else meet a hundred of them before the instances hear from each other how much is sent again.
const refusalsAtOnce = 3

// waitForEndpoint asks again after a pause that grows; it gives up at once when
// the answer can't come in the time left.
func (m *Machine) waitForEndpoint(now time.Time, retryAfter time.Duration) {
	if m.waitFrom.IsZero() {
		m.waitFrom, m.retry = now, retryFirst
	}
	m.avoid = m.avoid[:0] // one that failed may be back
	giveUp := m.waitFrom.Add(m.cfg.WaitForEndpoint)
	if m.deadline.Before(giveUp) {
		giveUp = m.deadline
	}
	wait := max(m.retry, min(retryAfter, retryMost))
	if now.Add(wait).After(giveUp) {
		m.fail(now, CodeNoEndpoint, max(retryAfter, time.Second), "no endpoint is able to take this request")
		return
	}
	m.retryAt = now.Add(wait)
	m.retry = min(2*m.retry, retryMost)
}

// startCurrent queues the start of a new current attempt.
func (m *Machine) startCurrent(now time.Time) {
	m.retryAt = time.Time{}
	m.current = m.startAttempt(now)
}

// startAttempt queues a start from the journal, or from zero where the policy
// says so.
func (m *Machine) startAttempt(now time.Time) *attempt {
	m.number++
	from := m.journal.Len()
	if m.cfg.Policy == Restart {
		from = 0
	}
	a := &attempt{number: m.number, state: starting, from: from, began: now, lastSeen: now}
	if from > 0 {
		m.stats.ResumesElsewhere++
	}
	if m.contender == nil && m.current == nil {
		m.resetJournalIfBehind(a)
	}
	avoid := append([]string(nil), m.avoid...)
	m.emit(Start{Attempt: m.number, Avoid: avoid, From: from, Recovery: m.started})
	return a
}

// Routed reports the endpoint that routing chose for an attempt, so that a later
// failure is put down to the right one.
func (m *Machine) Routed(number int, endpoint string) {
	if a := m.find(number); a != nil && a.state == starting {
		a.stream.Endpoint = endpoint
	}
}

// suspectNow starts the probe, and under the latency policy the contender too.
func (m *Machine) suspectNow(now time.Time, a *attempt) {
	if a.state == suspect {
		return
	}
	a.state = suspect
	m.probe.out, m.probe.attempt, m.probe.deadline = true, a.number, now.Add(m.cfg.ProbeTimeout)
	m.stats.Probes++
	m.emit(Probe{Attempt: a.number, Stream: a.stream})
	if m.cfg.Policy == Latency && m.contender == nil && m.number-m.first < m.cfg.MaxAttempts {
		m.avoidEndpoint(a.stream.Endpoint)
		m.contender = m.startAttempt(now)
	}
}

// Probed reports a probe's answer: whether the engine still runs the stream and
// the index it has reached.
func (m *Machine) Probed(now time.Time, number int, alive bool, index int) {
	a := m.current
	if m.ended || !m.probe.out || m.probe.attempt != number || a == nil || a.number != number {
		return
	}
	m.probe.out = false
	if !alive {
		m.stats.ProbesDead++
		m.loseCurrent(now, a, Gone, 0)
		return
	}
	m.stats.ProbesAlive++
	m.unavoid(a.stream.Endpoint)
	m.dropContender()
	if a.broken || index > m.journal.Len() {
		m.attachAgain(now, a)
		return
	}
	a.state, a.lastSeen = live, now // slow, not silent: the engine has nothing new
	if m.cfg.Policy != Move {
		a.backoff++
	}
}

func (m *Machine) unavoid(endpoint string) {
	kept := m.avoid[:0]
	for _, e := range m.avoid {
		if e != endpoint {
			kept = append(kept, e)
		}
	}
	m.avoid = kept
}

// maxResumes is how often a stream is resumed in a row without a token coming from it.
// The threshold of silence doubles each time.
const maxResumes = 3

// attachAgain takes the stream up on a new connection, or elsewhere where the engine can't do that.
func (m *Machine) attachAgain(now time.Time, a *attempt) {
	if m.cfg.Unverified {
		m.loseCurrent(now, a, Gone, 0)
		return
	}
	m.resumeSame(now, a)
}

// resumeSame asks for the running stream on a new connection. A stream from which no
// token comes even so is of no use: the generation goes on elsewhere.
func (m *Machine) resumeSame(now time.Time, a *attempt) {
	if a.resumes >= maxResumes {
		m.loseCurrent(now, a, Gone, 0)
		return
	}
	m.stats.ResumesSame++
	m.resumeStream(now, a.stream, a.resumes+1)
}

// resumeStream makes a stream current under a new attempt number, so that its older
// connections are fenced.
func (m *Machine) resumeStream(now time.Time, s Stream, resumes int) {
	m.number++
	m.current = &attempt{
		number: m.number, state: starting, stream: s, from: m.journal.Len(),
		began: now, lastSeen: now, same: true, resumes: resumes,
	}
	m.emit(Resume{Attempt: m.number, Stream: s, From: m.journal.Len()})
}

// Tick lets time pass. Call it at [Machine.Deadline].
func (m *Machine) Tick(now time.Time) {
	if m.ended {
		return
	}
	if !now.Before(m.deadline) {
		m.fail(now, CodeDeadline, 0, "the deadline of the request has passed")
		return
	}
	if !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.startCurrent(now)
	}
	if m.probe.out && !now.Before(m.probe.deadline) {
		m.Probed(now, m.probe.attempt, false, 0)
	}
	if c := m.contender; c != nil && !now.Before(c.began.Add(m.cfg.AckTimeout)) {
		m.discard(c)
		m.drop(now, c, Gone, 0)
	}
	m.tickCurrent(now)
}

func (m *Machine) tickCurrent(now time.Time) {
	a := m.current
	if a == nil || m.ended {
		return
	}
	switch a.state {
	case starting:
		if !now.Before(a.began.Add(m.cfg.AckTimeout)) {
			m.discard(a)
			m.drop(now, a, Gone, 0)
		}
	case live:
		if !now.Before(m.suspectAt(a)) {
			m.silent(now, a)
		}
	}
}

func (m *Machine) silent(now time.Time, a *attempt) {
	m.stats.Silences++
	switch {
	case m.cfg.Policy == Restart, m.cfg.Policy == NoProbe, m.cfg.Policy == Move && a.spoke:
		m.discard(a)
		m.loseCurrent(now, a, Gone, 0)
	default:
		m.suspectNow(now, a)
	}
}

const maxBackoff = 4

// suspectAt returns when an attempt is suspected that says nothing more.
func (m *Machine) suspectAt(a *attempt) time.Time {
	at := a.lastSeen.Add(m.silence(a))
	if !a.spoke && a.due.After(at) {
		return a.due
	}
	return at
}

// silence returns how long an attempt may say nothing before it is suspected.
func (m *Machine) silence(a *attempt) time.Duration {
	if m.cfg.Policy == Restart || m.cfg.Policy == NoProbe {
		return m.cfg.SilenceCeiling
	}
	t := m.cfg.FirstTokenSilence
	switch {
	case m.cfg.Policy == Move && a.spoke:
		t = max(m.cfg.SilenceFloor, movedGaps*m.gap)
	case m.cfg.Policy != Move && m.gap > 0:
		t = max(time.Duration(m.cfg.SilenceFactor*float64(m.gap)), m.gap+deviationFactor*m.deviation)
		t = min(max(t, m.cfg.SilenceFloor), m.cfg.SilenceCeiling)
	}
	return t << min(a.backoff+a.resumes, maxBackoff)
}

// movedGaps times its own gap is what a stream may be silent at least before it is moved. One that is slow for a good
// reason, such as prompts read beside it, must not be moved for ever.
const movedGaps = 2

// Deadline returns when [Machine.Tick] has to be called next, if nothing else
// happens before.
func (m *Machine) Deadline(now time.Time) time.Time {
	if m.ended {
		return now.Add(never)
	}
	next := m.deadline
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	earlier(m.retryAt)
	if m.probe.out {
		earlier(m.probe.deadline)
	}
	if m.contender != nil {
		earlier(m.contender.began.Add(m.cfg.AckTimeout))
	}
	if a := m.current; a != nil && a.state == starting {
		earlier(a.began.Add(m.cfg.AckTimeout))
	} else if a != nil && a.state == live {
		earlier(m.suspectAt(a))
	}
	return next
}
