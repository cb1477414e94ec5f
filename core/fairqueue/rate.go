package fairqueue

import "time"

const (
	// rateBuckets is the resolution of the window over which placements are counted.
	rateBuckets = 20
	// minPlacements and minBusyShare are what the rate is derived from at least, the latter as a share of the window.
	// Right after a queue has begun to fill, the first placements come faster than they will.
	minPlacements = 5
	minBusyShare  = 0.25
	// maxReportGap is how long after the last report requests are taken to wait. A waiting request is renewed every
	// 200 ms; in a longer silence reports are lost, and those of placements too.
	maxReportGap = 250 * time.Millisecond
)

// rateMeter measures the placements per second of the time in which requests wait. Time without waiting requests does
// not count, since placements are then limited by the arrivals.
type rateMeter struct {
	width   time.Duration // of a bucket
	buckets [rateBuckets]struct {
		placements int
		busy       time.Duration
	}
	current    int
	startedAt  time.Time // start of the current bucket
	advancedAt time.Time
	reportedAt time.Time
}

// advance moves the window to now. waiting says whether requests have waited since the last call.
func (m *rateMeter) advance(now time.Time, waiting bool) {
	if m.startedAt.IsZero() || now.Sub(m.startedAt) >= 2*rateBuckets*m.width {
		*m = rateMeter{width: m.width, startedAt: now, advancedAt: now, reportedAt: m.reportedAt}
		return
	}
	for now.After(m.advancedAt) {
		end := m.startedAt.Add(m.width)
		until := end
		if now.Before(end) {
			until = now
		}
		if waiting {
			busyUntil := until
			if last := m.reportedAt.Add(maxReportGap); last.Before(until) {
				busyUntil = last
			}
			m.buckets[m.current].busy += max(busyUntil.Sub(m.advancedAt), 0)
		}
		m.advancedAt = until
		if until.Equal(end) {
			m.current = (m.current + 1) % rateBuckets
			m.buckets[m.current].placements, m.buckets[m.current].busy = 0, 0
			m.startedAt = end
		}
	}
}

// count counts a placement.
func (m *rateMeter) count() { m.buckets[m.current].placements++ }

// perSecond returns the placements per second; 0 if there were too few in the window.
func (m *rateMeter) perSecond() float64 {
	placements, busy := 0, time.Duration(0)
	for _, b := range m.buckets {
		placements += b.placements
		busy += b.busy
	}
	if placements < minPlacements || busy < time.Duration(minBusyShare*rateBuckets*float64(m.width)) {
		return 0
	}
	return float64(placements) / busy.Seconds()
}

// expectedWait returns how long it takes until a position in the order comes up; 0 if the rate is not known.
func expectedWait(position int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(position) / rate * float64(time.Second))
}
