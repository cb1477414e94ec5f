package exchange

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/departure"
	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
)

// Maximum entries of an announcement. They keep it within 2,900 bytes; usual ones have 200 to 400
// bytes.
const (
	maxPlaced    = 24
	maxSuspects  = 32
	maxEnded     = 24
	maxPrefilled = 24
	maxOutcomes  = 16
	maxPaces     = 16
	maxLimits    = 6
	// maxDepartures is small since each instance learns from its own answers too. Each departure takes
	// the space of suspectsPerDeparture suspects.
	maxDepartures        = 8
	suspectsPerDeparture = 2
)

// encodeAnnouncement returns an announcement of a report and of the counts by service, as of now. Of
// too many placements, outcomes and paces it keeps the largest, of limits those that changed last,
// of other lists the first entries.
func encodeAnnouncement(own routing.PeerReport, counts map[string]limits.RetryCounts, now time.Time) *peerv1.Announcement {
	suspects := maxSuspects - suspectsPerDeparture*min(len(own.Departures), maxDepartures)
	a := &peerv1.Announcement{
		Suspects:   own.Suspects[:min(len(own.Suspects), suspects)],
		Ended:      own.Ended[:min(len(own.Ended), maxEnded)],
		Uses:       encodeCounts(counts),
		Limits:     encodeLimits(own.Limits, maxLimits, now),
		Departures: encodeDepartures(own.Departures, maxDepartures, now),
	}
	for _, r := range own.Prefilled[:min(len(own.Prefilled), maxPrefilled)] {
		a.Read = append(a.Read, &peerv1.ReadAt{Endpoint: r.Endpoint, Prompt: r.Prompt})
	}
	for _, id := range largestKeys(own.Placed, maxPlaced, func(p routing.Placed) float64 { return float64(p.Tokens) }) {
		p := own.Placed[id]
		placed := encodePlaced(id, &p)
		placed.SlackMs = encodeSlack(slackOf(own.Slacks, id))
		a.Placed = append(a.Placed, placed)
	}
	a.Outcomes, a.Paces = encodeOutcomes(own.Outcomes), encodeSpeeds(encodePaces(own.Paces), own.Speeds)
	return a
}

func encodePlaced(id string, p *routing.Placed) *peerv1.PlacedAt {
	return &peerv1.PlacedAt{
		Endpoint: id, Open: uint32(p.Open), Tokens: uint32(p.Tokens), Unread: uint32(p.PendingPrefill), UnreadByRank: encodeLevels(&p.PendingByLevel),
	}
}

// encodeLevels leaves out the zeros at the end.
func encodeLevels(tokens *[route.MaxLevels]int32) []uint32 {
	var out []uint32
	for level, n := range tokens {
		if n > 0 {
			out = append(out, make([]uint32, level+1-len(out))...)
			out[level] = uint32(n)
		}
	}
	return out
}

// decodeLevels ignores levels beyond those known here.
func decodeLevels(sent []uint32) (tokens [route.MaxLevels]int32) {
	for level, n := range sent[:min(len(sent), route.MaxLevels)] {
		tokens[level] = int32(n)
	}
	return tokens
}

func decodePlaced(p *peerv1.PlacedAt) routing.Placed {
	return routing.Placed{Open: int(p.GetOpen()), Tokens: int(p.GetTokens()), PendingPrefill: int(p.GetUnread()), PendingByLevel: decodeLevels(p.GetUnreadByRank())}
}

func encodeOutcomes(outcomes map[string]health.Counts) []*peerv1.OutcomesAt {
	var out []*peerv1.OutcomesAt
	for _, id := range largestKeys(outcomes, maxOutcomes, func(c health.Counts) float64 { return c.Bad }) {
		out = append(out, &peerv1.OutcomesAt{Endpoint: id, Good: toTenths(outcomes[id].Good), Bad: toTenths(outcomes[id].Bad)})
	}
	return out
}

