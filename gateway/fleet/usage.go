package fleet

import (
	"math/rand/v2"
	"sort"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/membership"
)

// usageTable holds the newest report of each instance on its use of shared limits. Newer reports
// have higher sequence numbers.
type usageTable struct {
	reports map[string]*usageReport
}

type usageReport struct {
	sequence   uint64
	receivedAt time.Time // on this instance's clock
	usage      map[string]limits.Usage
}

const (
	// usageTTL is how long a report is used.
	usageTTL = 15 * time.Second
	// maxRelayedReports is the number of other instances' reports that are sent with a heartbeat.
	maxRelayedReports = 4
	// maxReportersForRelay is the number of other instances with a report up to which reports
	// are relayed.
	maxReportersForRelay = 48
	// maxReportedLimits bounds the limits in one report. The most used ones are reported.
	maxReportedLimits = 32
)

// setOwn stores this instance's own report, with the next sequence number.
func (t *usageTable) setOwn(self string, now time.Time, usage map[string]limits.Usage) {
	r := t.reports[self]
	if r == nil {
		// Start at the clock, so that the sequence numbers of an earlier process are lower.
		r = &usageReport{sequence: uint64(now.UnixMilli())}
		t.reports[self] = r
	}
	r.sequence++
	r.usage, r.receivedAt = mostUsed(usage), now
}

// mostUsed returns the limits with the highest use. Limits without running requests and with fewer
// than 0.01 requests/s are left out.
func mostUsed(usage map[string]limits.Usage) map[string]limits.Usage {
	keys := make([]string, 0, len(usage))
	for k, u := range usage {
		if u.Running > 0 || u.Rate >= 0.01 {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := usage[keys[i]], usage[keys[j]]
		return float64(a.Running)+a.Rate > float64(b.Running)+b.Rate
	})
	out := make(map[string]limits.Usage, min(len(keys), maxReportedLimits))
	for _, k := range keys[:min(len(keys), maxReportedLimits)] {
		out[k] = usage[k]
	}
	return out
}

// merge stores the reports that are newer than those known, and deletes reports older than usageTTL.
func (t *usageTable) merge(self string, now time.Time, reports []*peerv1.UsageReport) {
	for _, r := range reports {
		old := t.reports[r.Instance]
		if r.Instance == self || old != nil && old.sequence >= r.Sequence {
			continue
		}
		usage := make(map[string]limits.Usage, len(r.Usage))
		for _, u := range r.Usage {
			usage[u.Key] = limits.Usage{Running: int(u.Running), Rate: float64(u.Rate)}
		}
		t.reports[r.Instance] = &usageReport{sequence: r.Sequence, receivedAt: now, usage: usage}
	}
	for id, r := range t.reports {
		if now.Sub(r.receivedAt) > usageTTL {
			delete(t.reports, id)
		}
	}
}

// reportsToSend returns the instance's own report and a random choice of the others.
func (t *usageTable) reportsToSend(self string, rnd *rand.Rand) []*peerv1.UsageReport {
	ids := make([]string, 0, len(t.reports))
	for id := range t.reports {
		if id != self {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	// Relay reports in a small fleet only. In a large one the reports of all instances would exceed
	// what an instance may send, and instances fall back to an equal share of the limits.
	relays := 0
	if len(ids) <= maxReportersForRelay {
		relays = min(len(ids), maxRelayedReports)
	}
	ids = append([]string{self}, ids[:relays]...)
	var out []*peerv1.UsageReport
	for _, id := range ids {
		if r := t.reports[id]; r != nil {
			out = append(out, encodeReport(id, r))
		}
	}
	return out
}

func encodeReport(id string, r *usageReport) *peerv1.UsageReport {
	p := &peerv1.UsageReport{Instance: id, Sequence: r.sequence}
	for k, u := range r.usage {
		p.Usage = append(p.Usage, &peerv1.Usage{Key: k, Running: uint32(u.Running), Rate: float32(u.Rate)})
	}
	return p
}

// sumOthers returns the sum of what the live members besides self use, by limit. The FleetUsage
// counts the live members and those of the others that have reported; its Others is zero.
func (t *usageTable) sumOthers(self string, members []membership.Member) (map[string]limits.Usage, limits.FleetUsage) {
	out, fleet := map[string]limits.Usage{}, limits.FleetUsage{}
	for i := range members {
		if members[i].State != membership.Alive {
			continue
		}
		fleet.Members++
		r := t.reports[members[i].ID]
		if members[i].ID == self || r == nil {
			continue
		}
		fleet.Reported++
		for k, u := range r.usage {
			o := out[k]
			out[k] = limits.Usage{Running: o.Running + u.Running, Rate: o.Rate + u.Rate}
		}
	}
	return out, fleet
}
