package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/platform"
)

// Server serves this instance's data to the instances that follow it.
type Server struct {
	peerv1connect.UnimplementedPeerServiceHandler
	Relay *Relay
}

// WatchStore implements [peerv1connect.PeerServiceHandler]. It returns no error: the response says
// if the data is stale or the history gone.
func (s *Server) WatchStore(ctx context.Context, r *connect.Request[peerv1.WatchStoreRequest]) (*connect.Response[peerv1.WatchStoreResponse], error) {
	began := s.Relay.Clock()
	page, err := s.read(ctx, r.Msg)
	out := &peerv1.WatchStoreResponse{CutOff: s.Relay.Access() == source.StoreUnreachable}
	switch {
	case errorx.IsOfType(err, platform.ErrHistoryGone):
		out.Gone = true
	case err != nil:
		out.Stale = true
	default:
		encode(out, &page)
		out.StoreTookMs = s.Relay.storeLatencyMS()
		out.HeldMs = uint32((s.Relay.Clock() - began).Milliseconds())
	}
	return connect.NewResponse(out), nil
}

func (s *Server) read(ctx context.Context, r *peerv1.WatchStoreRequest) (platform.Page, error) {
	if r.All {
		return s.Relay.Mirror.List(ctx, r.Kind)
	}
	return s.Relay.Mirror.Watch(ctx, follow.WatchRequest{
		Kind: r.Kind, Since: r.Since,
		Wait: time.Duration(r.WaitMs) * time.Millisecond, KnownAge: time.Duration(r.KnownAgeMs) * time.Millisecond,
	})
}

// encode rounds the age up, so that the data never seems fresher than it is.
func encode(out *peerv1.WatchStoreResponse, page *platform.Page) {
	out.Revision, out.AgeMs = page.Revision, uint32(page.Age.Milliseconds())+1
	for _, o := range page.Objects {
		out.Objects = append(out.Objects, &peerv1.StoreObject{
			Name: o.Name, Revision: o.Revision, Created: o.Created, Spec: o.Spec, Status: o.Status, Deleted: o.Deleted,
		})
	}
}
