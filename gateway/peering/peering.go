// Package peering answers the calls of other instances. It also sends them configuration records
// and facts about requests that crash endpoints, and shares the platform's list of instances.
//
// Failure modes: if a push of records fails, the peer notices at a later heartbeat that its
// configuration differs, and pulls the records. If a broadcast of facts fails, the peer learns of
// stopped requests by polling.
package peering

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/fleet"
	"github.com/agateway/agateway/gateway/generations"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/peers"
)

// Service implements peerv1connect.PeerServiceHandler.
type Service struct {
	peerv1connect.UnimplementedPeerServiceHandler // WatchStore is served only by instances that forward

	Config    *config.Config
	Fleet     *fleet.Fleet
	Running   *generations.Directory
	Tickets   *atmostonce.Tickets
	Instances *InstanceList
	Crashes   *crashes.Registry
	Pool      *peers.Pool
	Timeout   time.Duration
	Scope     tally.Scope

	mu      sync.Mutex
	pulling map[string]bool // addresses of the peers that are being pulled from
}

// pushFanout is the number of peers that a new record is sent to at once. Each of them sends it
// on.
const pushFanout = 4

// PushRecords sends new records to a random sample of peers. A peer that already had them does not
// send them on. So new records reach all instances in a few rounds, and the pushes then stop.
func (s *Service) PushRecords(records []revision.Record) {
	req := &peerv1.PushConfigurationRequest{From: s.Fleet.Self().ID, Records: encodeRecords(records)}
	for _, m := range s.Fleet.Sample(pushFanout) {
		go func() {
			if _, err := peers.Call(context.Background(), s.Pool, m.PeerAddress, s.Timeout, pushMethod, req); err != nil {
				s.Scope.Counter("configuration_pushes_failed").Inc(1)
			}
		}()
	}
}

// PullRecords fetches in the background the records that differ between a peer and this instance.
// At most one pull per peer runs at a time.
func (s *Service) PullRecords(m membership.Member) {
	s.mu.Lock()
	if s.pulling == nil {
		s.pulling = map[string]bool{}
	}
	busy := s.pulling[m.PeerAddress]
	s.pulling[m.PeerAddress] = true
	s.mu.Unlock()
	if busy || m.PeerAddress == "" {
		return
	}
	go func() {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.pulling, m.PeerAddress)
		}()
		s.pullRecordsFrom(m.PeerAddress)
	}()
}

func (s *Service) pullRecordsFrom(address string) {
	req := &peerv1.PullConfigurationRequest{Buckets: s.Config.Buckets()}
	resp, err := peers.Call(context.Background(), s.Pool, address, 4*s.Timeout, pullMethod, req)
	if err != nil {
		s.Scope.Counter("configuration_pulls_failed").Inc(1)
		return
	}
	s.Config.Apply(decodeRecords(resp.Records))
}

// Heartbeat answers the heartbeat of a peer.
func (s *Service) Heartbeat(_ context.Context, r *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return connect.NewResponse(s.Fleet.HandleHeartbeat(r.Msg)), nil
}

// IndirectPing pings a member on behalf of a peer.
func (s *Service) IndirectPing(ctx context.Context, r *connect.Request[peerv1.IndirectPingRequest]) (*connect.Response[peerv1.IndirectPingResponse], error) {
	return connect.NewResponse(s.Fleet.HandleIndirectPing(ctx, r.Msg)), nil
}

// PullConfiguration returns the records that differ from the caller's.
func (s *Service) PullConfiguration(_ context.Context, r *connect.Request[peerv1.PullConfigurationRequest]) (*connect.Response[peerv1.PullConfigurationResponse], error) {
	return connect.NewResponse(&peerv1.PullConfigurationResponse{Records: encodeRecords(s.Config.Differing(r.Msg.Buckets))}), nil
}

// PushConfiguration applies new records from a peer.
func (s *Service) PushConfiguration(_ context.Context, r *connect.Request[peerv1.PushConfigurationRequest]) (*connect.Response[peerv1.PushConfigurationResponse], error) {
	fresh := s.Config.Apply(decodeRecords(r.Msg.Records))
	return connect.NewResponse(&peerv1.PushConfigurationResponse{Changed: len(fresh) > 0}), nil
}

// ListInstances returns the platform's list as this instance last got it.
func (s *Service) ListInstances(_ context.Context, r *connect.Request[peerv1.ListInstancesRequest]) (*connect.Response[peerv1.ListInstancesResponse], error) {
	return connect.NewResponse(s.Instances.handleList(r.Msg)), nil
}

// Register registers a running generation.
func (s *Service) Register(_ context.Context, r *connect.Request[peerv1.RegisterRequest]) (*connect.Response[peerv1.RegisterResponse], error) {
	return connect.NewResponse(s.Running.HandleRegister(r.Msg)), nil
}

// UpdatePlace records where a generation runs.
func (s *Service) UpdatePlace(_ context.Context, r *connect.Request[peerv1.UpdatePlaceRequest]) (*connect.Response[peerv1.UpdatePlaceResponse], error) {
	s.Running.HandleUpdate(r.Msg)
	return connect.NewResponse(&peerv1.UpdatePlaceResponse{}), nil
}

