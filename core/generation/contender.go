package generation

import (
	"slices"
	"time"
)

// loseContender drops a failed contender. A current attempt that is under suspicion is kept until
// its probe is answered.
func (m *Machine) loseContender(now time.Time, a *attempt, failure Failure, retryAfter time.Duration) {
	m.contender = nil
	m.countUnrun(failure)
	if failure != NoEndpoint {
		m.avoidEndpoint(a.stream.Endpoint)
	}
	if m.current == nil {
		m.startNextOrWait(now, failure, retryAfter)
		return
	}
	if m.keepsSilent() && m.current.state == suspect && !m.probe.pending {
		m.current.reassessAt = now.Add(contenderRetryDelay)
	}
}

// countUnrun counts a failed attempt that has not run.
func (m *Machine) countUnrun(failure Failure) {
	switch failure {
	case Refused:
		m.refusedAttempts++
	case NoEndpoint:
		m.unplacedAttempts++
	}
}

// countSent counts an attempt that was cancelled before it was known that it had been sent.
func (m *Machine) countSent(number int) {
	if i := slices.Index(m.uncounted, number); i >= 0 {
		m.uncounted = slices.Delete(m.uncounted, i, i+1)
		m.unplacedAttempts--
	}
}

// promoteContender makes the contender current and fences the previous attempt.
func (m *Machine) promoteContender(now time.Time) {
	if m.current != nil {
		m.cancelAttempt(m.current)
		m.avoidEndpoint(m.current.stream.Endpoint)
	}
	m.probe.pending = false
	m.current, m.contender = m.contender, nil
	m.resetJournalIfFromZero(m.current)
	m.current.lastActivity = now
}

// promoteIfContender promotes the contender if it has the given number and its engine has taken it.
func (m *Machine) promoteIfContender(now time.Time, number int) {
	if c := m.contender; !m.ended && c != nil && c.number == number && c.state == live {
		m.promoteContender(now)
	}
}

// CancelContender cancels the attempt that competes with the current one. It is meant for a caller
// that disconnected and may come back for the current attempt.
func (m *Machine) CancelContender() { m.cancelContender() }

func (m *Machine) cancelContender() {
	if m.contender != nil {
		if m.isUnsent(m.contender) {
			m.unplacedAttempts++
			m.uncounted = append(m.uncounted, m.contender.number)
		}
		m.cancelAttempt(m.contender)
		m.contender = nil
	}
}

// contenderDue returns when a contender becomes current, or is given up because its engine has not
// taken it.
func (m *Machine) contenderDue(c *attempt) time.Time {
	if !c.sentAt.IsZero() {
		return later(c.sentAt.Add(grantTimeout), c.excusedUntil)
	}
	return m.ackDue(c)
}

// ackDue returns when an engine must have acknowledged an attempt.
func (m *Machine) ackDue(a *attempt) time.Time {
	return later(a.startedAt.Add(m.cfg.AckTimeout), a.excusedUntil)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isUnsent tells whether an attempt was certainly not sent.
func (m *Machine) isUnsent(a *attempt) bool { return m.cfg.Unverified && a.sentAt.IsZero() }

// grantTimeout is how long the two runs of a stream that is moved may go on side by side. A contender
// that was not refused by then becomes current if its engine has answered since it was sent.
const grantTimeout = 250 * time.Millisecond

func (m *Machine) tickContender(now time.Time, c *attempt) {
	if c.granted {
		m.promoteContender(now)
		return
	}
	m.cancelAttempt(c)
	failure := Gone
	if m.isUnsent(c) {
		failure = Refused
	}
	m.handleFailure(now, c, failure, 0)
}

// Granted reports that the engine of an attempt has answered a question since the attempt was sent.
func (m *Machine) Granted(number int) {
	if a := m.findAttempt(number); a != nil && !m.ended {
		a.granted = true
	}
}
