package reachability

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestEvidence plays events, one each 100 ms, and checks when an instance takes itself to be cut
// off. One endpoint, or a data centre, that is down must not cut it off, nor failures long apart.
func TestEvidence(t *testing.T) {
	const (
		failA, failB, contact, miss, hit = 'a', 'b', 'c', 'm', 'h'
	)
	for name, c := range map[string]struct {
		events string
		probes string // for each event, p where further endpoints are to be probed
		cutOff string // for each event, x where the instance is cut off after it
	}{
		"one endpoint is down":        {"aaaaaa", "------", "------"},
		"two are down, others answer": {"abhcab", "-p---p", "------"},
		"contact between failures":    {"acbcacb", "-------", "-------"},
		"cut":                         {"abmm", "-p--", "---x"},
		"one round missed by chance":  {"abmhm", "-p---", "-----"},
		"contact between rounds":      {"abmcm", "-p---", "-----"},
		"cut and end":                 {"abmmmmhh", "-p------", "---xxxx-"},
		"end without a flap":          {"abmmhmhmhh", "-p--------", "---xxxxxx-"},
		"returns soon":                {"abmmhhabmmhhhh", "-p-----p------", "---xx----xxxx-"},
		"real contact ends it":        {"abmmc", "-p---", "---x-"},
	} {
		t.Run(name, func(t *testing.T) {
			var s State
			probes, cutOff := "", ""
			for i, event := range c.events {
				now, probe := at(time.Duration(i)*100*time.Millisecond), false
				switch event {
				case failA, failB:
					probe = s.Failed(now, string(event))
				case contact:
					s.Connected(now)
				case miss:
					s.Probed(now, 5, 0)
				case hit:
					s.Probed(now, 5, 1)
				}
				probes += map[bool]string{true: "p", false: "-"}[probe]
				cutOff += map[bool]string{true: "x", false: "-"}[s.CutOff()]
			}
			assert.Equal(t, probes, c.probes)
			assert.Equal(t, cutOff, c.cutOff)
		})
	}
}

// TestOldFailuresDoNotCount guards against an instance that probes because of failures far apart.
func TestOldFailuresDoNotCount(t *testing.T) {
	var s State
	for i := range 20 {
		assert.Assert(t, !s.Failed(at(time.Duration(i)*4*time.Second), fmt.Sprint(i)))
	}
	assert.Equal(t, s.Suspects(), 1)
	assert.Assert(t, !s.Probed(at(0), 0, 0), "a round without endpoints says nothing")
}

// TestCutChanges checks that a cut and its end are reported once each.
func TestCutChanges(t *testing.T) {
	var s State
	assert.Assert(t, !s.Probed(at(0), 3, 0))
	assert.Assert(t, s.Probed(at(time.Second), 3, 0))
	assert.Equal(t, s.Since(), at(time.Second))
	assert.Assert(t, !s.Probed(at(2*time.Second), 3, 0))
	assert.Assert(t, !s.Probed(at(3*time.Second), 3, 1))
	assert.Assert(t, s.Probed(at(4*time.Second), 3, 1))
	assert.Assert(t, !s.Probed(at(5*time.Second), 3, 1))
}
