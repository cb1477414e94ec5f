package generation

import (
	"time"
)

type attemptState int

const (
	starting attemptState = iota // requested, not acknowledged
	live                         // acknowledged
	suspect                      // acknowledged, then silent or disconnected; a probe is pending
)

// attempt is one engine stream that serves the generation.
type attempt struct {
	number        int
	state         attemptState
	stream        Stream
	from          int
	startedAt     time.Time
	lastActivity  time.Time
	firstTokenDue time.Time // latest expected first token, or zero; not suspected before
	liveProbes    int       // consecutive silences after which a probe found the stream alive
	resumes       int       // consecutive resumes of this stream that delivered no token
	disconnected  bool      // the connection is known to be closed
	resumed       bool      // reattaches to a stream that was already running
	cancelled     bool      // a Cancel was queued
	hasToken      bool      // a token from it was accepted
	sentAt        time.Time // an unverified attempt was sent; zero before
	granted       bool      // the engine has answered since the attempt was sent
	silentSince   time.Time // start of the silence that is under suspicion, or zero
	reassessAt    time.Time // when the silence is assessed again, or zero
	reassessDelay time.Duration
	undelivered   bool      // the last assessment found tokens that had not arrived
	excusedUntil  time.Time // not suspected before, since this process was paused
}

// Machine is the state of one generation. The zero value is not usable; see [New].
type Machine struct {
	cfg      Config
	deadline time.Time

	journal    Journal
	replayLen  int    // the first replayLen tokens were delivered before: checked, not relayed again
	replayHash uint64 // rolling hash of the first replayLen tokens
	relayed    int    // tokens that reached the caller

	baseAttempt int // attempts up to this number belong to earlier owners
	lastAttempt int // highest attempt number used
	current     *attempt
	contender   *attempt
	probe       struct {
		pending  bool
		attempt  int
		deadline time.Time
	}
	avoid               []string
	mismatches          int       // engines that could not continue the journal
	refusedAttempts     int       // attempts that certainly did not run
	unplacedAttempts    int       // attempts that were not sent
	uncounted           []int     // of these, those that were cancelled and may have been sent
	dueAt               time.Time // the last result of Deadline
	consecutiveRefusals int       // refusals since an engine last took the request
	waitingSince        time.Time // when the wait for an endpoint began; zero when not waiting
	retryAt             time.Time // when to ask routing again; zero for never
	retryDelay          time.Duration

	tokenGap     time.Duration // smoothed gap between tokens
	gapDeviation time.Duration // smoothed deviation of the gap
	lastTokenAt  time.Time
	streamed     bool // tokens reach the caller before the answer is complete
	mayHaveRun   bool // an engine may have done work for the request
	promptTokens int
	ended        bool
	actions      []Action
	stats        Stats
}

const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 250 * time.Millisecond
	farFuture         = 365 * 24 * time.Hour
)

// New returns the machine of a generation and queues its first action. streamed tells that tokens
// reach the caller before the answer is complete. promptTokens is the length of the prompt in
// tokens; it is used only to count repeated prefill work.
func New(cfg Config, origin Origin, streamed bool, promptTokens int, now, deadline time.Time) *Machine {
	m := &Machine{
		cfg: cfg, deadline: deadline, baseAttempt: origin.Attempt, lastAttempt: origin.Attempt, replayLen: origin.Delivered, replayHash: origin.DeliveredHash,
		relayed: origin.Delivered, streamed: streamed, promptTokens: promptTokens,
	}
	for _, t := range origin.Prefix {
		m.journal.append([]byte(t))
	}
	if origin.Stream.ID != "" {
		m.mayHaveRun = true
		m.resumeStream(now, origin.Stream, 0)
		return m
	}
	m.startCurrent(now)
	return m
}

// Ready returns the queued actions and clears the queue. The slice is valid until the next method
// call.
func (m *Machine) Ready() []Action {
	out := m.actions
	m.actions = m.actions[len(m.actions):]
	return out
}

// Journal returns the journal of accepted tokens.
func (m *Machine) Journal() *Journal { return &m.journal }

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Ended tells whether [Finish] or [Fail] was queued.
func (m *Machine) Ended() bool { return m.ended }

