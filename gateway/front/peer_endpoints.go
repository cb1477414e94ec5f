package front

import (
	"context"
	"time"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/forward"
)

// peerEndpoints connects the exchange with what this instance knows of endpoints. It implements
// [exchange.Endpoints].
type peerEndpoints struct{ f *Front }

func (s *peerEndpoints) OwnReport() routing.PeerReport {
	f := s.f
	if !f.settings.Mechanisms.Announcements {
		return routing.PeerReport{}
	}
	t := f.placement.PeerReport()
	t.Prefilled = f.forwarder.PromptLocations()
	if f.reach.CutOff() { // the failures that it sees say nothing about the endpoints
		t.Suspects, t.Outcomes, t.Paces, t.Speeds = nil, nil, nil, nil
	}
	return t
}

func (s *peerEndpoints) SetPeerReport(instance string, t routing.PeerReport, uses map[string]limits.RetryCounts) {
	f := s.f
	f.placement.SetPeer(instance, t)
	if len(t.Ended) > 0 {
		f.endpoints.MarkEnded(t.Ended...)
	}
	f.forwarder.SetPeerRetryCounts(instance, uses)
}

func (s *peerEndpoints) SetPeerCounts(instance string, uses map[string]limits.RetryCounts) {
	s.f.forwarder.SetPeerRetryCounts(instance, uses)
}

func (s *peerEndpoints) SetOwned(owned func(endpoint string) bool) { s.f.placement.SetOwned(owned) }

func (s *peerEndpoints) Summary(endpoint, asking string, prompt uint64) (routing.Summary, bool) {
	return s.f.placement.Summary(endpoint, asking, prompt)
}

func (s *peerEndpoints) Claim(endpoint, peer string, c routing.Claim) routing.Grant {
	return s.f.placement.Claim(endpoint, peer, c)
}

func (s *peerEndpoints) ReleaseRoom(endpoint string, l admission.Lease, o admission.Outcome) {
	s.f.placement.ReleaseRoom(endpoint, l, o)
}

func (s *peerEndpoints) DropLeases(instance string) { s.f.placement.DropLeases(instance) }

func (s *peerEndpoints) KnownLimits() map[string]admission.Statement {
	return s.f.placement.KnownLimits()
}

func (s *peerEndpoints) ReportLimits(limits map[string]admission.Statement) {
	s.f.placement.ReportLimits(limits)
}

func (s *peerEndpoints) ApplySummary(summary *routing.Summary, prompt uint64) {
	s.f.placement.ApplySummary(summary, prompt)
}

// forwardOthers returns the other instances for the forwarder.
func (f *Front) forwardOthers() forward.Peers {
	others := &forwardPeers{f.exchange}
	if !f.settings.Mechanisms.Announcements || !f.settings.Mechanisms.Owners {
		return &noPeerQueries{others}
	}
	return others
}

// forwardPeers is the exchange as the forwarder uses it.
type forwardPeers struct{ *exchange.Exchange }

// Helpers implements [forward.Peers].
func (p *forwardPeers) Helpers() []forward.Helper {
	peers := p.Exchange.Helpers()
	out := make([]forward.Helper, len(peers))
	for i := range peers {
		out[i] = forward.Helper{ID: peers[i].ID, Address: peers[i].Peers, DataCentre: peers[i].DataCentre}
	}
	return out
}

// noPeerQueries are other instances that are not asked about engines before a request is placed,
// and that know nothing of the room at an endpoint that is claimed.
type noPeerQueries struct{ *forwardPeers }

// Ask implements [forward.Peers].
func (u *noPeerQueries) Ask(context.Context, uint64, []string) {}

// Claim implements [forward.Peers].
func (u *noPeerQueries) Claim(context.Context, string, routing.Claim) routing.Grant {
	return routing.Grant{Unknown: true}
}

// Release implements [forward.Peers].
func (u *noPeerQueries) Release(string, uint64, admission.Outcome) {}

// retryHistory connects the exchange with what this instance knows of retries. It implements [exchange.Retries].
type retryHistory struct{ f *Front }

func (h *retryHistory) History(process uint64) (map[string][]limits.RetrySource, time.Duration) {
	return h.f.forwarder.RetryHistory(process)
}

func (h *retryHistory) MergeHistory(process uint64, sources map[string][]limits.RetrySource, knownFor time.Duration) {
	h.f.forwarder.MergeRetryHistory(process, sources, knownFor)
}

func (h *retryHistory) NeedsHistory() bool { return h.f.forwarder.NeedsRetryHistory() }

// forwardCrashes returns the register of requests that crash endpoints for the forwarder; nil where
// that mechanism is switched off.
func (f *Front) forwardCrashes() forward.Crashes {
	if !f.settings.Mechanisms.Crashes {
		return nil
	}
	return f.crashes
}
