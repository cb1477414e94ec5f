package routing

import (
	"sort"
	"time"

	"github.com/agateway/agateway/core/rendezvous"
)

// promptHash returns the hash of the whole prompt; false if the request has none.
func (r *Request) promptHash() (uint64, bool) {
	if len(r.Prefixes) == 0 {
		return 0, false
	}
	last := r.Prefixes[len(r.Prefixes)-1]
	return last, last != 0
}

// considerByPrompt compares the n eligible members of a group that rank highest for a prompt.
func (p *picker) considerByPrompt(group []*node, prompt uint64, n int) {
	for _, m := range topRanked(group, prompt, n, p.eligible) {
		p.consider(m)
	}
}

// topRanked returns the n eligible members of a group that rank highest for a prompt by rendezvous
// hash, highest first.
func topRanked(group []*node, prompt uint64, n int, eligible func(*node) bool) []*node {
	type rankedNode struct {
		node   *node
		weight uint64
	}
	best := make([]rankedNode, 0, n+1)
	for _, m := range group {
		w := rendezvous.WeightOfHashes(prompt, m.hash)
		if len(best) == n && w <= best[n-1].weight || !eligible(m) {
			continue
		}
		at := sort.Search(len(best), func(i int) bool { return best[i].weight < w })
		best = append(best, rankedNode{})
		copy(best[at+1:], best[at:])
		best[at] = rankedNode{m, w}
		best = best[:min(len(best), n)]
	}
	out := make([]*node, len(best))
	for i := range best {
		out[i] = best[i].node
	}
	return out
}

// LikelyEndpoints returns the n endpoints at which an instance that chose among the same endpoints
// most likely placed the prompt of a request, most likely first. Without [Settings.ByPrompt] all
// endpoints are equally likely, and all that can take the request are returned. It returns nil if
// the request has no prompt.
func (v *View) LikelyEndpoints(now time.Time, r *Request, n int) []Endpoint {
	group := v.groups[groupKey{r.Service, ""}]
	if !v.settings.ByPrompt {
		n = len(group)
	}
	prompt, ok := r.promptHash()
	if !ok || n == 0 {
		return nil
	}
	eligible := func(m *node) bool {
		return m.takesWork(now) && m.serves(r.Model, r.Adapter, r.Version) && r.Builds.Allows(&m.Endpoint)
	}
	var out []Endpoint
	for _, m := range topRanked(group, prompt, n, eligible) {
		out = append(out, m.snapshot())
	}
	return out
}
