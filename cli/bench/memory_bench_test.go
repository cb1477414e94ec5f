package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/config"
)

// measureHeap returns the bytes on the heap that the result of build keeps in use.
func measureHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory measures the memory per item of the tables that an instance keeps, at the sizes
// of the target fleet. Run it with -benchtime=1x.
func BenchmarkMemory(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name  string
		n     int
		build func(n int) any
	}{
		{"ticket", 100_000, func(n int) any {
			t := ticket.NewTable(n, 1<<30, time.Hour)
			for range n {
				id, expires := t.Mint(now)
				t.Begin(now, id, expires, 1)
				t.End(id, ticket.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, 64)})
			}
			return t
		}},
		{"endpoint", 600, func(n int) any {
			v := routing.NewView(routing.DefaultSettings())
			for i := range n {
				v.Upsert(routing.Endpoint{
					ID: fmt.Sprintf("engine-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), DataCentre: fmt.Sprint("hall-", i%9),
					Service: fmt.Sprint("model-", i%15), Slots: 64, Models: []routing.Model{{Name: fmt.Sprint("model-", i%15), Version: "1"}},
				})
				for range 16 {
					v.Sent(now, fmt.Sprintf("engine-%03d", i))
				}
			}
			return v
		}},
		{"cache-entry", 65_536, func(n int) any {
			v := routing.NewView(routing.DefaultSettings())
			for i := range n {
				v.CacheStored(now, fmt.Sprintf("engine-%03d", i%600), rand.Uint64())
			}
			return v
		}},
		{"team", 19_000, func(n int) any {
			log := logrus.New()
			log.SetOutput(io.Discard)
			c := config.New(nil, logrus.NewEntry(log), tally.NoopScope, nil)
			records := make([]revision.Record, n)
			for i := range records {
				records[i] = revision.Record{ID: revision.ID{Kind: config.KindTeam, Name: fmt.Sprintf("team-%05d", i)}, Version: 1, Value: fmt.Appendf(nil,
					`{"operation":"5f0e6a3e-0000-0000-0000-%012d","body":{"name":"team-%05d","keySha256":["%064d"],"rate":10,"burst":20,"concurrent":50}}`, i, i, i)}
			}
			c.Apply(records)
			return c
		}},
		{"directory-entry", 4_000, func(n int) any {
			d := directory.New(directory.DefaultSettings())
			for i := range n {
				d.Update(now, directory.Entry{
					Key:        directory.Key{Team: "team-00001", ID: fmt.Sprintf("g/5f0e6a3e-0000-0000-0000-%012d", i)},
					Generation: fmt.Sprintf("5f0e6a3e-0000-0000-0000-%012d", i), Owner: directory.Owner{Instance: "entry-001", Process: 1},
					Place: directory.Place{Attempt: 1, Endpoint: "engine-001", Stream: fmt.Sprintf("engine-001-5f0e6a3e-%d", i)},
				})
			}
			return d
		}},
		{"member", 400, func(n int) any {
			node := membership.New(membership.DefaultSettings(), membership.Member{ID: "self"}, rand.New(rand.NewPCG(1, 1)))
			for i := range n {
				node.Seed(now, membership.Member{ID: fmt.Sprintf("entry-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), PeerAddress: fmt.Sprintf("10.0.%d.%d:81", i/250, i%250), DataCentre: "hall-1"})
			}
			node.Tick(now)
			return node
		}},
	} {
		b.Run(fmt.Sprintf("%s/%d", c.name, c.n), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				bytes = measureHeap(func() any { return c.build(c.n) })
			}
			b.ReportMetric(bytes/float64(c.n), "bytes/item")
			b.ReportMetric(bytes/(1<<20), "MiB")
		})
	}
}
