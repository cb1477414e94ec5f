package telemetry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/gateway/settings"
	"github.com/agateway/agateway/gateway/telemetry"
)

// TestSpansAreExported checks that a span reaches a collector over OTLP/HTTP, with the instance's
// id.
func TestSpansAreExported(t *testing.T) {
	got := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		assert.NilError(t, err)
		got <- r.URL.Path + " " + string(raw)
	}))
	defer collector.Close()
	s := &settings.Settings{}
	s.Instance.ID, s.Logs.Level = "entry-1", "info"
	s.Traces = settings.Traces{Exporter: "otlp", Endpoint: collector.URL + "/v1/traces", Sample: 1}
	tel, err := telemetry.New(s, io.Discard)
	assert.NilError(t, err)
	_, span := tel.Tracer.Start(context.Background(), "relay")
	span.End()
	tel.Close()
	sent := <-got
	assert.Assert(t, strings.HasPrefix(sent, "/v1/traces "))
	assert.Assert(t, strings.Contains(sent, "relay") && strings.Contains(sent, "entry-1"))
}

func TestMetricsAreServed(t *testing.T) {
	s := &settings.Settings{}
	s.Logs.Level, s.Traces.Exporter = "info", "none"
	tel, err := telemetry.New(s, io.Discard)
	assert.NilError(t, err)
	tel.Scope.Tagged(map[string]string{"deployment": "brief-llm"}).Counter("requests").Inc(3)
	tel.Close() // reports pending metrics
	w := httptest.NewRecorder()
	tel.Metrics.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `agateway_requests{deployment="brief-llm"} 3`), w.Body.String())
}
