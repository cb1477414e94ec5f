package source

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeFleet returns the chooser of one instance, and its peers in five data centres.
func largeFleet(n int) (*Chooser, []Peer) {
	s := DefaultSettings()
	s.Self, s.DataCentre, s.Region, s.LinkMbps = "self", "dc0", "r", 20
	var peers []Peer
	for i := range n {
		p := Peer{ID: fmt.Sprint("front-hall-", i), DataCentre: fmt.Sprint("dc", i%5), Region: "r", Ready: true, LinkMbps: 20}
		if i < n/20 {
			p.LinkMbps = 1000
		}
		peers = append(peers, p)
	}
	return New(s), peers
}

// TestRankedPeersGiveTheSameChoice: a caller may rank the peers once for many choices.
func TestRankedPeersGiveTheSameChoice(t *testing.T) {
	for _, n := range []int{1, 7, 60, 300} {
		c, peers := largeFleet(n)
		ranked := Ranked(peers)
		for _, failed := range []string{"", ranked[0].ID, ranked[n/2].ID} {
			c.PeerFailed(0, failed)
			assert.Equal(t, c.Choose(time.Millisecond, ranked, 1), c.Choose(time.Millisecond, peers, 1))
		}
	}
}

// TestChoiceAmongRankedPeersAllocatesLittle: an instance chooses a source for each watch, several
// times a second. In a large fleet, a choice must not copy and sort all instances.
func TestChoiceAmongRankedPeersAllocatesLittle(t *testing.T) {
	for _, n := range []int{100, 985} {
		c, peers := largeFleet(n)
		ranked := Ranked(peers)
		c.Choose(0, ranked, 1)
		allocations := testing.AllocsPerRun(20, func() { c.Choose(0, ranked, 1) })
		assert.Assert(t, allocations <= 20, "%d peers: %v", n, allocations)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 300, 985} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, peers := largeFleet(n)
			ranked := Ranked(peers)
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(0, ranked, 1)
			}
		})
	}
}

// TestStartChangesSourcesRarely: while a fleet starts, an instance hears of the others one by one,
// and each takes a place in the tree. It keeps the source that it has for a while; it leaves one
// that fails at once.
func TestStartChangesSourcesRarely(t *testing.T) {
	c, peers := largeFleet(300)
	changes, last := 0, ""
	for i := range peers {
		p := c.Choose(time.Duration(i)*10*time.Millisecond, peers[:i+1], 1).Peer
		if p != last {
			changes++
		}
		last = p
	}
	assert.Assert(t, changes <= 4, "%d", changes)
	c.PeerFailed(3*time.Second, last)
	assert.Assert(t, c.Choose(3*time.Second+1, peers, 1).Peer != last)
	fresh, _ := largeFleet(300)
	assert.Equal(t, c.Choose(20*time.Second, peers, 1), fresh.Choose(20*time.Second, peers, 1), "later it follows as all others do")
}
