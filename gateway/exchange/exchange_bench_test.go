package exchange

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// announcement is one of an instance with five streams.
func announcement(from string, sequence uint64) *peerv1.Announcement {
	a := &peerv1.Announcement{
		Instance: from, Sequence: sequence, Callers: "10.1.0.19:8740", Peers: "10.1.0.19:7200", DataCentre: "alm-hall-a", Region: "kz-south", Ready: true,
		Uses: []*peerv1.ServiceUse{{Service: "huvo11a", Requests: 1000, Repeats: 20}, {Service: "wuno96b", Requests: 9000}},
	}
	for i := range 5 {
		id := fmt.Sprintf("i-7f3a91c%d", i)
		a.Placed = append(a.Placed, &peerv1.PlacedAt{Endpoint: id, Open: 1, Tokens: 9400, Unread: 0})
		a.Read = append(a.Read, &peerv1.ReadAt{Endpoint: id, Prompt: 0x5c1e07a2})
	}
	return a
}

// BenchmarkReceive is what one announcement of another instance costs.
func BenchmarkReceive(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := routing.NewView(routing.DefaultSettings())
	x := New(Options{
		Self: Peer{ID: "self"}, Log: logrus.NewEntry(log), Scope: tally.NoopScope, Clock: func() time.Duration { return 0 },
		Told: func(instance string, t routing.Told, _ map[string]limits.Counted) {
			view.SetPeer(time.Time{}, instance, t)
		},
	})
	a := announcement("front-alm-hall-a-1", 1)
	raw, err := proto.Marshal(a)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "B/announcement")
	b.ReportAllocs()
	for b.Loop() {
		a.Sequence++
		raw, _ = proto.MarshalOptions{}.MarshalAppend(raw[:0], a)
		x.receive(raw)
	}
	b.ReportMetric(float64(len(raw)), "B/announcement")
}
