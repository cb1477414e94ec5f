// Package operator implements the operators' connect-go API. It turns the errors of package config
// into connect codes with an [operatorv1.ErrorDetail].
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/backends"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/fleet"
)

// Service implements operatorv1connect.OperatorServiceHandler.
type Service struct {
	Config   *config.Config
	Fleet    *fleet.Fleet
	Backends *backends.Backends
	// PlatformReachable reports whether the platform answered recently.
	PlatformReachable func() bool
	// Closing is closed when the instance shuts down, which ends the watches.
	Closing <-chan struct{}
}

// Authorize returns a handler that passes only requests with the operators' key on to next.
// keySHA256 is the hash of the key in hexadecimal; if it can't be decoded, all requests are
// rejected.
func Authorize(keySHA256 string, next http.Handler) http.Handler {
	want, err := hex.DecodeString(keySHA256)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		if err != nil || subtle.ConstantTimeCompare(sum[:], want) != 1 {
			http.Error(w, `{"code":"unauthenticated","message":"the operators' key is required"}`, http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

var errorCodes = []struct {
	errorType *errorx.Type
	code      connect.Code
	name      string
}{
	{config.ErrInvalid, connect.CodeInvalidArgument, "invalid"},
	{config.ErrConflict, connect.CodeAborted, "conflict"},
	{config.ErrNotFound, connect.CodeNotFound, "not_found"},
	{config.ErrUnavailable, connect.CodeUnavailable, "unavailable"},
	{config.ErrUncertain, connect.CodeUnknown, "uncertain"},
}

func connectError(err error) error {
	for _, c := range errorCodes {
		if !errorx.IsOfType(err, c.errorType) {
			continue
		}
		out := connect.NewError(c.code, fmt.Errorf("%s", errorx.Cast(err).Message()))
		detail, detailErr := connect.NewErrorDetail(&operatorv1.ErrorDetail{Code: c.name, Field: config.Field(err), CurrentVersion: config.CurrentVersion(err)})
		if detailErr == nil {
			out.AddDetail(detail)
		}
		return out
	}
	return connect.NewError(connect.CodeInternal, err)
}

// CreateDeployment creates a deployment.
func (s *Service) CreateDeployment(ctx context.Context, r *connect.Request[operatorv1.CreateDeploymentRequest]) (*connect.Response[operatorv1.CreateDeploymentResponse], error) {
	version, err := s.Config.PutDeployment(ctx, r.Msg.Deployment, 0, r.Msg.OperationId)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.CreateDeploymentResponse{Stored: storedDeployment(r.Msg.Deployment, version)}), nil
}

// UpdateDeployment updates a deployment if its version is the expected one.
func (s *Service) UpdateDeployment(ctx context.Context, r *connect.Request[operatorv1.UpdateDeploymentRequest]) (*connect.Response[operatorv1.UpdateDeploymentResponse], error) {
	if r.Msg.ExpectedVersion == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("expected_version: is required"))
	}
	version, err := s.Config.PutDeployment(ctx, r.Msg.Deployment, r.Msg.ExpectedVersion, r.Msg.OperationId)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.UpdateDeploymentResponse{Stored: storedDeployment(r.Msg.Deployment, version)}), nil
}

func storedDeployment(d *operatorv1.Deployment, version uint64) *operatorv1.StoredDeployment {
	return &operatorv1.StoredDeployment{Deployment: d, Version: version}
}

// DeleteDeployment deletes a deployment if its version is the expected one.
func (s *Service) DeleteDeployment(ctx context.Context, r *connect.Request[operatorv1.DeleteDeploymentRequest]) (*connect.Response[operatorv1.DeleteDeploymentResponse], error) {
	version, err := s.Config.Delete(ctx, config.KindDeployment, r.Msg.Name, r.Msg.ExpectedVersion, r.Msg.OperationId)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.DeleteDeploymentResponse{Version: version}), nil
}

// GetDeployment returns a deployment in force.
func (s *Service) GetDeployment(_ context.Context, r *connect.Request[operatorv1.GetDeploymentRequest]) (*connect.Response[operatorv1.GetDeploymentResponse], error) {
	d, err := s.Config.StoredDeployment(r.Msg.Name)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.GetDeploymentResponse{Stored: d}), nil
}

// ListDeployments returns all deployments in force.
func (s *Service) ListDeployments(context.Context, *connect.Request[operatorv1.ListDeploymentsRequest]) (*connect.Response[operatorv1.ListDeploymentsResponse], error) {
	return connect.NewResponse(&operatorv1.ListDeploymentsResponse{Stored: s.Config.StoredDeployments()}), nil
}

