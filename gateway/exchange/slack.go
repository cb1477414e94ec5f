package exchange

import (
	"math"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/routing"
)

// Durations that may be unknown are sent in milliseconds plus one, and 0 stands for an unknown one.
// Builds that don't know the field send 0.

func encodeSlack(d time.Duration, known bool) uint32 {
	if !known {
		return 0
	}
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32-1)) + 1
}

func decodeSlack(sent uint32) (d time.Duration, known bool) {
	if sent == 0 {
		return 0, false
	}
	return time.Duration(sent-1) * time.Millisecond, true
}

// decodeOutputWithin returns 0 for an unknown duration, and at least a millisecond for a known one.
func decodeOutputWithin(sent uint32) time.Duration {
	d, known := decodeSlack(sent)
	if !known {
		return 0
	}
	return max(d, time.Millisecond)
}

func slackOf(slacks map[string]time.Duration, id string) (time.Duration, bool) {
	d, known := slacks[id]
	return d, known
}

// addSlack adds the slack that a placement states to a report.
func addSlack(report *routing.PeerReport, p *peerv1.PlacedAt) {
	d, known := decodeSlack(p.GetSlackMs())
	if !known {
		return
	}
	if report.Slacks == nil {
		report.Slacks = map[string]time.Duration{}
	}
	report.Slacks[p.Endpoint] = d
}
