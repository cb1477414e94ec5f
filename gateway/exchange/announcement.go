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
func encode(own routing.Told, uses map[string]limits.Counted) *peerv1.Announcement {
	a := &peerv1.Announcement{
		Suspects: own.Suspects[:min(len(own.Suspects), suspectsMost)],
		Ended:    own.Ended[:min(len(own.Ended), endedMost)],
	}
	for service, c := range uses {
		a.Uses = append(a.Uses, &peerv1.ServiceUse{Service: service, Requests: c.Requests, Repeats: c.Repeats})
	}
	for _, r := range own.Read[:min(len(own.Read), readMost)] {
		a.Read = append(a.Read, &peerv1.ReadAt{Endpoint: r.Endpoint, Prompt: r.Prompt})
	}
	for _, id := range most(own.Placed, placedMost, func(p routing.Placed) float64 { return float64(p.Tokens) }) {
		p := own.Placed[id]
		a.Placed = append(a.Placed, &peerv1.PlacedAt{Endpoint: id, Open: uint32(p.Open), Tokens: uint32(p.Tokens), Unread: uint32(p.Unread)})
	}
	for _, id := range most(own.Outcomes, outcomesMost, func(c health.Counts) float64 { return c.Bad }) {
		c := own.Outcomes[id]
		a.Outcomes = append(a.Outcomes, &peerv1.OutcomesAt{Endpoint: id, Good: tenths(c.Good), Bad: tenths(c.Bad)})
	}
	for _, id := range most(own.Paces, pacesMost, func(f float64) float64 { return f }) {
		a.Paces = append(a.Paces, &peerv1.PaceAt{Endpoint: id, Factor: tenths(own.Paces[id])})
	}
	return a
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
func decode(a *peerv1.Announcement) (routing.Told, map[string]limits.Counted) {
	t := routing.Told{
		Suspects: a.Suspects, Ended: a.Ended, Placed: make(map[string]routing.Placed, len(a.Placed)),
		Outcomes: map[string]health.Counts{}, Paces: map[string]float64{},
	}
	for _, p := range a.Placed {
		t.Placed[p.Endpoint] = routing.Placed{Open: int(p.Open), Tokens: int(p.Tokens), Unread: int(p.Unread)}
	}
	for _, r := range a.Read {
		t.Read = append(t.Read, routing.Read{Endpoint: r.Endpoint, Prompt: r.Prompt})
	}
	for _, o := range a.Outcomes {
		t.Outcomes[o.Endpoint] = health.Counts{Good: ofTenths(o.Good), Bad: ofTenths(o.Bad)}
	}
	for _, p := range a.Paces {
		t.Paces[p.Endpoint] = ofTenths(p.Factor)
	}
	uses := make(map[string]limits.Counted, len(a.Uses))
	for _, u := range a.Uses {
		uses[u.Service] = limits.Counted{Requests: u.Requests, Repeats: u.Repeats}
	}
	return t, uses
}
