package membership

import (
	"math/rand/v2"
	"sort"
)

// loadStep is the difference in open requests that counts when entry addresses are
// ranked; below it chance decides, so that callers spread.
const loadStep = 8

// Entry returns the members that callers should use, best first: alive and not leaving,
// those of the caller's data centre first, then by load; equals in random order.
func Entry(members []Member, dataCentre string, rnd *rand.Rand) []Member {
	var out []Member
	for _, m := range members {
		if m.State == Alive && !m.Leaving {
			out = append(out, m)
		}
	}
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	sort.SliceStable(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		if near := a.DataCentre == dataCentre; near != (b.DataCentre == dataCentre) {
			return near
		}
		return a.Open/loadStep < b.Open/loadStep
	})
	return out
}
