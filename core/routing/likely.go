package routing

import (
	"sort"
	"time"

	"github.com/agateway/agateway/core/rendezvous"
)

// prompt returns the hash that names the whole prompt; false when the request has none.
func (r *Request) prompt() (uint64, bool) {
	if len(r.Prefixes) == 0 {
		return 0, false
	}
	last := r.Prefixes[len(r.Prefixes)-1]
	return last, last != 0
}

// likely compares the n eligible members of a group that rank highest for a prompt.
func (p *picker) likely(group []*node, prompt uint64, n int) {
	for _, m := range ranked(group, prompt, n, p.eligible) {
		p.consider(m)
	}
}

// ranked returns the n members of a group that rank highest for a prompt, of those that take work.
func ranked(group []*node, prompt uint64, n int, takes func(*node) bool) []*node {
	type rank struct {
		node   *node
		weight uint64
	}
	best := make([]rank, 0, n+1)
	for _, m := range group {
		w := rendezvous.WeightOfHashes(prompt, m.hash)
		if len(best) == n && w <= best[n-1].weight || !takes(m) {
			continue
		}
		at := sort.Search(len(best), func(i int) bool { return best[i].weight < w })
		best = append(best, rank{})
		copy(best[at+1:], best[at:])
		best[at] = rank{m, w}
		best = best[:min(len(best), n)]
	}
	out := make([]*node, len(best))
	for i := range best {
		out[i] = best[i].node
	}
	return out
}

// Likely returns the n endpoints at which the prompt of a request was most likely placed by an instance that chose
// among the same endpoints, the most likely first. Where that is not by the prompt, all are equally likely.
func (v *View) Likely(now time.Time, r *Request, n int) []Endpoint {
	group := v.groups[groupKey{r.Service, ""}]
	if !v.set.ByPrompt {
		n = len(group)
	}
	prompt, ok := r.prompt()
	if !ok || n == 0 {
		return nil
	}
	takes := func(m *node) bool {
		return m.takesWork(now) && m.serves(r.Model, r.Adapter, r.Version) && r.Builds.Allow(&m.Endpoint)
	}
	var out []Endpoint
	for _, m := range ranked(group, prompt, n, takes) {
		out = append(out, m.described())
	}
	return out
}
