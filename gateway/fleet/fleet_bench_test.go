package fleet

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/membership"
)

// simulation is a fleet of many instances that exchange heartbeats in one loop, without a network.
type simulation struct {
	now    time.Time
	fleets []*Fleet
	byID   map[string]*Fleet
	bytes  int
	calls  int
}

func newSimulation(n int) *simulation {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &simulation{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), byID: map[string]*Fleet{}}
	usage := map[string]limits.Usage{}
	for d := range 15 { // each instance serves 15 models and one busy team
		usage[fmt.Sprint("s/model-", d)] = limits.Usage{Running: 12}
	}
	usage["t/almaty-desk"] = limits.Usage{Running: 10, Rate: 1}
	for i := range n {
		f := New(Options{
			Self: membership.Member{
				ID: fmt.Sprintf("entry-%03d", i), Address: fmt.Sprintf("10.12.%d.%d:8080", i/250, i%250), PeerAddress: fmt.Sprintf("10.12.%d.%d:8081", i/250, i%250),
				DataCentre: fmt.Sprint("region-a-hall-", i%9), Process: uint64(i) * 0x9e3779b97f4a7c15, Incarnation: uint64(r.now.UnixNano()),
			},
			Settings: membership.DefaultSettings(), Scope: tally.NoopScope, Log: logrus.NewEntry(log),
			Stats: func() Stats { return Stats{OpenRequests: 180, ConfigDigest: 0xabcdef0123456789, Usage: usage} },
		})
		r.fleets, r.byID[f.Self().ID] = append(r.fleets, f), f
	}
	all := make([]membership.Member, n)
	for i, f := range r.fleets {
		all[i] = f.Self()
	}
	for _, f := range r.fleets {
		f.Seed(all)
	}
	return r
}

// runInterval runs one interval of all instances.
func (r *simulation) runInterval() {
	r.now = r.now.Add(r.fleets[0].interval())
	for _, f := range r.fleets {
		for _, a := range f.advance(r.now) {
			to := a.(membership.Ping).To
			req := f.newRequest(to, to.Incarnation == 0)
			resp := r.byID[to.ID].HandleHeartbeat(req)
			f.mergeResponse(r.now, to, resp)
			r.bytes += proto.Size(req) + proto.Size(resp)
			r.calls++
		}
	}
}

// BenchmarkHeartbeats measures the cost of heartbeats per instance and interval: calls, bytes sent
// and received, and processor time. Bytes and time do not include HTTP.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{9, 50, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newSimulation(n)
			for range 20 {
				r.runInterval()
			}
			r.bytes, r.calls = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				r.runInterval()
			}
			instanceIntervals := float64(b.N) * float64(n)
			// Each message counts at both ends, since an instance sends and answers.
			b.ReportMetric(2*float64(r.bytes)/instanceIntervals, "bytes/instance")
			b.ReportMetric(2*float64(r.calls)/instanceIntervals, "calls/instance")
			b.ReportMetric(r.fleets[0].interval().Seconds(), "s/interval")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/instanceIntervals, "us/instance")
		})
	}
}