// Attempt returns the number and stream of the current attempt. Without a current attempt it
// returns the highest number used and an empty stream.
func (m *Machine) Attempt() (int, Stream) {
	if m.current == nil {
		return m.lastAttempt, Stream{}
	}
	return m.current.number, m.current.stream
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// Acked reports that an engine acknowledged an attempt on stream s. The stream continues at index
// after a prefix with the given rolling hash; cached is how many prompt and prefix tokens the
// engine's cache held. An attempt that is not awaited any more is cancelled.
func (m *Machine) Acked(now time.Time, number int, s Stream, index int, hash uint64, cached int) {
	a := m.findAttempt(number)
	if m.ended || a == nil || a.state != starting {
		m.countSent(number)
		m.emit(Cancel{Attempt: number, Stream: s})
		return
	}
	a.stream, a.lastActivity = s, now
	m.mayHaveRun = true
	if !m.matchesJournal(a, index, hash) {
		m.cancelAttempt(a)
		m.handleFailure(now, a, Mismatch, 0)
		return
	}
	a.state = live
	if m.cfg.Unverified {
		a.sentAt = now
	}
	if !a.resumed && number > m.baseAttempt+1 {
		m.stats.PrefilledAgain += max(0, m.promptTokens+a.from-cached)
	}
	if a == m.contender && (!m.cfg.Unverified || m.current == nil) {
		m.promoteContender(now)
	}
	if !m.cfg.Unverified { // an unverified ack only says that the request was sent: it may be refused
		m.waitingSince = time.Time{}
	}
}

// matchesJournal tells whether an acknowledgement continues the journal as it is now, or starts at
// index 0 as requested.
func (m *Machine) matchesJournal(a *attempt, index int, hash uint64) bool {
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

// resetJournalIfFromZero clears the journal when the attempt starts at index 0. Tokens that the
// caller already has are generated again, checked and not relayed.
func (m *Machine) resetJournalIfFromZero(a *attempt) {
	if a.from != 0 || m.journal.Len() == 0 {
		return
	}
	if !a.resumed {
		m.stats.Restarts++
		m.stats.DiscardedTokens += m.journal.Len()
	}
	if m.streamed && m.relayed == m.journal.Len() {
		m.replayLen, m.replayHash = m.relayed, m.journal.Hash()
	}
	m.journal.reset()
}

// ExpectFirstToken sets the latest time at which the first token of an attempt is expected, for
// instance from the length of its prompt and the usual speed of engines. The attempt is not
// suspected before that time.
func (m *Machine) ExpectFirstToken(number int, due time.Time) {
	if a := m.findAttempt(number); a != nil && !m.ended {
		a.firstTokenDue = due
	}
}

// Token reports a token. It returns true if the token is accepted and has to be relayed to the
// caller, and false if it is dropped or the caller already has it.
func (m *Machine) Token(now time.Time, number, index int, text []byte) bool {
	m.promoteIfContender(now, number)
	a := m.current
	if m.ended || a == nil || a.number != number || a.state == starting {
		m.stats.StaleTokens++
		return false
	}
	next := m.journal.Len()
	if index < next {
		m.stats.RepeatedTokens++
		a.lastActivity = now
		return false
	}
	if index > next {
		m.stats.Gaps++
		m.cancelAttempt(a)
		m.handleFailure(now, a, Gone, 0)
		return false
	}
	m.recordActivity(now, a)
	a.resumes = 0
	if a.hasToken || m.cfg.Policy != Move {
		m.observeGap(now)
	}
	m.lastTokenAt, a.hasToken = now, true
	m.journal.append(text)
	return m.relayOrVerify(now)
}

// relayOrVerify tells whether the token just appended to the journal has to be relayed. At the last
// token that the caller already has it compares the hash, and fails the generation on a mismatch.
func (m *Machine) relayOrVerify(now time.Time) bool {
	n := m.journal.Len()
	if n > m.replayLen {
		m.relayed = n
		return true
	}
	if n == m.replayLen && m.journal.Hash() != m.replayHash {
		m.fail(now, CodeCannotContinue, 0, "the answer generated again differs from the tokens already delivered")
	}
	return false
}

// Alive reports activity of an attempt that carries no token, such as a keepalive.
func (m *Machine) Alive(now time.Time, number int) {
	if a := m.findAttempt(number); a != nil && !m.ended && a.state != starting {
		m.recordActivity(now, a)
	}
}

// recordActivity clears a suspicion: the attempt is alive, so no contender is needed.
func (m *Machine) recordActivity(now time.Time, a *attempt) {
	a.lastActivity, a.liveProbes, a.silentSince, a.undelivered = now, 0, time.Time{}, false
	if a.state != suspect {
		return
	}
	m.stats.FalseSuspicions++
	m.clearSuspicion(a)
}

func (m *Machine) clearSuspicion(a *attempt) {
	a.state, a.reassessAt, a.reassessDelay = live, time.Time{}, 0
	m.probe.pending = false
	m.cancelContender()
}

// cancelAttempt queues a Cancel for an attempt. The action is queued also while the stream has no
// ID yet, so that the caller of the machine stops opening it.
func (m *Machine) cancelAttempt(a *attempt) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	m.emit(Cancel{Attempt: a.number, Stream: a.stream})
}

const (
	gapWeight       = 0.125
	deviationWeight = 0.25
	deviationFactor = 6
)

// observeGap updates the smoothed gap between tokens and its deviation, as RFC 6298 does for
// round-trip times.
func (m *Machine) observeGap(now time.Time) {
	if !m.lastTokenAt.IsZero() {
		d := now.Sub(m.lastTokenAt)
		diff := d - m.tokenGap
		if m.tokenGap == 0 {
			m.tokenGap, diff = d, 0
		}
		m.tokenGap += time.Duration(gapWeight * float64(diff))
		m.gapDeviation += time.Duration(deviationWeight * float64(diff.Abs()-m.gapDeviation))
	}
}

// Done reports that the engine ended its stream after total tokens with the given rolling hash.
func (m *Machine) Done(now time.Time, number, total int, hash uint64, reason string) {
	m.promoteIfContender(now, number)
	a := m.current
	if m.ended || a == nil || a.number != number || a.state == starting {
		return
	}
	if total != m.journal.Len() {
		m.stats.Gaps++
		m.handleFailure(now, a, Gone, 0)
		return
	}
	if hash != m.journal.Hash() {
		m.fail(now, CodeCannotContinue, 0, "the engine's answer differs from the tokens received")
		return
	}
	if total < m.replayLen {
		m.fail(now, CodeCannotContinue, 0, "the answer generated again is shorter than what was delivered")
		return
	}
	m.cancelContender()
	m.ended = true
	m.emit(Finish{Reason: reason})
}

// Failed reports the end of an attempt. retryAfter is the endpoint's own hint when it accepts work
// again; 0 if it gave none.
func (m *Machine) Failed(now time.Time, number int, failure Failure, retryAfter time.Duration) {
	if a := m.findAttempt(number); a != nil && !m.ended {
		m.handleFailure(now, a, failure, retryAfter)
	}
}

// Stop ends the generation because the request crashes the engines that run it. retryAfter is the
// time after which it may be tried again.
func (m *Machine) Stop(now time.Time, retryAfter time.Duration) {
	m.fail(now, CodeStopped, retryAfter, "the request ends the engines that run it")
}

// Abort ends the generation because the caller disconnected.
func (m *Machine) Abort(now time.Time) {
	m.fail(now, CodeCanceled, 0, "the caller went away")
}

func (m *Machine) findAttempt(number int) *attempt {
	if m.current != nil && m.current.number == number {
		return m.current
	}
	if m.contender != nil && m.contender.number == number {
		return m.contender
	}
	return nil
}

// Abandoned tells whether an attempt was replaced, cancelled or lost.
func (m *Machine) Abandoned(number int) bool { return m.findAttempt(number) == nil }

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

// fail ends the generation at once and cancels the running attempts.
func (m *Machine) fail(_ time.Time, code Code, retryAfter time.Duration, detail string) {
	if m.ended {
		return
	}
	m.ended = true
	if m.current != nil && code != CodeSuperseded {
		m.cancelAttempt(m.current)
	}
	m.cancelContender()
	valid := m.relayed
	if !m.streamed {
		valid = 0
	}
	m.emit(Fail{Code: code, ValidTokens: valid, RetryAfter: retryAfter, MayHaveRun: m.mayHaveRun, Detail: detail})
}