func decodeOutcomes(outcomes []*peerv1.OutcomesAt) map[string]health.Counts {
	out := make(map[string]health.Counts, len(outcomes))
	for _, o := range outcomes {
		out[o.Endpoint] = health.Counts{Good: fromTenths(o.Good), Bad: fromTenths(o.Bad)}
	}
	return out
}

func encodePaces(paces map[string]float64) []*peerv1.PaceAt {
	var out []*peerv1.PaceAt
	for _, id := range largestKeys(paces, maxPaces, func(f float64) float64 { return f }) {
		out = append(out, &peerv1.PaceAt{Endpoint: id, Factor: toTenths(paces[id])})
	}
	return out
}

func decodePaces(paces []*peerv1.PaceAt) map[string]float64 {
	out := make(map[string]float64, len(paces))
	for _, p := range paces {
		if p.Factor > 0 {
			out[p.Endpoint] = fromTenths(p.Factor)
		}
	}
	return out
}

func encodeCounts(counts map[string]limits.RetryCounts) []*peerv1.ServiceUse {
	var out []*peerv1.ServiceUse
	for service, c := range counts {
		out = append(out, &peerv1.ServiceUse{Service: service, Requests: c.Requests, Repeats: c.Retries, RecentRequests: c.RecentRequests, RecentRepeats: c.RecentRetries})
	}
	return out
}

func decodeCounts(uses []*peerv1.ServiceUse, process uint64) map[string]limits.RetryCounts {
	out := make(map[string]limits.RetryCounts, len(uses))
	for _, u := range uses {
		out[u.Service] = limits.RetryCounts{Requests: u.Requests, Retries: u.Repeats, RecentRequests: u.RecentRequests, RecentRetries: u.RecentRepeats, Process: process}
	}
	return out
}

// encodeLimits returns the n statements whose limits changed last.
func encodeLimits(all map[string]admission.Statement, n int, now time.Time) []*peerv1.StatedLimits {
	var out []*peerv1.StatedLimits
	for _, id := range largestKeys(all, n, func(st admission.Statement) float64 { return -now.Sub(st.ChangedAt).Seconds() }) {
		out = append(out, encodeStatement(id, all[id], now))
	}
	return out
}

func decodeLimits(all []*peerv1.StatedLimits, now time.Time) map[string]admission.Statement {
	out := make(map[string]admission.Statement, len(all))
	for _, l := range all {
		if id, st := decodeStatement(l, now); id != "" {
			out[id] = st
		}
	}
	return out
}

// milliPerUnit: rates are sent as whole thousandths.
const milliPerUnit = 1000

// encodeStatement returns what an endpoint stated, with its age; nil if nothing is known.
func encodeStatement(endpoint string, st admission.Statement, now time.Time) *peerv1.StatedLimits {
	if st.At.IsZero() {
		return nil
	}
	out := &peerv1.StatedLimits{Endpoint: endpoint, Age: uint64(max(now.Sub(st.At), 0).Milliseconds())}
	if st.HasRate {
		out.Rate = proto.Uint64(uint64(math.Round(st.Rate * milliPerUnit)))
	}
	if st.Fragile {
		out.Refusals = proto.Uint32(uint32(st.MaxRefusals))
	}
	return out
}

// decodeStatement returns an endpoint and what it stated; an empty id for nil.
func decodeStatement(l *peerv1.StatedLimits, now time.Time) (endpoint string, st admission.Statement) {
	if l == nil {
		return "", admission.Statement{}
	}
	st.At = timeOfAge(l.Age, now)
	if l.Rate != nil {
		st.Rate, st.HasRate = float64(*l.Rate)/milliPerUnit, true
	}
	if l.Refusals != nil {
		st.MaxRefusals, st.Fragile = int(*l.Refusals), true
	}
	return l.Endpoint, st
}

// maxStatementAge is the largest age of a statement that is told apart, in milliseconds.
const maxStatementAge = 1 << 32

