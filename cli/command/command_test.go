package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/api/operator/v1/operatorv1connect"
	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/gateway/callers"
)

// fakeService implements the part of the operators' interface that the tests call. CreateDeployment
// fails with failCode, unless that is 0.
type fakeService struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	failCode   connect.Code
	lastCreate *operatorv1.CreateDeploymentRequest
}

func (s *fakeService) CreateDeployment(_ context.Context, r *connect.Request[operatorv1.CreateDeploymentRequest]) (*connect.Response[operatorv1.CreateDeploymentResponse], error) {
	s.lastCreate = r.Msg
	if s.failCode != 0 {
		return nil, connect.NewError(s.failCode, errors.New("no"))
	}
	return connect.NewResponse(&operatorv1.CreateDeploymentResponse{Stored: &operatorv1.StoredDeployment{Deployment: r.Msg.Deployment, Version: 7}}), nil
}

func (s *fakeService) GetFleetStatus(context.Context, *connect.Request[operatorv1.GetFleetStatusRequest]) (*connect.Response[operatorv1.GetFleetStatusResponse], error) {
	return connect.NewResponse(&operatorv1.GetFleetStatusResponse{Instances: []*operatorv1.InstanceStatus{{Id: "entry-1", State: "alive"}}}), nil
}

// runCommand runs a command against a server with s and returns its output.
func runCommand(t *testing.T, s *fakeService, args ...string) (string, error) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(s))
	mux.HandleFunc("/v1/entry", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(callers.Entry{Addresses: []callers.EntryAddress{{Address: "10.0.0.1:80", Instance: "entry-1"}}})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	root := Root()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(append(args, "--address", strings.TrimPrefix(server.URL, "http://")))
	err := root.Execute()
	return out.String(), err
}

// writeFile writes text to a file in a temporary folder and returns its name.
func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "deployment.json")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// TestCreateDeployment checks that create sends the deployment of the file with the given operation
// id or with a new one, and that it prints the stored version as text and as JSON.
func TestCreateDeployment(t *testing.T) {
	s := &fakeService{}
	out, err := runCommand(t, s, "deployment", "create", "../../examples/dala/brief-llm.json", "--operation", "op")
	assert.NilError(t, err)
	assert.Equal(t, out, "brief-llm version 7\n")
	assert.Equal(t, s.lastCreate.OperationId, "op")
	assert.Equal(t, s.lastCreate.Deployment.Contract.Class, "urgent")
	out, err = runCommand(t, s, "deployment", "create", "../../examples/kurosawa/plan-writer.json", "--output", "json")
	assert.NilError(t, err)
	var parsed struct {
		Version    string
		Deployment struct{ Name string }
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &parsed))
	assert.Equal(t, parsed.Version+parsed.Deployment.Name, "7plan-writer")
	assert.Assert(t, s.lastCreate.OperationId != "op" && s.lastCreate.OperationId != "")
}

// TestReadingCommands checks the output of commands that change nothing, and that the hash printed by
// team key belongs to the key printed with it.
func TestReadingCommands(t *testing.T) {
	out, err := runCommand(t, &fakeService{}, "fleet", "status")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "entry-1"))
	out, err = runCommand(t, &fakeService{}, "entry", "--output", "json")
	assert.NilError(t, err)
	var e callers.Entry
	assert.NilError(t, json.Unmarshal([]byte(out), &e))
	assert.Equal(t, e.Addresses[0].Address, "10.0.0.1:80")
	out, err = runCommand(t, &fakeService{}, "team", "key", "almaty-desk")
	assert.NilError(t, err)
	key, hash, _ := strings.Cut(strings.TrimSpace(strings.TrimPrefix(out, "key=")), "\nsha256=")
	assert.Equal(t, hashKey(key), hash)
}

// TestExitCodes checks the exit code for each kind of error. Scripts tell a conflict or an outage
// from a wrong command line by it.
func TestExitCodes(t *testing.T) {
	good := "../../examples/dala/brief-llm.json"
	for name, c := range map[string]struct {
		fail connect.Code
		args []string
		want int
	}{
		"conflict":    {connect.CodeAborted, []string{"deployment", "create", good}, ExitConflict},
		"unavailable": {connect.CodeUnavailable, []string{"deployment", "create", good}, ExitUnavailable},
		"invalid":     {connect.CodeInvalidArgument, []string{"deployment", "create", good}, ExitUsage},
		"internal":    {connect.CodeInternal, []string{"deployment", "create", good}, ExitFailed},
		"no file":     {0, []string{"deployment", "create", "none.json"}, ExitUsage},
		"broken file": {0, []string{"deployment", "create", writeFile(t, "{")}, ExitUsage},
		"unknown key": {0, []string{"deployment", "create", writeFile(t, `{"nmae":"x"}`)}, ExitUsage},
		"bad output":  {0, []string{"fleet", "status", "--output", "xml"}, ExitUsage},
		"bad fault":   {0, []string{"bench", "--fault", "flood"}, ExitUsage},
		"bad profile": {0, []string{"bench", "--profile", "x"}, ExitUsage},
		"not there":   {0, []string{"deployment", "list"}, ExitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := runCommand(t, &fakeService{failCode: c.fail}, c.args...)
			assert.Equal(t, ExitCode(err), c.want, "%v", err)
		})
	}
	assert.Equal(t, ExitCode(&caller.Refusal{RetryAfter: 1}), ExitUnavailable)
}