// WatchDeployments sends all deployments, and then each change, until the caller or the instance
// ends it.
func (s *Service) WatchDeployments(ctx context.Context, _ *connect.Request[operatorv1.WatchDeploymentsRequest], stream *connect.ServerStream[operatorv1.WatchDeploymentsResponse]) error {
	seen := map[string]uint64{}
	for {
		changed := s.Config.Changed()
		present := map[string]bool{}
		for _, d := range s.Config.StoredDeployments() {
			name := d.GetDeployment().GetName()
			present[name] = true
			if seen[name] == d.GetVersion() {
				continue
			}
			seen[name] = d.GetVersion()
			if err := stream.Send(&operatorv1.WatchDeploymentsResponse{Stored: d}); err != nil {
				return err
			}
		}
		if err := sendDeleted(stream, seen, present); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-s.Closing:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func sendDeleted(stream *connect.ServerStream[operatorv1.WatchDeploymentsResponse], seen map[string]uint64, present map[string]bool) error {
	for name, version := range seen {
		if present[name] {
			continue
		}
		delete(seen, name)
		gone := &operatorv1.StoredDeployment{Deployment: &operatorv1.Deployment{Name: name}, Version: version + 1, Deleted: true}
		if err := stream.Send(&operatorv1.WatchDeploymentsResponse{Stored: gone}); err != nil {
			return err
		}
	}
	return nil
}

// PutTeam creates or updates a team.
func (s *Service) PutTeam(ctx context.Context, r *connect.Request[operatorv1.PutTeamRequest]) (*connect.Response[operatorv1.PutTeamResponse], error) {
	version, err := s.Config.PutTeam(ctx, r.Msg.Team, r.Msg.ExpectedVersion, r.Msg.OperationId)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.PutTeamResponse{Stored: &operatorv1.StoredTeam{Team: r.Msg.Team, Version: version}}), nil
}

// DeleteTeam deletes a team that no deployment names, if its version is the expected one.
func (s *Service) DeleteTeam(ctx context.Context, r *connect.Request[operatorv1.DeleteTeamRequest]) (*connect.Response[operatorv1.DeleteTeamResponse], error) {
	version, err := s.Config.Delete(ctx, config.KindTeam, r.Msg.Name, r.Msg.ExpectedVersion, r.Msg.OperationId)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.DeleteTeamResponse{Version: version}), nil
}

// ListTeams returns all teams in force.
func (s *Service) ListTeams(context.Context, *connect.Request[operatorv1.ListTeamsRequest]) (*connect.Response[operatorv1.ListTeamsResponse], error) {
	return connect.NewResponse(&operatorv1.ListTeamsResponse{Stored: s.Config.StoredTeams()}), nil
}

// GetFleetStatus returns the state of instances and endpoints as this instance knows it.
func (s *Service) GetFleetStatus(context.Context, *connect.Request[operatorv1.GetFleetStatusRequest]) (*connect.Response[operatorv1.GetFleetStatusResponse], error) {
	out := &operatorv1.GetFleetStatusResponse{ConfigurationDigest: formatDigest(s.Config.Digest()), PlatformReachable: s.PlatformReachable()}
	for _, m := range s.Fleet.Members() {
		state := m.State.String()
		if m.Leaving && state == "alive" {
			state = "leaving"
		}
		out.Instances = append(out.Instances, &operatorv1.InstanceStatus{
			Id: m.ID, Address: m.Address, DataCentre: m.DataCentre, State: state, Incarnation: m.Incarnation,
			OpenRequests: m.OpenRequests, ConfigurationDigest: formatDigest(m.ConfigDigest),
		})
	}
	for _, e := range s.Backends.List() {
		out.Endpoints = append(out.Endpoints, endpointStatus(&e))
	}
	return connect.NewResponse(out), nil
}

func formatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }

func endpointStatus(e *routing.Status) *operatorv1.EndpointStatus {
	state := "live"
	switch {
	case e.State == routing.Leaving:
		state = "leaving"
	case e.Suspected:
		state = "suspected"
	}
	out := &operatorv1.EndpointStatus{Id: e.ID, Service: e.Service, DataCentre: e.DataCentre, State: state, Slots: uint32(e.Slots), EstimatedLoad: uint32(max(e.Estimate, 0))}
	for _, m := range e.Models {
		out.Models = append(out.Models, m.Name+"@"+m.Version)
	}
	return out
}
