package forward

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateway/agateway/core/routing"
)

// span begins the span of a request. A caller's own trace goes on in it; the header that carries it is
// passed on to the endpoint as it came, like any other.
func (f *Forwarder) span(ctx context.Context, req *request) (context.Context, trace.Span) {
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(req.http.Header))
	return f.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request", req.ID), attribute.String("route", req.route.Name),
	))
}

// hop begins the span of one send to an endpoint.
func (f *Forwarder) hop(ctx context.Context, e *routing.Endpoint) (context.Context, trace.Span) {
	return f.Tracer.Start(ctx, "endpoint", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("endpoint", e.ID), attribute.String("data_centre", e.DataCentre),
	))
}

// endHop ends the span of a send.
func endHop(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
