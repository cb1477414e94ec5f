package exchange

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/routing"
)

// TestSlackRoundTrip: a slack of zero closes an engine to prompts, and an unknown one does not, so they must
// differ on the wire. Builds that don't know the field send 0.
func TestSlackRoundTrip(t *testing.T) {
	for _, d := range []time.Duration{0, time.Millisecond, 17 * time.Second, time.Hour} {
		got, known := decodeSlack(encodeSlack(d, true))
		assert.Assert(t, known && got == d, "%v: %v", d, got)
	}
	got, known := decodeSlack(encodeSlack(-time.Second, true))
	assert.Assert(t, known && got == 0, "%v", got)
	assert.Equal(t, encodeSlack(math.MaxInt64, true), uint32(math.MaxUint32))
	_, known = decodeSlack(encodeSlack(time.Second, false))
	assert.Assert(t, !known)
}

func TestAnnouncedSlackRoundTrip(t *testing.T) {
	report := routing.PeerReport{
		Placed: map[string]routing.Placed{"e1": {Open: 1, Tokens: 9000}, "e2": {Open: 1, Tokens: 8000}, "e3": {Open: 1, Tokens: 7000}},
		Slacks: map[string]time.Duration{"e1": 0, "e2": 4321 * time.Millisecond},
	}
	raw, err := proto.Marshal(encodeAnnouncement(report, nil, now))
	assert.NilError(t, err)
	var a peerv1.Announcement
	assert.NilError(t, proto.Unmarshal(raw, &a))
	got, _ := decodeAnnouncement(&a, now)
	assert.DeepEqual(t, got.Slacks, report.Slacks)
	for _, p := range a.Placed {
		p.SlackMs = 0 // as from a build without the field
	}
	got, _ = decodeAnnouncement(&a, now)
	assert.Equal(t, len(got.Slacks), 0)
}

// TestSlacksFitADatagram: the slacks of the most placements that an announcement holds leave it within the
// bound of its size.
func TestSlacksFitADatagram(t *testing.T) {
	report := routing.PeerReport{Placed: map[string]routing.Placed{}, Slacks: map[string]time.Duration{}}
	size := func() int { return proto.Size(encodeAnnouncement(report, nil, now)) }
	for i := range 300 {
		report.Placed[fmt.Sprintf("i-7f3a91c%03d", i)] = routing.Placed{Open: 9, Tokens: 88000, PendingPrefill: 88000}
	}
	before := size()
	for id := range report.Placed {
		report.Slacks[id] = time.Minute
	}
	assert.Assert(t, size()-before <= 5*maxPlaced, "%d bytes", size()-before)
}

func TestSummarySlackRoundTrip(t *testing.T) {
	for _, s := range []routing.Summary{{Endpoint: "e", SlackKnown: true}, {Endpoint: "e", Slack: 3 * time.Second, SlackKnown: true}, {Endpoint: "e"}} {
		got := decodeSummary(encodeSummary(&s))
		assert.Equal(t, got.Slack, s.Slack)
		assert.Equal(t, got.SlackKnown, s.SlackKnown)
	}
}

// TestOutputWithinRoundTrip: a request without any time left is not one without a deadline.
func TestOutputWithinRoundTrip(t *testing.T) {
	x := &Exchange{}
	for sent, want := range map[time.Duration]time.Duration{0: 0, time.Microsecond: time.Millisecond, time.Millisecond: time.Millisecond, 9 * time.Second: 9 * time.Second} {
		c := x.encodeClaim(1, "e", &routing.Claim{OutputWithin: sent})
		assert.Equal(t, decodeOutputWithin(c.OutputWithin), want, "%v", sent)
	}
}
