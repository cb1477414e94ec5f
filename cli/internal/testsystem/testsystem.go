// Package testsystem starts the parts of a system on loopback addresses for tests with sockets.
package testsystem

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/cli/command"
	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// Serve listens on a free address, which it returns, until the test ends.
func Serve(t *testing.T, start func(net.Listener) (stop func())) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(start(l))
	return l.Addr().String()
}

// FreeAddresses returns addresses that nobody listens on.
func FreeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }() // after the last one was found
		out = append(out, l.Addr().String())
	}
	return out
}

// AddWorker starts a worker with the service, name and speed of c, and registers it at the store.
func AddWorker(t *testing.T, store *standin.Store, fleet *standin.Fleet, c standin.WorkerConfig) *standin.Worker {
	t.Helper()
	var w *standin.Worker
	Serve(t, func(l net.Listener) func() {
		c.Address, c.DataCentre = l.Addr().String(), "dc0"
		w = fleet.NewWorker(c)
		return standin.Serve(l, w)
	})
	store.Put(platform.KindEndpoint, c.ID, w.Registration("ready"))
	return w
}

// KeyHash returns the hash of a key as the settings and the configuration hold it.
func KeyHash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// Service is a plain service of the own interface, and a team that may call it.
type Service struct {
	Name, Team, TeamKey string
	Deadline            time.Duration
}

// Configure creates the service and the team at the instance at address.
func (s *Service) Configure(address, operatorKey string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c := command.NewOperatorClient(address, operatorKey)
	if _, err := c.PutTeam(ctx, connect.NewRequest(&operatorv1.PutTeamRequest{
		Team: &operatorv1.Team{Name: s.Team, KeySha256: []string{KeyHash(s.TeamKey)}}, OperationId: "team",
	})); err != nil {
		return err
	}
	_, err := c.CreateDeployment(ctx, connect.NewRequest(&operatorv1.CreateDeploymentRequest{OperationId: "service", Deployment: &operatorv1.Deployment{
		Name: s.Name, Kind: operatorv1.Kind_KIND_PLAIN, Service: s.Name, Teams: []string{s.Team},
		Contract: &operatorv1.Contract{Class: "background", DeadlineMs: uint32(s.Deadline.Milliseconds()), QueueMs: 500},
	}}))
	return err
}
