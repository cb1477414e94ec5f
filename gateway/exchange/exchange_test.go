package exchange

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

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
	tokens := func(p routing.Placed) float64 { return float64(p.Tokens) }
	assert.DeepEqual(t, most(placed, 3, tokens), []string{"e39", "e38", "e37"})
	assert.Equal(t, len(most(placed, 100, tokens)), 40)
}

// TestAnnouncementTellsAll: what an instance tells arrives as it was, to a tenth.
func TestAnnouncementTellsAll(t *testing.T) {
	told := routing.PeerReport{
		Placed: map[string]routing.Placed{"e1": {Open: 2, Tokens: 9400, PendingPrefill: 8000}}, Suspects: []string{"e2"}, Ended: []string{"e3"},
		Outcomes: map[string]health.Counts{"p1": {Good: 12.3, Bad: 4.6}}, Paces: map[string]float64{"e4": 3.7},
		Prefilled: []routing.PrefilledPrompt{{Endpoint: "e1", Prompt: 0x5c1e}},
	}
	uses := map[string]limits.RetryCounts{"plain": {Requests: 100, Retries: 3}}
	raw, err := proto.Marshal(encode(told, uses))
	assert.NilError(t, err)
	var a peerv1.Announcement
	assert.NilError(t, proto.Unmarshal(raw, &a))
	gotTold, gotUses := decode(&a)
	assert.DeepEqual(t, gotTold, told)
	assert.DeepEqual(t, gotUses, uses)
}

// TestAnnouncementFitsADatagram: an instance that has much to tell tells the most important of it.
func TestAnnouncementFitsADatagram(t *testing.T) {
	told := routing.PeerReport{Placed: map[string]routing.Placed{}, Outcomes: map[string]health.Counts{}, Paces: map[string]float64{}}
	for i := range 300 {
		id := fmt.Sprintf("i-7f3a91c%03d", i)
		told.Placed[id] = routing.Placed{Open: 9, Tokens: 88000, PendingPrefill: 88000}
		told.Suspects, told.Ended = append(told.Suspects, id), append(told.Ended, id)
		told.Outcomes[id], told.Paces[id] = health.Counts{Good: 900, Bad: float64(i)}, 8
		told.Prefilled = append(told.Prefilled, routing.PrefilledPrompt{Endpoint: id, Prompt: 1 << 60})
	}
	uses := map[string]limits.RetryCounts{"plain": {Requests: 1 << 40, Retries: 1 << 30}, "engines": {Requests: 1 << 40, Retries: 1 << 30}}
	a := encode(told, uses)
	raw, err := proto.Marshal(a)
	assert.NilError(t, err)
	assert.Assert(t, len(raw) < 2900, "%d bytes", len(raw))
	assert.Equal(t, a.Outcomes[0].Bad, uint32(2990))
}

// TestPace: what all instances together send and receive must not grow with the square of their number.
func TestPace(t *testing.T) {
	for n, want := range map[int]time.Duration{1: every, 12: every, 48: 2 * every, 87: everyMost, 400: everyMost} {
		assert.Equal(t, pace(n).Round(time.Millisecond), want, "%d instances", n)
	}
}

// FuzzAnnouncement: what comes in a datagram is taken or counted as malformed.
func FuzzAnnouncement(f *testing.F) {
	raw, err := proto.Marshal(encode(routing.PeerReport{Placed: map[string]routing.Placed{"a@1": {Open: 1, Tokens: 2, PendingPrefill: 3}}}, nil))
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var a peerv1.Announcement
		if proto.Unmarshal(raw, &a) != nil {
			return
		}
		told, _ := decode(&a)
		for id, p := range told.Placed {
			if p.Open < 0 || p.Tokens < 0 || p.PendingPrefill < 0 {
				t.Fatalf("%s: %+v", id, p)
			}
		}
	})
}
