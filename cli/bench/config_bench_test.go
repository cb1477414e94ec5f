package bench

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	standin "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/daemon"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/settings"
	store "github.com/agateway/agateway/platform/standin"
)

// startInstances starts a platform and n instances over TCP. Instances for which cutOff is true can
// reach only their peers, not the platform.
func startInstances(b *testing.B, n int, cutOff func(i int) bool) (*standin.Platform, []*daemon.Daemon) {
	p, err := standin.Start(network.TCP{}, "127.0.0.1:0", time.Second)
	if err != nil {
		b.Fatal(err)
	}
	var all []*daemon.Daemon
	for i := range n {
		url, seeds := p.URL(), ""
		if cutOff(i) {
			url = "http://127.0.0.1:9"
		}
		if i > 0 {
			seeds = all[0].Peers
		}
		s, err := settings.Parse(fmt.Appendf(nil, `
[instance]
id = entry-%02d
data_centre = hall-%d
callers = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
url = %s
[peers]
seeds = %s
[keys]
cursor = bench-cursor-key-0123
peer = bench-peer-key-0123
operator_sha256 = %064d
`, i, i%3, url, seeds, 0))
		if err != nil {
			b.Fatal(err)
		}
		d, err := daemon.Start(s, network.TCP{}, io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, d)
	}
	b.Cleanup(func() {
		for _, d := range all {
			d.Close()
		}
		p.Close()
	})
	time.Sleep(5 * time.Second)
	return p, all
}

// totalCalls returns the number of calls that the platform has received.
func totalCalls(c store.Counts) int { return c.Reads + c.Writes + c.Watches }

// measurePropagation makes a change at the first instance, calls accepted, and returns the time
// until the change is in force at all instances.
func measurePropagation(b *testing.B, all []*daemon.Daemon, round int, accepted func()) time.Duration {
	team := &operatorv1.Team{Name: fmt.Sprint("team-", round)}
	if _, err := all[0].Config.PutTeam(context.Background(), team, 0, fmt.Sprint("op-", round)); err != nil {
		b.Fatal(err)
	}
	began := time.Now()
	accepted()
	for {
		missing := 0
		for _, d := range all {
			if _, ok := d.Config.Team(team.Name); !ok {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began)
		}
		if time.Since(began) > 20*time.Second {
			b.Fatalf("not in force at %d instances", missing)
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkConfiguration measures the time from the acceptance of a change until it is in force at
// all instances, and the calls to the platform per change and per minute without changes. The modes
// are: no fault, an outage of the platform right after the acceptance, and a third of the instances
// cut off from the platform. Run it with -benchtime=30x.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		for _, mode := range []string{"clean", "outage", "third-cut-off"} {
			b.Run(fmt.Sprintf("%d/%s", n, mode), func(b *testing.B) {
				p, all := startInstances(b, n, func(i int) bool { return mode == "third-cut-off" && i%3 == 2 })
				idle := totalCalls(p.Counts())
				const watch = 6 * time.Second
				time.Sleep(watch)
				perMinute := float64(totalCalls(p.Counts())-idle) * float64(time.Minute/watch)
				h := newHistogram()
				before, began := totalCalls(p.Counts()), time.Now()
				round := 0
				for b.Loop() {
					round++
					d := measurePropagation(b, all, round, func() { p.SetFault(standin.Fault{Down: mode == "outage"}) })
					_ = h.RecordValue(max(d.Milliseconds(), 1))
					p.SetFault(standin.Fault{})
				}
				calls := float64(totalCalls(p.Counts())-before) - perMinute*time.Since(began).Minutes()
				b.ReportMetric(float64(h.ValueAtPercentile(50)), "ms-p50")
				b.ReportMetric(float64(h.ValueAtPercentile(99)), "ms-p99")
				b.ReportMetric(calls/float64(round), "calls/change")
				b.ReportMetric(perMinute, "calls/idle-minute")
			})
		}
	}
}
