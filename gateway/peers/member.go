package peers

import (
	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/membership"
)

// EncodeMember returns a member in the form in which instances send it to each other.
func EncodeMember(m *membership.Member) *peerv1.Member {
	return &peerv1.Member{
		Id: m.ID, Address: m.Address, PeerAddress: m.PeerAddress, DataCentre: m.DataCentre, Region: m.Region, Link: uint32(m.LinkMbps),
		Incarnation: m.Incarnation, Process: m.Process, Leaving: m.Leaving, Ready: m.Ready, Store: peerv1.StoreAccess(m.Store), Endpoints: peerv1.EndpointAccess(m.Endpoints),
		Spreads: m.Spreads, State: peerv1.MemberState(m.State + 1), Beat: m.StatsVersion, OpenRequests: m.OpenRequests, Configuration: m.ConfigDigest,
	}
}

// DecodeMember returns a member that another instance sent. One without a state is alive.
func DecodeMember(m *peerv1.Member) membership.Member {
	state := membership.Alive
	if m.GetState() > peerv1.MemberState_MEMBER_STATE_UNSPECIFIED {
		state = membership.State(m.GetState() - 1)
	}
	return membership.Member{
		ID: m.GetId(), Address: m.GetAddress(), PeerAddress: m.GetPeerAddress(), DataCentre: m.GetDataCentre(), Region: m.GetRegion(), LinkMbps: int(m.GetLink()),
		Incarnation: m.GetIncarnation(), Process: m.GetProcess(), Leaving: m.GetLeaving(), Ready: m.GetReady(), Store: int(m.GetStore()), Endpoints: int(m.GetEndpoints()),
		Spreads: m.GetSpreads(), State: state, StatsVersion: m.GetBeat(), OpenRequests: m.GetOpenRequests(), ConfigDigest: m.GetConfiguration(),
	}
}

// EncodeMembers applies [EncodeMember] to each member.
func EncodeMembers(members []membership.Member) []*peerv1.Member {
	out := make([]*peerv1.Member, len(members))
	for i := range members {
		out[i] = EncodeMember(&members[i])
	}
	return out
}

// DecodeMembers applies [DecodeMember] to each member.
func DecodeMembers(members []*peerv1.Member) []membership.Member {
	out := make([]membership.Member, len(members))
	for i, m := range members {
		out[i] = DecodeMember(m)
	}
	return out
}
