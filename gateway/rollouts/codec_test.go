package rollouts

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/clock"
)

// TestReportsSurviveEncoding checks that decoding returns the encoded reports, and that a report of
// a busy service fits into two packets.
func TestReportsSurviveEncoding(t *testing.T) {
	tally := rollout.Tally{}
	for _, route := range []string{"r-0123456", "r-6543210", "r-9999999", "r-1111111"} {
		base := tally.At(rollout.Cell{Route: route})
		for i := range 2000 {
			base.Sent++
			base.Answered++
			base.AnswerTime.Observe(time.Duration(5+i%60) * time.Millisecond)
		}
		for g := range 12 {
			c := tally.At(rollout.Cell{Route: route, Arm: rollout.Target, Group: uint8(g)})
			c.Sent, c.Answered, c.Failed = 30, 28, 2
			for i := range 28 {
				c.AnswerTime.Observe(time.Duration(8+2*i) * time.Millisecond)
			}
		}
	}
	in := []rollout.Report{{
		Service: "s", OrderID: "7/v2/12000", Age: 3 * time.Second, Decision: rollout.RollBack, Reason: "failures", Undrained: 3, CountingFor: 2 * time.Second, Tally: tally,
	}}
	encoded := EncodeReports(in)
	assert.DeepEqual(t, DecodeReports(encoded), in)
	size := proto.Size(&peerv1.Rollouts{Reports: encoded})
	assert.Assert(t, size < 2900, "%d bytes", size)
}

// FuzzDecodeReports checks that decoding any message ends, and that decoded ages and decisions are
// within their bounds.
func FuzzDecodeReports(f *testing.F) {
	raw, err := proto.Marshal(&peerv1.Rollouts{Reports: EncodeReports([]rollout.Report{{
		Service: "s", OrderID: "o", Tally: rollout.Tally{{Route: "r"}: {Sent: 1}},
	}})})
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var in peerv1.Rollouts
		if proto.Unmarshal(raw, &in) != nil {
			return
		}
		for _, r := range DecodeReports(in.Reports) {
			assert.Assert(t, r.Service != "" && r.Age >= 0 && r.Age <= clock.MaxAge && r.Decision <= rollout.RollBack)
		}
	})
}
