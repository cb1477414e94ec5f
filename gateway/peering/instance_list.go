package peering

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/peers"
	"github.com/agateway/agateway/gateway/platform"
)

// InstanceList keeps a copy of the platform's list of instances and endpoints. Only some instances
// of a data centre read the platform. The others get the list from those, and read the platform
// themselves if none of the readers answers.
type InstanceList struct {
	Platform platform.Client
	Pool     *peers.Pool
	Timeout  time.Duration
	Interval time.Duration
	// Readers returns the other instances of this data centre that read the platform, and whether
	// this instance does.
	Readers func() ([]membership.Member, bool)
	// OnChange is called with each list that differs from the one before.
	OnChange func(context.Context, []platform.Listed)

	mu       sync.Mutex
	listed   []*peerv1.Listed
	digest   uint64
	readAt   time.Time // when the list was read from the platform; zero if never
	isReader bool
}

// Run refreshes the list at each interval until ctx ends.
func (l *InstanceList) Run(ctx context.Context) {
	l.refresh(ctx)
	pause.Every(ctx, l.Interval, func() { l.refresh(ctx) })
}

func (l *InstanceList) refresh(ctx context.Context) {
	readers, self := l.Readers()
	l.mu.Lock()
	l.isReader = self
	l.mu.Unlock()
	if !self && l.askPeers(ctx, readers) {
		return
	}
	listed, err := l.Platform.Instances(ctx)
	if err != nil {
		return // the last list stays in use
	}
	l.update(ctx, encodeListed(listed), time.Now())
}

func (l *InstanceList) askPeers(ctx context.Context, readers []membership.Member) bool {
	for _, m := range readers {
		l.mu.Lock()
		req := &peerv1.ListInstancesRequest{Digest: l.digest}
		l.mu.Unlock()
		resp, err := peers.Call(ctx, l.Pool, m.PeerAddress, l.Timeout, listMethod, req)
		if err != nil || !resp.Reads || time.Duration(resp.AgeMs)*time.Millisecond > maxAgeIntervals*l.Interval {
			continue
		}
		if !resp.Unchanged {
			l.update(ctx, resp.Listed, time.Now().Add(-time.Duration(resp.AgeMs)*time.Millisecond))
		}
		return true
	}
	return false
}

// maxAgeIntervals is the number of intervals after which another instance's list is too old to be
// used.
const maxAgeIntervals = 10

func (l *InstanceList) update(ctx context.Context, listed []*peerv1.Listed, readAt time.Time) {
	digest := digestOf(listed)
	l.mu.Lock()
	l.readAt = readAt
	changed := digest != l.digest
	l.listed, l.digest = listed, digest
	l.mu.Unlock()
	if changed {
		l.OnChange(ctx, decodeListed(listed))
	}
}

func digestOf(listed []*peerv1.Listed) uint64 {
	d := xxhash.New()
	for _, e := range listed {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(e)
		if err == nil {
			_, _ = d.Write(raw)
		}
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func (l *InstanceList) handleList(req *peerv1.ListInstancesRequest) *peerv1.ListInstancesResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	resp := &peerv1.ListInstancesResponse{AgeMs: uint32(time.Since(l.readAt).Milliseconds()), Reads: l.isReader && !l.readAt.IsZero()}
	if req.Digest == l.digest {
		resp.Unchanged = true
	} else {
		resp.Listed = l.listed
	}
	return resp
}

func encodeListed(listed []platform.Listed) []*peerv1.Listed {
	out := make([]*peerv1.Listed, len(listed))
	for i, e := range listed {
		out[i] = &peerv1.Listed{
			Id: e.ID, Role: string(e.Role), Address: e.Address, DataCentre: e.DataCentre,
			Service: e.Service, Leaving: e.Leaving, ChecksFencing: e.ChecksFencing,
		}
	}
	return out
}

func decodeListed(listed []*peerv1.Listed) []platform.Listed {
	out := make([]platform.Listed, len(listed))
	for i, e := range listed {
		out[i] = platform.Listed{
			ID: e.Id, Role: platform.Role(e.Role), Address: e.Address, DataCentre: e.DataCentre,
			Service: e.Service, Leaving: e.Leaving, ChecksFencing: e.ChecksFencing,
		}
	}
	return out
}
