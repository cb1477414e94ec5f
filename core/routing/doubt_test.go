package routing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNoCopyAtAnEngineThatOthersLost: the pattern is a data centre of which most engines crash while the list still names
// them. Two other instances have lost requests there. A copy kept at one of them was dropped the moment after, as the
// engine is not usable, and the stream had none until another one was asked for; the choice has to leave them out.
func TestNoCopyAtAnEngineThatOthersLost(t *testing.T) {
	s := DefaultSettings()
	s.ByPrompt, s.Choices, s.LastResort = true, 6, true
	v := NewView(s)
	var lost []string
	for i := range 36 {
		e := Endpoint{ID: fmt.Sprint("e", i), Service: "engines", DataCentre: fmt.Sprint("dc", i%2), Slots: 6, Memory: 88000}
		v.Upsert(e)
		if i%2 == 1 && i > 3 {
			lost = append(lost, e.ID)
		}
	}
	for _, peer := range []string{"p1", "p2"} {
		v.SetPeer(epoch, peer, Told{Suspects: lost})
	}
	for prompt := range uint64(200) {
		d, err := v.Pick(epoch, &Request{
			Service: "engines", DataCentre: "dc0", Away: "dc0", Copy: true, Tokens: 9200, Prefixes: []uint64{prompt + 1}, Weights: Weights{Load: 0.5, Memory: 1},
		}, rnd())
		assert.NilError(t, err)
		assert.Assert(t, v.Usable(epoch, d.Endpoint.ID), "%s for prompt %d", d.Endpoint.ID, prompt)
	}
}
