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

// startSpan starts the span of a request, as a child of the caller's trace if there is one. The
// header that carries the trace is forwarded unchanged.
func (f *Forwarder) startSpan(ctx context.Context, req *request) (context.Context, trace.Span) {
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(req.httpRequest.Header))
	return f.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request", req.ID), attribute.String("route", req.route.Name),
	))
}

// startHop starts the span of one send to an endpoint.
func (f *Forwarder) startHop(ctx context.Context, e *routing.Endpoint) (context.Context, trace.Span) {
	return f.Tracer.Start(ctx, "endpoint", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("endpoint", e.ID), attribute.String("data_centre", e.DataCentre),
	))
}

// endHop ends the span of a send. A non-nil err marks it as failed.
func endHop(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