// TakeOver hands a running generation over to the caller.
func (s *Service) TakeOver(_ context.Context, r *connect.Request[peerv1.TakeOverRequest]) (*connect.Response[peerv1.TakeOverResponse], error) {
	return connect.NewResponse(s.Running.HandleTakeOver(r.Msg)), nil
}

// FinishGeneration records the end of a generation.
func (s *Service) FinishGeneration(_ context.Context, r *connect.Request[peerv1.FinishGenerationRequest]) (*connect.Response[peerv1.FinishGenerationResponse], error) {
	s.Running.HandleFinish(r.Msg)
	return connect.NewResponse(&peerv1.FinishGenerationResponse{}), nil
}

// RunTicket runs a call under a ticket that this instance issued.
func (s *Service) RunTicket(ctx context.Context, r *connect.Request[peerv1.RunTicketRequest]) (*connect.Response[peerv1.RunTicketResponse], error) {
	return connect.NewResponse(s.Tickets.HandleRun(ctx, r.Msg)), nil
}

// AskTicket returns the outcome of a ticket.
func (s *Service) AskTicket(_ context.Context, r *connect.Request[peerv1.AskTicketRequest]) (*connect.Response[peerv1.AskTicketResponse], error) {
	return connect.NewResponse(s.Tickets.HandleAsk(r.Msg)), nil
}

// HandOverTickets stores the ticket outcomes of an instance that is leaving.
func (s *Service) HandOverTickets(_ context.Context, r *connect.Request[peerv1.HandOverTicketsRequest]) (*connect.Response[peerv1.HandOverTicketsResponse], error) {
	s.Tickets.HandleHandOver(r.Msg)
	return connect.NewResponse(&peerv1.HandOverTicketsResponse{}), nil
}

// TellCrashes applies the facts about requests that another instance sends. If the caller asks
// instead, it returns the stopped requests that this instance knows.
func (s *Service) TellCrashes(_ context.Context, r *connect.Request[peerv1.Crashes]) (*connect.Response[peerv1.Crashes], error) {
	if r.Msg.Ask {
		return connect.NewResponse(s.newCrashesMessage(s.Crashes.Facts())), nil
	}
	s.applyCrashes(r.Msg)
	return connect.NewResponse(&peerv1.Crashes{}), nil
}

func (s *Service) newCrashesMessage(facts []crashers.Fact, complete bool) *peerv1.Crashes {
	return &peerv1.Crashes{Instance: s.Fleet.Self().ID, Complete: complete, Facts: crashes.EncodeFacts(time.Now(), facts)}
}

func (s *Service) applyCrashes(c *peerv1.Crashes) {
	s.Crashes.Heard(c.Instance, crashes.DecodeFacts(time.Now(), c.Facts), c.Complete)
}

// BroadcastCrashes sends facts about requests to all other instances at once. An instance that
// lacks them could send such a request to another endpoint, which would crash too. complete says
// that this instance knows all stops in the store.
func (s *Service) BroadcastCrashes(facts []crashers.Fact, complete bool) {
	req := s.newCrashesMessage(facts, complete)
	for _, m := range s.Fleet.Others() {
		go func() {
			if _, err := peers.Call(context.Background(), s.Pool, m.PeerAddress, s.Timeout, crashesMethod, req); err != nil {
				s.Scope.Counter("crashes_not_told").Inc(1) // the peer gets stopped requests by polling
			}
		}()
	}
}

// pollCrashesInterval is the time between two polls for stopped requests. An instance that was
// disconnected gets them soon after it is connected again.
const pollCrashesInterval = 2 * time.Second

// PollCrashes asks a random peer for the stopped requests at each interval, until ctx ends.
func (s *Service) PollCrashes(ctx context.Context) {
	pause.Every(ctx, pollCrashesInterval, func() {
		for _, m := range s.Fleet.Sample(1) {
			resp, err := peers.Call(ctx, s.Pool, m.PeerAddress, s.Timeout, crashesMethod, &peerv1.Crashes{Instance: s.Fleet.Self().ID, Ask: true})
			if err != nil {
				s.Scope.Counter("crashes_not_told").Inc(1)
				continue
			}
			s.applyCrashes(resp)
		}
	})
}

var (
	crashesMethod = peerv1connect.PeerServiceClient.TellCrashes

	pushMethod = peerv1connect.PeerServiceClient.PushConfiguration
	pullMethod = peerv1connect.PeerServiceClient.PullConfiguration
	listMethod = peerv1connect.PeerServiceClient.ListInstances
)

func encodeRecords(records []revision.Record) []*peerv1.Record {
	out := make([]*peerv1.Record, len(records))
	for i, r := range records {
		out[i] = &peerv1.Record{Kind: r.Kind, Name: r.Name, Version: r.Version, Value: r.Value, Deleted: r.Deleted}
	}
	return out
}

func decodeRecords(records []*peerv1.Record) []revision.Record {
	out := make([]revision.Record, len(records))
	for i, r := range records {
		out[i] = revision.Record{ID: revision.ID{Kind: r.Kind, Name: r.Name}, Version: r.Version, Value: r.Value, Deleted: r.Deleted}
	}
	return out
}
