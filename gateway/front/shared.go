package front

import (
	"context"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/forward"
)

// shared is what this instance knows of endpoints, as the exchange with the others needs it. It implements
// [exchange.Endpoints].
type shared struct{ f *Front }

func (s *shared) OwnReport() routing.PeerReport {
	f := s.f
	if !f.settings.Mechanisms.Announcements {
		return routing.PeerReport{}
	}
	t := f.placement.Told()
	t.Prefilled = f.forwarder.Read()
	return t
}

func (s *shared) SetPeerReport(instance string, t routing.PeerReport, uses map[string]limits.Counted) {
	f := s.f
	f.placement.SetPeer(instance, t)
	if len(t.Ended) > 0 {
		f.endpoints.Ended(t.Ended...)
	}
	f.forwarder.HeardUses(instance, uses)
}

func (s *shared) SetPeerCounts(instance string, uses map[string]limits.Counted) {
	s.f.forwarder.HeardUses(instance, uses)
}

func (s *shared) SetOwned(owned func(endpoint string) bool) { s.f.placement.SetOwned(owned) }

func (s *shared) Summary(endpoint, asking string, prompt uint64) (routing.Summary, bool) {
	return s.f.placement.Summary(endpoint, asking, prompt)
}

func (s *shared) Claim(endpoint, peer string, c routing.Claim) (granted, known bool) {
	return s.f.placement.Claim(endpoint, peer, c)
}

func (s *shared) ApplySummary(summary *routing.Summary, prompt uint64) {
	s.f.placement.Learn(summary, prompt)
}

// others returns the other instances, as forwarding sees them.
func (f *Front) others() forward.Others {
	if !f.settings.Mechanisms.Announcements || !f.settings.Mechanisms.Owners {
		return &unasked{f.exchange}
	}
	return f.exchange
}

// unasked are other instances that are not asked about engines.
type unasked struct{ *exchange.Exchange }

// Ask implements [forward.Others].
func (u *unasked) Ask(context.Context, uint64, []string) {}

// Claim implements [forward.Others].
func (u *unasked) Claim(context.Context, string, routing.Claim) bool { return true }

// held returns what is held against requests, as forwarding sees it; nil where that mechanism is switched off.
func (f *Front) held() forward.Crashes {
	if !f.settings.Mechanisms.Crashes {
		return nil
	}
	return f.crashes
}