// encodeDepartures returns the n endpoints that said last that they leave.
func encodeDepartures(all map[string]departure.Statement, n int, now time.Time) []*peerv1.Departure {
	var out []*peerv1.Departure
	for _, id := range largestKeys(all, n, func(st departure.Statement) float64 { return -now.Sub(st.At).Seconds() }) {
		st := all[id]
		out = append(out, &peerv1.Departure{Endpoint: id, Age: uint64(max(now.Sub(st.At), 0).Milliseconds()), Sequence: st.Sequence})
	}
	return out
}

func decodeDepartures(all []*peerv1.Departure, now time.Time) map[string]departure.Statement {
	out := make(map[string]departure.Statement, len(all))
	for _, d := range all {
		if d.Endpoint != "" {
			out[d.Endpoint] = departure.Statement{At: timeOfAge(d.Age, now), Sequence: d.Sequence}
		}
	}
	return out
}

// timeOfAge returns the time that was an age in milliseconds ago.
func timeOfAge(age uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(age, maxStatementAge)) * time.Millisecond)
}

// tenthsPerUnit: outcomes and paces are sent as whole tenths.
const tenthsPerUnit = 10

func toTenths(f float64) uint32 { return uint32(math.Round(f * tenthsPerUnit)) }

func fromTenths(n uint32) float64 { return float64(n) / tenthsPerUnit }

// largestKeys returns the n keys of the largest values, largest first, and equals in the order of
// the keys.
func largestKeys[V any](values map[string]V, n int, size func(V) float64) []string {
	ids := slices.Sorted(maps.Keys(values))
	sort.SliceStable(ids, func(i, j int) bool { return size(values[ids[i]]) > size(values[ids[j]]) })
	return ids[:min(len(ids), n)]
}

// decodeAnnouncement returns the report and the counts of an announcement that arrived now.
func decodeAnnouncement(a *peerv1.Announcement, now time.Time) (routing.PeerReport, map[string]limits.RetryCounts) {
	report := routing.PeerReport{
		Suspects: a.Suspects, Ended: a.Ended, Placed: make(map[string]routing.Placed, len(a.Placed)),
		Outcomes: decodeOutcomes(a.Outcomes), Paces: decodePaces(a.Paces), Speeds: decodeSpeeds(a.Paces), Limits: decodeLimits(a.Limits, now),
		Departures: decodeDepartures(a.Departures, now),
	}
	for _, p := range a.Placed {
		report.Placed[p.Endpoint] = decodePlaced(p)
		addSlack(&report, p)
	}
	for _, r := range a.Read {
		report.Prefilled = append(report.Prefilled, routing.PrefilledPrompt{Endpoint: r.Endpoint, Prompt: r.Prompt})
	}
	return report, decodeCounts(a.Uses, a.Process)
}

// encodeDigest adds an aggregated report and the counts to a digest. A data centre that has lost
// all its engines has more suspects than an instance, so a digest holds twice as many.
func encodeDigest(d *peerv1.Digest, report routing.PeerReport, counts map[string]limits.RetryCounts, now time.Time) *peerv1.Digest {
	d.Suspects = report.Suspects[:min(len(report.Suspects), 2*maxSuspects)]
	d.Ended = report.Ended[:min(len(report.Ended), maxEnded)]
	d.Outcomes, d.Paces, d.Uses = encodeOutcomes(report.Outcomes), encodePaces(report.Paces), encodeCounts(counts)
	d.Limits = encodeLimits(report.Limits, 2*maxLimits, now)
	d.Departures = encodeDepartures(report.Departures, 2*maxDepartures, now)
	return d
}

func decodeDigest(d *peerv1.Digest, now time.Time) (routing.PeerReport, map[string]limits.RetryCounts) {
	counts := decodeCounts(d.Uses, d.Process)
	for service, c := range counts {
		c.Group = true
		counts[service] = c
	}
	return routing.PeerReport{
		Suspects: d.Suspects, Ended: d.Ended, Outcomes: decodeOutcomes(d.Outcomes), Paces: decodePaces(d.Paces), Limits: decodeLimits(d.Limits, now),
		Departures: decodeDepartures(d.Departures, now),
	}, counts
}
