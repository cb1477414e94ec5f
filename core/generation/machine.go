package generation

import (
	"time"
)

type attemptState int

const (
	starting attemptState = iota // asked for, not acknowledged
	live                         // acknowledged
	suspect                      // acknowledged, silent or broken, probe out
)

// attempt is one engine stream that serves the generation.
type attempt struct {
	number   int
	state    attemptState
	stream   Stream
	from     int
	began    time.Time
	lastSeen time.Time
	due      time.Time // of the first token, where that is known; not suspected before
	backoff  int       // silences in a row that a probe answered as alive
	resumes  int       // resumes of this stream in a row that brought no token
	broken   bool      // the connection is known to be gone
	same     bool      // resumes a stream that was already running
	dropped  bool      // its cancellation was queued
	spoke    bool      // a token of it was accepted
}

// Machine is the state of one generation. The zero value is not usable.
type Machine struct {
	cfg      Config
	deadline time.Time

	journal  Journal
	have     int    // tokens the caller held at the start, or that a restart has to regenerate
	haveHash uint64 // their rolling hash
	relayed  int    // tokens at the caller

	first     int // attempt numbers up to this one belong to earlier owners
	number    int // highest attempt number used
	current   *attempt
	contender *attempt
	probe     struct {
		out      bool
		attempt  int
		deadline time.Time
	}
	avoid    []string
	misfits  int       // engines that could not continue the journal
	refused  int       // attempts that certainly did not run
	refusals int       // in a row
	waitFrom time.Time // since when no endpoint was found; zero when not waiting
	retryAt  time.Time // when to ask routing again
	retry    time.Duration

	gap       time.Duration // smoothed gap between tokens
	deviation time.Duration // smoothed deviation of the gap
	lastToken time.Time
	streamed  bool // tokens reach the caller as they come
	started   bool // an engine may have done work
	promptLen int
	ended     bool
	actions   []Action
	stats     Stats
}

const (
	retryFirst = 20 * time.Millisecond
	retryMost  = 250 * time.Millisecond
	never      = 365 * 24 * time.Hour
)

// New returns the machine of a generation and queues its first action. promptLen
// is the prompt's length in tokens, for the count of work done again; streamed
// tells that tokens reach the caller before the answer is complete.
func New(cfg Config, o Origin, streamed bool, promptLen int, now, deadline time.Time) *Machine {
	m := &Machine{
		cfg: cfg, deadline: deadline, first: o.Attempt, number: o.Attempt, have: o.Have, haveHash: o.Hash,
		relayed: o.Have, streamed: streamed, promptLen: promptLen,
	}
	for _, t := range o.Prefix {
		m.journal.append([]byte(t))
	}
	if o.Stream.ID != "" {
		m.started = true
		m.resumeStream(now, o.Stream, 0)
		return m
	}
	m.startCurrent(now)
	return m
}

// Ready returns the queued actions and clears the queue. The slice is valid until
// the next call of a method.
func (m *Machine) Ready() []Action {
	out := m.actions
	m.actions = m.actions[len(m.actions):]
	return out
}

// Journal returns the accepted tokens.
func (m *Machine) Journal() *Journal { return &m.journal }

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Ended tells that [Finish] or [Fail] was queued.
func (m *Machine) Ended() bool { return m.ended }

