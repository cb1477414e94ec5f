package exchange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
)

func peer(id string, ready bool) Peer {
	return Peer{ID: id, Callers: id + ":80", Peers: id + ":83", DataCentre: "dc0", Region: "r", Ready: ready}
}

func TestTable(t *testing.T) {
	x := newTable("self")
	x.known(peer("self", true))
	x.known(peer("a", true))
	assert.Equal(t, len(x.alive()), 0, "named by the store, not heard yet")
	assert.DeepEqual(t, x.addresses(), []string{"a:83"})
	assert.Assert(t, x.heard(0, peer("a", true), 5))
	assert.Assert(t, !x.heard(0, peer("a", false), 5), "overtaken")
	assert.Assert(t, !x.heard(0, peer("self", true), 9))
	assert.DeepEqual(t, x.alive(), []Peer{peer("a", true)})
	assert.Equal(t, len(x.expire(time.Second, time.Second)), 0)
	assert.DeepEqual(t, x.expire(1001*time.Millisecond, time.Second), []string{"a"})
	assert.Equal(t, len(x.expire(2*time.Second, time.Second)), 0, "told once")
	assert.Equal(t, x.count(), 0)
	assert.DeepEqual(t, x.addresses(), []string{"a:83"}) // it may be back
	assert.Assert(t, x.heard(3*time.Second, peer("a", true), 6))
	assert.Equal(t, x.count(), 1)
}

func TestSortNearest(t *testing.T) {
	peers := []Peer{
		{ID: "far", DataCentre: "x", Region: "y"}, {ID: "region", DataCentre: "dc1", Region: "r"}, {ID: "near", DataCentre: "dc0", Region: "r"},
	}
	sortNearest(peers, "dc0", "r")
	assert.DeepEqual(t, []string{peers[0].ID, peers[1].ID, peers[2].ID}, []string{"near", "region", "far"})
}

// TestFit: where most is placed is told first.
func TestFit(t *testing.T) {
	placed := map[string]routing.Placed{}
	for i := range 40 {
		placed[fmt.Sprintf("e%02d", i)] = routing.Placed{Tokens: i}
	}
	assert.DeepEqual(t, fit(placed, 3), []string{"e39", "e38", "e37"})
	assert.Equal(t, len(fit(placed, 100)), 40)
}

// TestPace: what all instances together send and receive must not grow with the square of their number.
func TestPace(t *testing.T) {
	for n, want := range map[int]time.Duration{1: every, 12: every, 48: 2 * every, 87: everyMost, 400: everyMost} {
		assert.Equal(t, pace(n).Round(time.Millisecond), want, "%d instances", n)
	}
}
