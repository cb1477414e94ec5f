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

// service answers as an instance does.
type service struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	fail connect.Code
	seen *operatorv1.CreateDeploymentRequest
}

func (s *service) CreateDeployment(_ context.Context, r *connect.Request[operatorv1.CreateDeploymentRequest]) (*connect.Response[operatorv1.CreateDeploymentResponse], error) {
	s.seen = r.Msg
	if s.fail != 0 {
		return nil, connect.NewError(s.fail, errors.New("no"))
	}
	return connect.NewResponse(&operatorv1.CreateDeploymentResponse{Stored: &operatorv1.StoredDeployment{Deployment: r.Msg.Deployment, Version: 7}}), nil
}

func (s *service) GetFleetStatus(context.Context, *connect.Request[operatorv1.GetFleetStatusRequest]) (*connect.Response[operatorv1.GetFleetStatusResponse], error) {
	return connect.NewResponse(&operatorv1.GetFleetStatusResponse{Instances: []*operatorv1.InstanceStatus{{Id: "entry-1", State: "alive"}}}), nil
}

func run(t *testing.T, s *service, args ...string) (string, error) {
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

func file(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "deployment.json")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestCreateDeployment(t *testing.T) {
	s := &service{}
	out, err := run(t, s, "deployment", "create", "../../examples/dala/brief-llm.json", "--operation", "op")
	assert.NilError(t, err)
	assert.Equal(t, out, "brief-llm version 7\n")
	assert.Equal(t, s.seen.OperationId, "op")
	assert.Equal(t, s.seen.Deployment.Contract.Class, "urgent")
	out, err = run(t, s, "deployment", "create", "../../examples/kurosawa/plan-writer.json", "--output", "json")
	assert.NilError(t, err)
	var parsed struct {
		Version    string
		Deployment struct{ Name string }
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &parsed))
	assert.Equal(t, parsed.Version+parsed.Deployment.Name, "7plan-writer")
	assert.Assert(t, s.seen.OperationId != "op" && s.seen.OperationId != "")
}

func TestReadingCommands(t *testing.T) {
	out, err := run(t, &service{}, "fleet", "status")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "entry-1"))
	out, err = run(t, &service{}, "entry", "--output", "json")
	assert.NilError(t, err)
	var e callers.Entry
	assert.NilError(t, json.Unmarshal([]byte(out), &e))
	assert.Equal(t, e.Addresses[0].Address, "10.0.0.1:80")
	out, err = run(t, &service{}, "team", "key", "almaty-desk")
	assert.NilError(t, err)
	key, hash, _ := strings.Cut(strings.TrimSpace(strings.TrimPrefix(out, "key=")), "\nsha256=")
	assert.Equal(t, hashKey(key), hash)
}

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
		"broken file": {0, []string{"deployment", "create", file(t, "{")}, ExitUsage},
		"unknown key": {0, []string{"deployment", "create", file(t, `{"nmae":"x"}`)}, ExitUsage},
		"bad output":  {0, []string{"fleet", "status", "--output", "xml"}, ExitUsage},
		"bad fault":   {0, []string{"bench", "--fault", "flood"}, ExitUsage},
		"bad profile": {0, []string{"bench", "--profile", "x"}, ExitUsage},
		"not there":   {0, []string{"deployment", "list"}, ExitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := run(t, &service{fail: c.fail}, c.args...)
			assert.Equal(t, ExitCode(err), c.want, "%v", err)
		})
	}
	assert.Equal(t, ExitCode(&caller.Refusal{RetryAfter: 1}), ExitUnavailable)
}
