package forward

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
)

// TestSpans checks that a request gets a span in the caller's trace, and each send a child span.
func TestSpans(t *testing.T) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	out := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(out))
	f := New(Options{Log: discardLog{}, Scope: tally.NoopScope, Tracer: provider.Tracer("t"), Clock: func() time.Duration { return 0 }})
	r := httptest.NewRequest("POST", "/a", nil)
	r.Header.Set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	ctx, span := f.startSpan(context.Background(), &request{httpRequest: r, route: &route.Route{Name: "r"}})
	_, hop := f.startHop(ctx, &routing.Endpoint{ID: "e1"})
	endHop(hop, ErrEngine.New("failed"))
	span.End()
	spans := out.GetSpans()
	assert.Equal(t, len(spans), 2)
	assert.Equal(t, spans[0].Parent.SpanID(), spans[1].SpanContext.SpanID())
	assert.Equal(t, spans[1].Parent.SpanID().String(), "b7ad6b7169203331")
	assert.Equal(t, spans[1].SpanContext.TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	assert.Assert(t, spans[0].Status.Description != "")
}
