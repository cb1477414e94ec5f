package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/platform"
)

// Server serves this instance's data to the instances that follow it.
type Server struct {
	peerv1connect.UnimplementedPeerServiceHandler
	Relay  *Relay
	packer packer
}

// WatchStore implements [peerv1connect.PeerServiceHandler]. It returns no error: the response says
// if the data is stale or the history gone.
func (s *Server) WatchStore(ctx context.Context, r *connect.Request[peerv1.WatchStoreRequest]) (*connect.Response[peerv1.WatchStoreResponse], error) {
	began := s.Relay.Clock()
	part, err := s.read(ctx, r.Msg)
	out := &peerv1.WatchStoreResponse{CutOff: s.Relay.Access() == source.StoreUnreachable}
	switch {
	case errorx.IsOfType(err, platform.ErrHistoryGone):
		out.Gone = true
	case err != nil:
		out.Stale = true
	default:
		s.encode(out, r.Msg, &part)
		out.StoreTookMs = s.Relay.storeLatencyMS()
		out.HeldMs = uint32((s.Relay.Clock() - began).Milliseconds())
	}
	return connect.NewResponse(out), nil
}

func (s *Server) read(ctx context.Context, r *peerv1.WatchStoreRequest) (follow.ListPart, error) {
	if r.All {
		return s.Relay.Mirror.List(ctx, follow.ListRequest{
			Kind: r.Kind, Limit: int(r.Limit), WithRemoved: r.WithRemoved, AnyAge: r.AnyAge, Wait: time.Duration(r.WaitMs) * time.Millisecond,
			After: revision.Position{Era: r.Era, Revision: r.Since}, ListedAt: revision.Position{Era: r.ListEra, Revision: r.ListRevision},
		})
	}
	page, err := s.Relay.Mirror.Watch(ctx, follow.WatchRequest{
		Kind: r.Kind, Since: revision.Position{Era: r.Era, Revision: r.Since}, Limit: int(r.Limit),
		Wait: time.Duration(r.WaitMs) * time.Millisecond, KnownAge: time.Duration(r.KnownAgeMs) * time.Millisecond, AwaitFresh: r.AwaitFresh,
	})
	return follow.ListPart{Page: page}, err
}

// encode rounds the age up, so that the data never seems fresher than it is.
func (s *Server) encode(out *peerv1.WatchStoreResponse, r *peerv1.WatchStoreRequest, part *follow.ListPart) {
	out.Revision, out.AgeMs = part.Revision, uint32(part.Age.Milliseconds())+1
	out.Era, out.More, out.Gap = part.Era, part.More, part.Gap
	out.ListEra, out.ListRevision = part.ListedAt.Era, part.ListedAt.Revision
	out.ForgottenEra, out.ForgottenUpTo = part.ForgottenUpTo.Era, part.ForgottenUpTo.Revision
	if r.AcceptsPacked && worthPacking(part.Objects) {
		packed, err := s.packer.pack(r.Kind, part.Objects)
		if err == nil {
			out.Packed = packed
			return
		}
		s.Relay.Log.WithError(err).WithField("kind", r.Kind).Error("can't pack objects; sending them as they are")
	}
	out.Objects = encodeObjects(part.Objects)
}
