package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The simulation is a fleet in virtual time. Its instances route, count and report requests,
// endpoints of two builds answer them, and a store takes the outcome. It has no network; the delays
// are those measured between instances.

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	simDataCentres = 3
	reportInterval = 250 * time.Millisecond
	networkDelay   = 3 * time.Millisecond
	storeWriteTime = 8 * time.Millisecond
	// simLoadWindow is the time over which the load is measured that triggers a fault under load.
	simLoadWindow = 200 * time.Millisecond
	// A first event that has not come after lateFactor times the usual time is counted as slow.
	lateFactor     = 3.5
	simLateAfter   = time.Duration(lateFactor * 5.2 * 200 * float64(time.Millisecond))
	maxStatusDelay = 150 * time.Millisecond
)

// simRoute is the load of a route.
type simRoute struct {
	name        string
	perSecond   float64
	failureRate float64 // of any build
	stream      bool
}

// simService is the load and the endpoints of a service.
type simService struct {
	name      string
	routes    []simRoute
	endpoints int // of each build
}

func engineService() simService {
	return simService{name: "engines", endpoints: 90, routes: []simRoute{{"case", 1.45, 0, true}, {"dispute", 27.9, 0, true}}}
}

func plainService() simService {
	return simService{name: "plain", endpoints: 3, routes: []simRoute{{"poll", 149, 0.004, false}, {"ping", 103, 0.14, false}}}
}

// fault is what is wrong with the target build.
type fault struct {
	failureRate, slowShare, slowFactor float64
	// fromPart is the part of the order's duration after which the fault begins. route limits it to
	// one route; empty means all routes. The fault shows only if the target gets at least
	// minLoadShare of the requests.
	fromPart     float64
	route        string
	minLoadShare float64
}

// disturbance is what goes wrong during the order for reasons other than the target.
type disturbance struct {
	crash            bool    // the endpoints of a data centre crash, twice
	partlyFailing    float64 // share of the endpoints that fail four in ten requests
	flapping         float64 // share of the endpoints that go down for 1 s, about every 4 s
	burstFactor      float64 // load and answer times are multiplied by this for five seconds
	coldFactor       float64 // answer times of the target are multiplied by this for three seconds
	restarted        float64 // share of the instances that restart
	disconnected     float64 // share of the instances that receive nothing for a third of the order
	storeUnavailable bool    // for five seconds before the end
}

type simConfig struct {
	service     simService
	instances   int
	duration    time.Duration
	fault       *fault
	disturbance disturbance
	settings    Settings
}

// simResult is the result of one run.
type simResult struct {
	outcome         State
	rolledBackAfter time.Duration
	exposed, sent   int // until the deadline
	bad             int // bad answers until the last request to the target
	// These count the requests at the baseline when it was stopped. lost are plain requests, which
	// are cut off. paused are streams that go on without a copy. restarted are streams without an
	// event, which begin again.
	lost, paused, restarted int
	rolledBackLate          bool
	completedAfter          time.Duration
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simEndpoint struct {
	dc                int
	group             uint8
	arm               Arm
	partlyFailing     bool
	flapping          bool
	downAt, downUntil time.Time
}

type simInstance struct {
	dc                  int
	name                string
	process             uint64
	rollout             *Rollout
	disconnectedUntil   time.Time
	plainAtBaseline     int // plain requests in progress at the baseline
	streamsWithoutEvent int // streams at the baseline without an event
	streamsWithoutCopy  int // streams at the baseline with events and without a copy at the target
}

type simulation struct {
	simConfig
	rnd        *rand.Rand
	now        time.Time
	events     simEvents
	seq        int
	instances  []*simInstance
	endpoints  [2][]*simEndpoint
	state      State
	writtenAt  time.Time
	badAt      []time.Time
	lastSent   time.Time
	recentSent [2]int
	result     simResult
}

// run executes the simulation with a seed.
func (c simConfig) run(seed uint64) simResult {
	m := &simulation{simConfig: c, rnd: rand.New(rand.NewPCG(seed, 7)), now: simStart}
	m.build()
	end := simStart.Add(c.duration + 3*time.Second)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(simEvent)
		if e.at.After(end) {
			break
		}
		m.now = e.at
		e.do()
	}
	m.result.outcome = m.state
	for _, at := range m.badAt {
		if !at.After(m.lastSent) {
			m.result.bad++
		}
	}
	const badAnswerLimit = 50
	if len(m.badAt) >= badAnswerLimit && m.lastSent.Sub(m.badAt[badAnswerLimit-1]) > m.settings.MaxRollBackDelay {
		m.result.rolledBackLate = true
	}
	return m.result
}

func (m *simulation) randomDelay(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(d)))
}

func (m *simulation) schedule(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, simEvent{m.now.Add(d), m.seq, do})
}

