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

// ring is many fleets that exchange heartbeats in one loop.
type ring struct {
	now    time.Time
	fleets []*Fleet
	byID   map[string]*Fleet
	bytes  int
	calls  int
}

func newRing(n int) *ring {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &ring{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), byID: map[string]*Fleet{}}
	usage := map[string]limits.Usage{}
	for d := range 15 { // each instance serves all models of the target, and one busy team
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
			Figures: func() Figures { return Figures{Open: 180, Configuration: 0xabcdef0123456789, Usage: usage} },
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

func (r *ring) interval() {
	r.now = r.now.Add(r.fleets[0].interval())
	for _, f := range r.fleets {
		for _, a := range f.step(r.now) {
			to := a.(membership.Ping).To
			req := f.request(to, to.Incarnation == 0)
			resp := r.byID[to.ID].Heartbeat(req)
			f.take(r.now, to, resp)
			r.bytes += proto.Size(req) + proto.Size(resp)
			r.calls++
		}
	}
}

// BenchmarkHeartbeats measures an instance's share of an interval: messages, their bytes
// (sent and received, without those of HTTP) and processor time (without that of HTTP).
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{9, 50, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRing(n)
			for range 20 {
				r.interval()
			}
			r.bytes, r.calls = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				r.interval()
			}
			per := float64(b.N) * float64(n)
			// An instance sends and answers: each message counts at both ends.
			b.ReportMetric(2*float64(r.bytes)/per, "bytes/instance")
			b.ReportMetric(2*float64(r.calls)/per, "calls/instance")
			b.ReportMetric(r.fleets[0].interval().Seconds(), "s/interval")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "us/instance")
		})
	}
}
