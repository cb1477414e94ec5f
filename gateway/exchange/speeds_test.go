package exchange

import (
	"fmt"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/routing"
)

func perToken(ns, weight float64) health.SpeedEstimate {
	return health.SpeedEstimate{LogPerUnit: math.Log(ns), Weight: weight}
}

// TestSpeedsRoundTrip: a speed must arrive within a hundredth, and the paces of slow engines must stay
// as builds without speeds read them.
func TestSpeedsRoundTrip(t *testing.T) {
	report := routing.PeerReport{
		Paces:  map[string]float64{"slow": 3.7, "old": 2.5},
		Speeds: map[string]health.SpeedEstimate{"slow": perToken(460000, 2.3), "fast": perToken(87500, 0.8)},
	}
	a := encodeAnnouncement(report, nil, now)
	assert.Equal(t, a.Paces[0].Factor, uint32(37))
	got, _ := decodeAnnouncement(a, now)
	assert.DeepEqual(t, got.Paces, report.Paces)
	assert.Equal(t, len(got.Speeds), 2)
	for id, e := range report.Speeds {
		assert.Assert(t, math.Abs(got.Speeds[id].PerUnit()/e.PerUnit()-1) < 0.01)
		assert.Assert(t, math.Abs(got.Speeds[id].Weight-e.Weight) < 0.051)
	}
	summary := decodeSummary(encodeSummary(&routing.Summary{Endpoint: "fast", Speed: perToken(87500, 5.2)}))
	assert.Assert(t, math.Abs(summary.Speed.PerUnit()/87500-1) < 0.01 && math.Abs(summary.Speed.Weight-5.2) < 0.051)
}

// TestSpeedsOfOtherBuilds: messages of builds without speeds, or with one of the two numbers, must
// contain no speed.
func TestSpeedsOfOtherBuilds(t *testing.T) {
	report, _ := decodeAnnouncement(&peerv1.Announcement{Paces: []*peerv1.PaceAt{
		{Endpoint: "old", Factor: 25}, {Endpoint: "no samples", Percent: 900}, {Endpoint: "no time", Samples: 50},
	}}, now)
	assert.Equal(t, len(report.Speeds), 0)
	assert.DeepEqual(t, report.Paces, map[string]float64{"old": 2.5})
	assert.Equal(t, decodeSummary(&peerv1.Summary{Placed: &peerv1.PlacedAt{Endpoint: "e"}}).Speed, health.SpeedEstimate{})
}

// TestSpeedsFitAnAnnouncement: speeds must not displace paces of slow engines, must stay few, and
// must not take more than 25 bytes each.
func TestSpeedsFitAnAnnouncement(t *testing.T) {
	report := routing.PeerReport{Paces: map[string]float64{}, Speeds: map[string]health.SpeedEstimate{}}
	empty, err := proto.Marshal(encodeAnnouncement(report, nil, now))
	assert.NilError(t, err)
	for i := range 40 {
		report.Speeds[fmt.Sprintf("i-7f3a91c%03d", i)] = perToken(125000, float64(i))
	}
	a := encodeAnnouncement(report, nil, now)
	raw, err := proto.Marshal(a)
	assert.NilError(t, err)
	assert.Equal(t, len(a.Paces), maxSpeeds)
	assert.Equal(t, a.Paces[0].Endpoint, "i-7f3a91c039")
	t.Logf("%d bytes for %d speeds", len(raw)-len(empty), maxSpeeds)
	assert.Assert(t, len(raw)-len(empty) <= 25*maxSpeeds)
	for i := range 40 {
		report.Paces[fmt.Sprintf("slow%03d", i)] = 4
	}
	a = encodeAnnouncement(report, nil, now)
	assert.Equal(t, len(a.Paces), maxPaces)
	for _, p := range a.Paces {
		assert.Equal(t, p.Factor, uint32(40))
	}
}
