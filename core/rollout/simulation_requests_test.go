package rollout

import (
	"math"
	"time"
)

func (m *simulation) bursting() bool {
	at := m.now.Sub(simStart)
	return m.disturbance.burstFactor > 0 && at > m.duration/4 && at < m.duration/4+5*time.Second
}

func (m *simulation) scheduleArrival(r simRoute) {
	rate := r.perSecond
	if m.bursting() {
		rate *= m.disturbance.burstFactor
	}
	m.schedule(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		m.scheduleArrival(r)
		m.handleRequest(r)
	})
}

func (m *simulation) informed(in *simInstance) bool {
	return !m.now.Before(in.disconnectedUntil)
}

func (m *simulation) handleRequest(r simRoute) {
	in := m.instances[m.rnd.IntN(len(m.instances))]
	if in.rollout == nil {
		return
	}
	arm := Baseline
	if m.rnd.Float64() < in.rollout.Share(m.now, r.name, m.informed(in)) {
		arm = Target
	}
	if m.state == Completed {
		m.countAfterCompletion()
		return
	}
	var live []*simEndpoint
	for _, e := range m.endpoints[arm] {
		if !m.now.Before(e.downUntil) {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return
	}
	m.send(in, r, live[m.rnd.IntN(len(live))])
}

// countAfterCompletion counts a request after the baseline was stopped. It goes to the target.
func (m *simulation) countAfterCompletion() {
	if m.now.Sub(simStart) < m.duration {
		m.result.sent++
		m.result.exposed++
	}
}

func (m *simulation) send(in *simInstance, r simRoute, e *simEndpoint) {
	ro, process := in.rollout, in.process
	cell := Cell{Route: r.name, Arm: e.arm, Group: e.group}
	ro.LocalCounts(cell).Sent++
	if m.now.Sub(simStart) < m.duration {
		m.result.sent++
		if e.arm == Target {
			m.result.exposed++
		}
	}
	m.recentSent[e.arm]++
	if e.arm == Target {
		m.lastSent = m.now
	}
	m.schedule(simLoadWindow, func() { m.recentSent[e.arm]-- })
	bad, factor := m.applyFault(r, e)
	took := m.answerTime(r, e) * factor
	fails := bad || m.rnd.Float64() < r.failureRate || e.partlyFailing && m.rnd.Float64() < 0.4
	countIfRunning := func(count func(*Counts)) {
		if in.process == process && in.rollout != nil {
			count(ro.LocalCounts(cell))
		}
	}
	first := time.Duration(took * float64(time.Millisecond))
	wait := first
	if r.stream {
		wait = time.Duration(5.2 * float64(first))
	}
	sentAt := m.now
	if e.arm == Target && (bad || factor >= 2) {
		m.schedule(wait, func() { m.badAt = append(m.badAt, m.now) })
	}
	if e.arm == Baseline {
		m.trackUndrained(in, process, r, wait)
	}
	late := r.stream && wait > simLateAfter
	if late {
		m.schedule(simLateAfter, func() { countIfRunning(func(c *Counts) { c.AnswerTime.Observe(lateFactor * 200 * time.Millisecond) }) })
	}
	m.schedule(wait, func() {
		switch {
		case e.downAt.After(sentAt):
			countIfRunning(func(c *Counts) { c.Lost++ })
		case fails:
			countIfRunning(func(c *Counts) { c.Failed++ })
		default:
			countIfRunning(func(c *Counts) {
				cold := e.arm == Target && m.disturbance.coldFactor > 0 && sentAt.Sub(simStart) < 3*time.Second
				if !late && !cold {
					c.AnswerTime.Observe(first)
				}
				c.Answered++
			})
			if r.stream {
				m.continueStream(countIfRunning, factor)
			}
		}
	})
}

// continueStream counts the gap between the events that follow the first one of a stream.
func (m *simulation) continueStream(countIfRunning func(func(*Counts)), factor float64) {
	gap := 30 * factor * math.Exp(0.25*m.rnd.NormFloat64())
	m.schedule(time.Duration(8*gap)*time.Millisecond, func() {
		countIfRunning(func(c *Counts) { c.EventGap.Observe(time.Duration(gap * float64(time.Millisecond))) })
	})
}

// trackUndrained counts a request at the baseline until it ends. A stream counts until it has a
// copy at the target.
func (m *simulation) trackUndrained(in *simInstance, process uint64, r simRoute, wait time.Duration) {
	if !r.stream {
		in.plainAtBaseline++
		m.schedule(wait, func() {
			if in.process == process {
				in.plainAtBaseline--
			}
		})
		return
	}
	in.streamsWithoutEvent++
	ended := m.now.Add(wait + 4200*time.Millisecond)
	var copied func()
	copied = func() {
		switch {
		case in.process != process:
		case m.now.After(ended), in.rollout != nil && in.rollout.Moving() && m.rnd.Float64() < 0.9:
			in.streamsWithoutCopy--
		default:
			m.schedule(150*time.Millisecond, copied)
		}
	}
	m.schedule(wait, func() {
		if in.process == process {
			in.streamsWithoutEvent--
			in.streamsWithoutCopy++
		}
		copied()
	})
}

// applyFault returns whether the target's fault fails a request, and by which factor it slows it
// down.
func (m *simulation) applyFault(r simRoute, e *simEndpoint) (bad bool, factor float64) {
	factor = 1
	if e.arm == Baseline || m.fault == nil {
		return false, factor
	}
	f := m.fault
	all := m.recentSent[Baseline] + m.recentSent[Target]
	switch {
	case f.route != "" && f.route != r.name,
		m.now.Sub(simStart) < time.Duration(f.fromPart*float64(m.duration)),
		f.minLoadShare > 0 && float64(m.recentSent[Target]) < f.minLoadShare*float64(all):
		return false, factor
	}
	if f.slowFactor > 0 && m.rnd.Float64() < f.slowShare {
		factor = f.slowFactor
	}
	return m.rnd.Float64() < f.failureRate, factor
}

// answerTime returns the time to the answer in milliseconds, for a stream per thousand tokens.
func (m *simulation) answerTime(r simRoute, e *simEndpoint) float64 {
	ms := 15 * math.Exp(0.47*m.rnd.NormFloat64())
	if r.stream {
		ms = 200 * math.Exp(0.25*m.rnd.NormFloat64())
	} else if m.rnd.Float64() < 0.01 {
		ms *= 5
	}
	if e.dc == 2 {
		ms *= 1.3
	}
	if m.bursting() {
		ms *= m.disturbance.burstFactor * math.Exp(0.3*m.rnd.NormFloat64())
	}
	if e.arm == Target && m.disturbance.coldFactor > 0 && m.now.Sub(simStart) < 3*time.Second {
		ms *= m.disturbance.coldFactor
	}
	return ms
}
