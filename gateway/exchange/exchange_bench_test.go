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
	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// newAnnouncement returns the announcement of an instance with five streams.
func newAnnouncement(from string, sequence uint64) *peerv1.Announcement {
	a := &peerv1.Announcement{
		Instance: from, Sequence: sequence,
		Uses: []*peerv1.ServiceUse{{Service: "huvo11a", Requests: 1000, Repeats: 20}, {Service: "wuno96b", Requests: 9000}},
	}
	for i := range 5 {
		id := fmt.Sprintf("i-7f3a91c%d", i)
		a.Placed = append(a.Placed, &peerv1.PlacedAt{Endpoint: id, Open: 1, Tokens: 9400, Unread: 0})
		a.Read = append(a.Read, &peerv1.ReadAt{Endpoint: id, Prompt: 0x5c1e07a2})
	}
	return a
}

// BenchmarkReceive measures the processing of one announcement of another instance.
func BenchmarkReceive(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	view := routing.NewView(routing.DefaultSettings())
	x := New(Options{
		Self: Peer{ID: "self"}, Log: logrus.NewEntry(log), Scope: tally.NoopScope, Clock: func() time.Duration { return 0 },
		Endpoints: &viewEndpoints{view: view},
	})
	a := newAnnouncement("front-alm-hall-a-1", 1)
	datagram := &peerv1.Datagram{Body: &peerv1.Datagram_Announcement{Announcement: a}}
	var raw []byte
	b.ReportAllocs()
	for b.Loop() {
		a.Sequence++
		raw, _ = proto.MarshalOptions{}.MarshalAppend(raw[:0], datagram)
		x.receive(raw, nil)
	}
	b.ReportMetric(float64(len(raw)), "B/announcement")
}

// viewEndpoints implements Endpoints with a routing.View.
type viewEndpoints struct{ view *routing.View }

func (v *viewEndpoints) OwnReport() routing.PeerReport {
	return routing.PeerReport{Placed: v.view.OwnPlacements()}
}

func (v *viewEndpoints) SetPeerReport(instance string, report routing.PeerReport, _ map[string]limits.RetryCounts) {
	v.view.SetPeerReport(time.Time{}, instance, report)
}

func (v *viewEndpoints) SetPeerCounts(string, map[string]limits.RetryCounts) {}

func (v *viewEndpoints) SetOwned(owned func(string) bool) { v.view.SetOwned(owned) }

func (v *viewEndpoints) Claim(endpoint, peer string, c routing.Claim) routing.Grant {
	return v.view.Claim(time.Now(), endpoint, peer, c)
}

func (v *viewEndpoints) ReleaseRoom(string, admission.Lease, admission.Outcome) {}

func (v *viewEndpoints) DropLeases(string) {}

func (v *viewEndpoints) KnownLimits() map[string]admission.Statement { return v.view.KnownLimits() }

func (v *viewEndpoints) ReportLimits(limits map[string]admission.Statement) {
	v.view.ReportLimits(limits)
}

func (v *viewEndpoints) Summary(endpoint, asking string, prompt uint64) (routing.Summary, bool) {
	return v.view.Summary(time.Time{}, endpoint, asking, prompt)
}

func (v *viewEndpoints) ApplySummary(s *routing.Summary, prompt uint64) {
	v.view.ApplySummary(time.Time{}, s, prompt)
}
