package routing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNoCopyAtEngineSuspectedByOthers guards against copies at engines that two other instances
// suspect. Most engines of a data centre crash while the list still names them. A copy placed at
// one of them was dropped at once, as the engine is not usable, and the stream had no copy until
// the next one was placed.
func TestNoCopyAtEngineSuspectedByOthers(t *testing.T) {
	s := DefaultSettings()
	s.ByPrompt, s.Choices, s.FallBackToSuspected = true, 6, true
	v := NewView(s)
	var suspects []string
	for i := range 36 {
		e := Endpoint{ID: fmt.Sprint("e", i), Service: "engines", DataCentre: fmt.Sprint("dc", i%2), Slots: 6, Memory: 88000}
		v.Upsert(e)
		if i%2 == 1 && i > 3 {
			suspects = append(suspects, e.ID)
		}
	}
	for _, peer := range []string{"p1", "p2"} {
		v.SetPeerReport(epoch, peer, PeerReport{Suspects: suspects})
	}
	for prompt := range uint64(200) {
		d, err := v.Pick(epoch, &Request{
			Service: "engines", DataCentre: "dc0", ExcludeDataCentre: "dc0", Copy: true, Tokens: 9200, Prefixes: []uint64{prompt + 1}, Weights: Weights{Load: 0.5, Memory: 1},
		}, testRand())
		assert.NilError(t, err)
		assert.Assert(t, v.Usable(epoch, d.Endpoint.ID), "%s for prompt %d", d.Endpoint.ID, prompt)
	}
}