func (m *simulation) build() {
	for arm := range m.endpoints {
		for i := range m.service.endpoints {
			e := &simEndpoint{dc: i % simDataCentres, arm: Arm(arm)}
			if e.arm == Target {
				e.group = GroupOf(fmt.Sprint("e", i, m.rnd.Uint32()))
			}
			e.partlyFailing, e.flapping = m.rnd.Float64() < m.disturbance.partlyFailing, m.rnd.Float64() < m.disturbance.flapping
			m.endpoints[arm] = append(m.endpoints[arm], e)
		}
	}
	for i := range m.simConfig.instances {
		in := &simInstance{dc: i % simDataCentres, name: "i" + string(rune('A'+i/10)) + string(rune('0'+i%10))}
		m.instances = append(m.instances, in)
		m.start(in, m.randomDelay(100*time.Millisecond), 0)
		m.schedule(m.randomDelay(reportInterval), func() { m.report(in, i) })
	}
	for _, r := range m.service.routes {
		m.scheduleArrival(r)
	}
	m.scheduleDisturbances()
}

func (m *simulation) start(in *simInstance, after, age time.Duration) {
	m.schedule(after, func() {
		in.process++
		in.plainAtBaseline, in.streamsWithoutCopy, in.streamsWithoutEvent = 0, 0, 0
		o := Order{Service: m.service.name, Target: "v2", Created: 1, Duration: m.duration}
		in.rollout = New(m.settings, o, m.now, age, dcName(in.dc))
		in.rollout.SetEndpoints(Endpoints{m.service.endpoints, m.service.endpoints})
		if m.service.routes[0].stream {
			in.rollout.SetDrain(800 * time.Millisecond)
		}
		in.rollout.SetState(m.state)
	})
}

func dcName(dc int) string { return string(rune('a' + dc)) }

func (m *simulation) scheduleDisturbances() {
	t := m.disturbance
	if t.crash {
		for i, part := range []float64{0.25, 0.6} {
			m.schedule(time.Duration(part*float64(m.duration)), func() { m.crash((i + 1) % simDataCentres) })
		}
	}
	for _, in := range m.instances {
		if m.rnd.Float64() < t.restarted {
			m.schedule(m.duration/3+m.randomDelay(m.duration/4), func() {
				in.rollout = nil
				age := m.now.Sub(simStart)
				m.start(in, time.Second, age+time.Second)
			})
		}
		if m.rnd.Float64() < t.disconnected {
			m.schedule(m.duration/4, func() { in.disconnectedUntil = m.now.Add(m.duration / 3) })
		}
	}
	for range int(m.duration / (2 * time.Second)) {
		m.schedule(m.randomDelay(m.duration), func() {
			for _, arm := range m.endpoints {
				for _, e := range arm {
					if e.flapping && m.rnd.Float64() < 0.5 {
						e.downAt, e.downUntil = m.now, m.now.Add(time.Second)
					}
				}
			}
		})
	}
}

func (m *simulation) crash(dc int) {
	for _, arm := range m.endpoints {
		for _, e := range arm {
			if e.dc == dc && m.rnd.Float64() < 0.92 {
				e.downAt, e.downUntil = m.now, m.now.Add(1200*time.Millisecond)
			}
		}
	}
}

// report makes an instance report its counts, update its decision and write the outcome.
func (m *simulation) report(in *simInstance, number int) {
	m.schedule(reportInterval, func() { m.report(in, number) })
	if in.rollout == nil {
		return
	}
	in.rollout.SetUndrained(in.plainAtBaseline + in.streamsWithoutCopy)
	in.rollout.Tick(m.now, m.informed(in))
	m.sendReport(in, number)
	state, pending := in.rollout.PendingState(m.now)
	if m.result.rolledBackAfter == 0 {
		if d, _ := in.rollout.Decision(); d == RollBack {
			m.result.rolledBackAfter = m.now.Sub(simStart)
		}
	}
	if !pending || state == Running && number > 0 {
		return
	}
	m.schedule(time.Duration(number%5)*100*time.Millisecond+storeWriteTime, func() { m.write(state) })
}

func (m *simulation) sendReport(in *simInstance, number int) {
	if m.now.Before(in.disconnectedUntil) {
		return
	}
	from := Source{Name: in.name, DataCentre: dcName(in.dc), Process: in.process}
	aggregator := m.instances[in.dc]
	if in != aggregator {
		r := in.rollout.Report(m.now)
		m.deliver(aggregator, from, r)
		return
	}
	summary := from
	summary.IsSummary = true
	r := in.rollout.Summary(m.now)
	for _, other := range m.instances {
		if other != in {
			m.deliver(other, summary, r)
		}
	}
}

func (m *simulation) deliver(to *simInstance, from Source, r Report) {
	m.schedule(networkDelay, func() {
		if to.rollout != nil && !m.now.Before(to.disconnectedUntil) && m.rnd.Float64() > 0.01 {
			to.rollout.Apply(m.now, from, &r)
		}
	})
}

func (m *simulation) write(s State) {
	at := m.now.Sub(simStart)
	if m.disturbance.storeUnavailable && at > m.duration-6*time.Second && at < m.duration-time.Second {
		return
	}
	if m.state.Final() || s <= m.state {
		return
	}
	m.state, m.writtenAt = s, m.now
	if s == Completed {
		m.result.completedAfter = at
		for _, in := range m.instances {
			m.result.lost += in.plainAtBaseline
			m.result.paused += in.streamsWithoutCopy
			m.result.restarted += in.streamsWithoutEvent
		}
	}
	for _, in := range m.instances {
		m.schedule(m.randomDelay(maxStatusDelay), func() {
			if in.rollout != nil && !m.now.Before(in.disconnectedUntil) {
				in.rollout.SetState(s)
			}
		})
	}
}
