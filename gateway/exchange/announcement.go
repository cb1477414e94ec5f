package exchange

import (
	"maps"
	"math"
	"slices"
	"sort"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// Most entries of an announcement. They keep it within 2,900 bytes; usual ones have 200 to 400.
const (
	placedMost   = 24
	suspectsMost = 32
	endedMost    = 24
	readMost     = 24
	outcomesMost = 16
	pacesMost    = 16
)

// encode returns an announcement of what an instance has to tell of endpoints, and of what it has counted.
func encode(own routing.PeerReport, uses map[string]limits.RetryCounts) *peerv1.Announcement {
	a := &peerv1.Announcement{
		Suspects: own.Suspects[:min(len(own.Suspects), suspectsMost)],
		Ended:    own.Ended[:min(len(own.Ended), endedMost)],
		Uses:     encodeUses(uses),
	}
	for _, r := range own.Prefilled[:min(len(own.Prefilled), readMost)] {
		a.Read = append(a.Read, &peerv1.ReadAt{Endpoint: r.Endpoint, Prompt: r.Prompt})
	}
	for _, id := range most(own.Placed, placedMost, func(p routing.Placed) float64 { return float64(p.Tokens) }) {
		p := own.Placed[id]
		a.Placed = append(a.Placed, encodePlaced(id, &p))
	}
	a.Outcomes, a.Paces = encodeOutcomes(own.Outcomes), encodePaces(own.Paces)
	return a
}

func encodePlaced(id string, p *routing.Placed) *peerv1.PlacedAt {
	return &peerv1.PlacedAt{Endpoint: id, Open: uint32(p.Open), Tokens: uint32(p.Tokens), Unread: uint32(p.PendingPrefill)}
}

func decodePlaced(p *peerv1.PlacedAt) routing.Placed {
	return routing.Placed{Open: int(p.GetOpen()), Tokens: int(p.GetTokens()), PendingPrefill: int(p.GetUnread())}
}

func encodeOutcomes(of map[string]health.Counts) []*peerv1.OutcomesAt {
	var out []*peerv1.OutcomesAt
	for _, id := range most(of, outcomesMost, func(c health.Counts) float64 { return c.Bad }) {
		out = append(out, &peerv1.OutcomesAt{Endpoint: id, Good: tenths(of[id].Good), Bad: tenths(of[id].Bad)})
	}
	return out
}

func decodeOutcomes(of []*peerv1.OutcomesAt) map[string]health.Counts {
	out := make(map[string]health.Counts, len(of))
	for _, o := range of {
		out[o.Endpoint] = health.Counts{Good: ofTenths(o.Good), Bad: ofTenths(o.Bad)}
	}
	return out
}

func encodePaces(of map[string]float64) []*peerv1.PaceAt {
	var out []*peerv1.PaceAt
	for _, id := range most(of, pacesMost, func(f float64) float64 { return f }) {
		out = append(out, &peerv1.PaceAt{Endpoint: id, Factor: tenths(of[id])})
	}
	return out
}

func decodePaces(of []*peerv1.PaceAt) map[string]float64 {
	out := make(map[string]float64, len(of))
	for _, p := range of {
		out[p.Endpoint] = ofTenths(p.Factor)
	}
	return out
}

func encodeUses(of map[string]limits.RetryCounts) []*peerv1.ServiceUse {
	var out []*peerv1.ServiceUse
	for service, c := range of {
		out = append(out, &peerv1.ServiceUse{Service: service, Requests: c.Requests, Repeats: c.Retries})
	}
	return out
}

func decodeUses(of []*peerv1.ServiceUse) map[string]limits.RetryCounts {
	out := make(map[string]limits.RetryCounts, len(of))
	for _, u := range of {
		out[u.Service] = limits.RetryCounts{Requests: u.Requests, Retries: u.Repeats}
	}
	return out
}

// tenth is the unit of what is told in parts.
const tenth = 10

func tenths(f float64) uint32 { return uint32(math.Round(f * tenth)) }

func ofTenths(n uint32) float64 { return float64(n) / tenth }

// most returns the n keys of the largest values, largest first.
func most[V any](of map[string]V, n int, size func(V) float64) []string {
	ids := slices.Sorted(maps.Keys(of))
	sort.SliceStable(ids, func(i, j int) bool { return size(of[ids[i]]) > size(of[ids[j]]) })
	return ids[:min(len(ids), n)]
}

// decode returns what an announcement tells.
func decode(a *peerv1.Announcement) (routing.PeerReport, map[string]limits.RetryCounts) {
	t := routing.PeerReport{
		Suspects: a.Suspects, Ended: a.Ended, Placed: make(map[string]routing.Placed, len(a.Placed)),
		Outcomes: decodeOutcomes(a.Outcomes), Paces: decodePaces(a.Paces),
	}
	for _, p := range a.Placed {
		t.Placed[p.Endpoint] = decodePlaced(p)
	}
	for _, r := range a.Read {
		t.Prefilled = append(t.Prefilled, routing.PrefilledPrompt{Endpoint: r.Endpoint, Prompt: r.Prompt})
	}
	return t, decodeUses(a.Uses)
}

// encodeDigest adds what is summed up to a digest. A data centre whose engines are all lost has more to tell than an
// instance; it is told of twice as many.
func encodeDigest(d *peerv1.Digest, t routing.PeerReport, uses map[string]limits.RetryCounts) *peerv1.Digest {
	d.Suspects = t.Suspects[:min(len(t.Suspects), 2*suspectsMost)]
	d.Ended = t.Ended[:min(len(t.Ended), endedMost)]
	d.Outcomes, d.Paces, d.Uses = encodeOutcomes(t.Outcomes), encodePaces(t.Paces), encodeUses(uses)
	return d
}

func decodeDigest(d *peerv1.Digest) (routing.PeerReport, map[string]limits.RetryCounts) {
	return routing.PeerReport{Suspects: d.Suspects, Ended: d.Ended, Outcomes: decodeOutcomes(d.Outcomes), Paces: decodePaces(d.Paces)}, decodeUses(d.Uses)
}