// Attempt returns the current attempt's number and stream.
func (m *Machine) Attempt() (int, Stream) {
	if m.current == nil {
		return m.number, Stream{}
	}
	return m.current.number, m.current.stream
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// Acked reports that an engine acknowledged an attempt: the stream's name, the
// index it goes on from, the rolling hash up to there, and how many prompt and
// prefix tokens its cache held.
func (m *Machine) Acked(now time.Time, number int, s Stream, index int, hash uint64, cached int) {
	a := m.find(number)
	if m.ended || a == nil || a.state != starting {
		m.emit(Cancel{Attempt: number, Stream: s})
		return
	}
	a.stream, a.lastSeen = s, now
	m.started = true
	if !m.continues(a, index, hash) {
		m.discard(a)
		m.drop(now, a, Mismatch, 0)
		return
	}
	a.state = live
	if !a.same && number > m.first+1 {
		m.stats.PrefilledAgain += max(0, m.promptLen+a.from-cached)
	}
	if a == m.contender {
		m.promote(now)
	}
	if !m.cfg.Unverified { // else it only says that the request was sent, and the engine may yet refuse it
		m.waitFrom = time.Time{}
	}
}

// continues tells whether an acknowledgement is for the journal as it is now.
func (m *Machine) continues(a *attempt, index int, hash uint64) bool {
	if m.cfg.Unverified {
		return true
	}
	if index != a.from {
		return false
	}
	if index == 0 {
		return hash == 0
	}
	return index == m.journal.Len() && hash == m.journal.Hash()
}

// promote makes the contender current and fences the attempt before it.
func (m *Machine) promote(now time.Time) {
	if m.current != nil {
		m.discard(m.current)
		m.avoidEndpoint(m.current.stream.Endpoint)
	}
	m.probe.out = false
	m.current, m.contender = m.contender, nil
	m.resetJournalIfBehind(m.current)
	m.current.lastSeen = now
}

// resetJournalIfBehind drops the journal when the attempt starts at zero; what
// the caller holds has to be generated again and checked.
func (m *Machine) resetJournalIfBehind(a *attempt) {
	if a.from != 0 || m.journal.Len() == 0 {
		return
	}
	if !a.same {
		m.stats.Restarts++
		m.stats.ThrownAway += m.journal.Len()
	}
	if m.streamed && m.relayed == m.journal.Len() {
		m.have, m.haveHash = m.relayed, m.journal.Hash()
	}
	m.journal.reset()
}

// Expect reports when the first token of an attempt is due at the latest, such as from the length of its prompt and the usual
// speed of engines. The attempt is not suspected before.
func (m *Machine) Expect(number int, due time.Time) {
	if a := m.find(number); a != nil && !m.ended {
		a.due = due
	}
}

// Token reports a token. It returns true when the token is accepted and has to
// go to the caller; false when it is dropped or already there.
func (m *Machine) Token(now time.Time, number, index int, text []byte) bool {
	a := m.current
	if m.ended || a == nil || a.number != number || a.state == starting {
		m.stats.StaleTokens++
		return false
	}
	next := m.journal.Len()
	if index < next {
		m.stats.RepeatedTokens++
		a.lastSeen = now
		return false
	}
	if index > next {
		m.stats.Gaps++
		m.discard(a)
		m.drop(now, a, Gone, 0)
		return false
	}
	m.seen(now, a)
	a.resumes = 0
	if a.spoke || m.cfg.Policy != Move {
		m.observe(now)
	}
	m.lastToken, a.spoke = now, true
	m.journal.append(text)
	return m.accepted(now)
}

// accepted checks the token just journalled against what the caller holds.
func (m *Machine) accepted(now time.Time) bool {
	n := m.journal.Len()
	if n > m.have {
		m.relayed = n
		return true
	}
	if n == m.have && m.journal.Hash() != m.haveHash {
		m.fail(now, CodeCannotGoOn, 0, "the answer generated again differs from the tokens already delivered")
	}
	return false
}

// Alive reports a sign of life that carries no token.
func (m *Machine) Alive(now time.Time, number int) {
	if a := m.find(number); a != nil && !m.ended && a.state != starting {
		m.seen(now, a)
	}
}

// seen clears a suspicion: the attempt spoke, so a contender is not needed.
func (m *Machine) seen(now time.Time, a *attempt) {
	a.lastSeen, a.backoff = now, 0
	if a.state != suspect {
		return
	}
	m.stats.FalseSuspects++
	m.clearSuspicion(a)
}

func (m *Machine) clearSuspicion(a *attempt) {
	a.state = live
	m.probe.out = false
	m.dropContender()
}

// DropContender cancels an attempt that competes with the current one, for a caller that
// went away and may come back for the current one.
func (m *Machine) DropContender() { m.dropContender() }

func (m *Machine) dropContender() {
	if m.contender != nil {
		m.discard(m.contender)
		m.contender = nil
	}
}

// discard cancels an attempt's stream. The action goes out also when the stream
// has no name yet, so that the caller stops opening it.
func (m *Machine) discard(a *attempt) {
	if a.dropped {
		return
	}
	a.dropped = true
	m.emit(Cancel{Attempt: a.number, Stream: a.stream})
}

const (
	gapWeight       = 0.125
	deviationWeight = 0.25
	deviationFactor = 6
)

// observe updates the smoothed gap between tokens and its deviation (the method
// of RFC 6298).
func (m *Machine) observe(now time.Time) {
	if !m.lastToken.IsZero() {
		d := now.Sub(m.lastToken)
		diff := d - m.gap
		if m.gap == 0 {
			m.gap, diff = d, 0
		}
		m.gap += time.Duration(gapWeight * float64(diff))
		m.deviation += time.Duration(deviationWeight * float64(diff.Abs()-m.deviation))
	}
}

// Done reports that the engine ended its stream after total tokens whose rolling hash
// is hash.
func (m *Machine) Done(now time.Time, number, total int, hash uint64, reason string) {
	a := m.current
	if m.ended || a == nil || a.number != number || a.state == starting {
		return
	}
	if total != m.journal.Len() {
		m.stats.Gaps++
		m.drop(now, a, Gone, 0)
		return
	}
	if hash != m.journal.Hash() {
		m.fail(now, CodeCannotGoOn, 0, "the engine's answer differs from the tokens received")
		return
	}
	if total < m.have {
		m.fail(now, CodeCannotGoOn, 0, "the answer generated again is shorter than what was delivered")
		return
	}
	m.dropContender()
	m.ended = true
	m.emit(Finish{Reason: reason})
}

// Failed reports the end of an attempt. retryAfter is the endpoint's own word on
// when it takes work again.
func (m *Machine) Failed(now time.Time, number int, why Failure, retryAfter time.Duration) {
	if a := m.find(number); a != nil && !m.ended {
		m.drop(now, a, why, retryAfter)
	}
}

// Stop ends the generation because the request ends the engines that run it. retryAfter is when it may be tried again.
func (m *Machine) Stop(now time.Time, retryAfter time.Duration) {
	m.fail(now, CodeStopped, retryAfter, "the request ends the engines that run it")
}

// Abort ends the generation because the caller went away.
func (m *Machine) Abort(now time.Time) {
	m.fail(now, CodeCanceled, 0, "the caller went away")
}

func (m *Machine) find(number int) *attempt {
	if m.current != nil && m.current.number == number {
		return m.current
	}
	if m.contender != nil && m.contender.number == number {
		return m.contender
	}
	return nil
}

// GaveUp tells whether an attempt was replaced or cancelled.
func (m *Machine) GaveUp(number int) bool { return m.find(number) == nil }

func (m *Machine) avoidEndpoint(endpoint string) {
	if endpoint == "" {
		return
	}
	for _, e := range m.avoid {
		if e == endpoint {
			return
		}
	}
	m.avoid = append(m.avoid, endpoint)
}

// fail ends the generation at once and cancels what is running.
func (m *Machine) fail(_ time.Time, code Code, retryAfter time.Duration, detail string) {
	if m.ended {
		return
	}
	m.ended = true
	if m.current != nil && code != CodeSuperseded {
		m.discard(m.current)
	}
	m.dropContender()
	valid := m.relayed
	if !m.streamed {
		valid = 0
	}
	m.emit(Fail{Code: code, Valid: valid, RetryAfter: retryAfter, Started: m.started, Detail: detail})
}
