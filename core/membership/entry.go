package membership

import (
	"math/rand/v2"
	"sort"
)

// loadStepRequests is the size of the load classes, in open requests, by which entry addresses are
// ranked. Members of one class are in random order, so that callers spread over them.
const loadStepRequests = 8

// EntryMembers returns the members that callers should use: those that are alive and not leaving.
// Members of the caller's data centre come first, then those with less load; equal ones are in
// random order.
func EntryMembers(members []Member, dataCentre string, rnd *rand.Rand) []Member {
	var out []Member
	for _, m := range members {
		if m.State == Alive && !m.Leaving {
			out = append(out, m)
		}
	}
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	sort.SliceStable(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		if aLocal := a.DataCentre == dataCentre; aLocal != (b.DataCentre == dataCentre) {
			return aLocal
		}
		return a.OpenRequests/loadStepRequests < b.OpenRequests/loadStepRequests
	})
	return out
}
