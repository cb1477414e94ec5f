package fleet

import (
	"math/rand/v2"
	"sort"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/membership"
)

// usageTable holds the newest report of each instance about its use of shared limits.
type usageTable struct {
	reports map[string]*usageReport
}

type usageReport struct {
	sequence uint64
	at       time.Time // when it came
	usage    map[string]limits.Usage
}

const (
	// usageTTL is how long a report counts.
	usageTTL = 15 * time.Second
	// usageRelays is how many other instances' reports go along with a heartbeat.
	usageRelays = 4
	// relayUpTo is the number of other instances up to which reports are passed on.
	relayUpTo = 48
	// usageKeys bounds the limits told in one report; the most used ones are told.
	usageKeys = 32
)

func (t *usageTable) own(self string, now time.Time, usage map[string]limits.Usage) {
	r := t.reports[self]
	if r == nil {
		// Sequence numbers of an earlier run are lower.
		r = &usageReport{sequence: uint64(now.UnixMilli())}
		t.reports[self] = r
	}
	r.sequence++
	r.usage, r.at = busiest(usage), now
}

// busiest keeps the limits with the highest use.
func busiest(usage map[string]limits.Usage) map[string]limits.Usage {
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
	out := make(map[string]limits.Usage, min(len(keys), usageKeys))
	for _, k := range keys[:min(len(keys), usageKeys)] {
		out[k] = usage[k]
	}
	return out
}

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
		t.reports[r.Instance] = &usageReport{sequence: r.Sequence, at: now, usage: usage}
	}
	for id, r := range t.reports {
		if now.Sub(r.at) > usageTTL {
			delete(t.reports, id)
		}
	}
}

// encode returns the instance's own report and some of the others, at random.
func (t *usageTable) encode(self string, rnd *rand.Rand) []*peerv1.UsageReport {
	ids := make([]string, 0, len(t.reports))
	for id := range t.reports {
		if id != self {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	// Relays pay in a small fleet only: in a large one the reports of all would not fit
	// what an instance may send, and instances fall back to an equal share.
	relays := 0
	if len(ids) <= relayUpTo {
		relays = min(len(ids), usageRelays)
	}
	ids = append([]string{self}, ids[:relays]...)
	var out []*peerv1.UsageReport
	for _, id := range ids {
		if r := t.reports[id]; r != nil {
			out = append(out, encodeUsage(id, r))
		}
	}
	return out
}

func encodeUsage(id string, r *usageReport) *peerv1.UsageReport {
	p := &peerv1.UsageReport{Instance: id, Sequence: r.sequence}
	for k, u := range r.usage {
		p.Usage = append(p.Usage, &peerv1.Usage{Key: k, Running: uint32(u.Running), Rate: float32(u.Rate)})
	}
	return p
}

// sum adds up what the live members besides self use, by limit, and tells how many of
// them have told.
func (t *usageTable) sum(self string, members []membership.Member) (map[string]limits.Usage, limits.FleetUsage) {
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
