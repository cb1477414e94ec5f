package exchange

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/departure"
	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

var now = time.Unix(1000, 0)

func TestSortByDistance(t *testing.T) {
	peers := []Peer{
		{ID: "far", DataCentre: "x", Region: "y"}, {ID: "region", DataCentre: "dc1", Region: "r"}, {ID: "near", DataCentre: "dc0", Region: "r"},
	}
	sortByDistance(peers, "dc0", "r")
	assert.DeepEqual(t, []string{peers[0].ID, peers[1].ID, peers[2].ID}, []string{"near", "region", "far"})
}

// TestLargestKeys: the endpoints with the most tokens come first.
func TestLargestKeys(t *testing.T) {
	placed := map[string]routing.Placed{}
	for i := range 40 {
		placed[fmt.Sprintf("e%02d", i)] = routing.Placed{Tokens: i}
	}
	tokens := func(p routing.Placed) float64 { return float64(p.Tokens) }
	assert.DeepEqual(t, largestKeys(placed, 3, tokens), []string{"e39", "e38", "e37"})
	assert.Equal(t, len(largestKeys(placed, 100, tokens)), 40)
}

// TestAnnouncementRoundTrip: a report is decoded as it was encoded, to a tenth.
func TestAnnouncementRoundTrip(t *testing.T) {
	report := routing.PeerReport{
		Placed: map[string]routing.Placed{"e1": {Open: 2, Tokens: 9400, PendingPrefill: 8000}}, Suspects: []string{"e2"}, Ended: []string{"e3"},
		Outcomes: map[string]health.Counts{"p1": {Good: 12.3, Bad: 4.6}}, Paces: map[string]float64{"e4": 3.7},
		Prefilled: []routing.PrefilledPrompt{{Endpoint: "e1", Prompt: 0x5c1e}},
		Limits: map[string]admission.Statement{
			"p2": {Limits: admission.Limits{Rate: 8.3, HasRate: true}, At: now.Add(-1500 * time.Millisecond)},
			"p3": {Limits: admission.Limits{MaxRefusals: 3, Fragile: true}, At: now},
			"p4": {At: now.Add(-time.Second)}, // it withdrew its limits
		},
		Departures: map[string]departure.Statement{"p5": {At: now.Add(-700 * time.Millisecond), Sequence: 41}, "p6": {At: now}},
	}
	counts := map[string]limits.RetryCounts{"plain": {Requests: 100, Retries: 3}}
	raw, err := proto.Marshal(encodeAnnouncement(report, counts, now))
	assert.NilError(t, err)
	var a peerv1.Announcement
	assert.NilError(t, proto.Unmarshal(raw, &a))
	gotReport, gotCounts := decodeAnnouncement(&a, now)
	assert.DeepEqual(t, gotReport, report)
	assert.DeepEqual(t, gotCounts, counts)
}

// TestAnnouncementFitsADatagram: a report with too many entries is cut to the size of a datagram,
// and its largest outcomes are kept.
func TestAnnouncementFitsADatagram(t *testing.T) {
	report := routing.PeerReport{Placed: map[string]routing.Placed{}, Outcomes: map[string]health.Counts{}, Paces: map[string]float64{}, Speeds: map[string]health.SpeedEstimate{}, Limits: map[string]admission.Statement{}, Departures: map[string]departure.Statement{}}
	for i := range 300 {
		id := fmt.Sprintf("i-7f3a91c%03d", i)
		report.Placed[id] = routing.Placed{Open: 9, Tokens: 88000, PendingPrefill: 88000}
		report.Suspects, report.Ended = append(report.Suspects, id), append(report.Ended, id)
		report.Outcomes[id], report.Paces[id] = health.Counts{Good: 900, Bad: float64(i)}, 8
		report.Prefilled = append(report.Prefilled, routing.PrefilledPrompt{Endpoint: id, Prompt: 1 << 60})
		report.Speeds[id] = health.SpeedEstimate{LogPerUnit: 14, Weight: 7}
		report.Limits[id] = admission.Statement{Limits: admission.Limits{Rate: 8888.888, HasRate: true, MaxRefusals: 99, Fragile: true}, At: now.Add(-time.Hour), ChangedAt: now.Add(time.Duration(i) * time.Second)}
		report.Departures[id] = departure.Statement{At: now.Add(-time.Hour), Sequence: 1 << 20}
	}
	counts := map[string]limits.RetryCounts{"plain": {Requests: 1 << 40, Retries: 1 << 30}, "engines": {Requests: 1 << 40, Retries: 1 << 30}}
	a := encodeAnnouncement(report, counts, now)
	raw, err := proto.Marshal(a)
	assert.NilError(t, err)
	assert.Assert(t, len(raw) < 2900, "%d bytes", len(raw))
	assert.Equal(t, a.Outcomes[0].Bad, uint32(2990))
	assert.Equal(t, a.Limits[0].Endpoint, "i-7f3a91c299")
}

// TestAnnouncementIntervalGrowsWithFleet: with a fixed interval, the traffic of a full mesh would
// grow with the square of the number of instances.
func TestAnnouncementIntervalGrowsWithFleet(t *testing.T) {
	for n, want := range map[int]time.Duration{1: minAnnouncementInterval, 12: minAnnouncementInterval, 48: 2 * minAnnouncementInterval, 87: maxAnnouncementInterval, 400: maxAnnouncementInterval} {
		assert.Equal(t, announcementInterval(n).Round(time.Millisecond), want, "%d instances", n)
	}
}

// FuzzAnnouncement: an announcement that can be unmarshalled is decoded to placements without
// negative numbers.
func FuzzAnnouncement(f *testing.F) {
	raw, err := proto.Marshal(encodeAnnouncement(routing.PeerReport{Placed: map[string]routing.Placed{"a@1": {Open: 1, Tokens: 2, PendingPrefill: 3}}}, nil, now))
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var a peerv1.Announcement
		if proto.Unmarshal(raw, &a) != nil {
			return
		}
		report, _ := decodeAnnouncement(&a, now)
		for id, p := range report.Placed {
			if p.Open < 0 || p.Tokens < 0 || p.PendingPrefill < 0 {
				t.Fatalf("%s: %+v", id, p)
			}
		}
	})
}
