// Package telemetry sets up logs, metrics and traces. Frequent events are counted in metrics; a
// log line is written only for a change of state.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateway/agateway/gateway/settings"
)

// Telemetry holds the logger, the metrics and the tracer of a process. Metrics serves the metrics
// in the format of Prometheus.
type Telemetry struct {
	Log     *logrus.Entry
	Scope   tally.Scope
	Metrics http.Handler
	Tracer  trace.Tracer
	closers []func()
}

const reportInterval = time.Second

// New sets up telemetry for an entry instance, with logs as text or JSON. It returns an error if
// the log level or the trace exporter is invalid.
func New(s *settings.Settings, out io.Writer) (*Telemetry, error) {
	log := logrus.New()
	log.SetOutput(out)
	if s.Logs.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	level, err := logrus.ParseLevel(s.Logs.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	t := &Telemetry{Log: log.WithField("instance", s.Instance.ID)}
	t.setUpMetrics()
	return t, t.setUpTraces(s.Traces, s.Instance.ID)
}

// NewFront sets up telemetry for an instance that forwards. Logs are JSON lines. It returns an
// error if the log level or the trace exporter is invalid.
func NewFront(s *settings.Front, out io.Writer) (*Telemetry, error) {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(s.Logs.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	t := &Telemetry{Log: log.WithField("instance", s.Instance.ID)}
	t.setUpMetrics()
	return t, t.setUpTraces(s.Traces, s.Instance.ID)
}

func (t *Telemetry) setUpMetrics() {
	registry := client.NewRegistry()
	sanitize := prometheus.DefaultSanitizerOpts
	sanitize.ValueCharacters.Characters = tally.UnderscoreDashDotCharacters // keeps names of deployments unchanged
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "agateway", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &sanitize, OmitCardinalityMetrics: true,
	}, reportInterval)
	t.Scope, t.Metrics = scope, reporter.HTTPHandler()
	t.closers = append(t.closers, func() { _ = closer.Close() })
}

// setUpTraces sets up the tracer. Without an exporter no spans are recorded, but a caller's
// traceparent is still passed on to the endpoint.
func (t *Telemetry) setUpTraces(s settings.Traces, instance string) error {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if s.Exporter == "none" {
		t.Tracer = otel.Tracer("agateway")
		return nil
	}
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(s.Endpoint))
	if err != nil {
		return err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Sample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "agatewayd"),
			attribute.String("service.instance.id", instance))),
	)
	otel.SetTracerProvider(provider)
	t.Tracer = provider.Tracer("agateway")
	t.closers = append(t.closers, func() { _ = provider.Shutdown(context.Background()) })
	return nil
}

// Close flushes pending metrics and spans.
func (t *Telemetry) Close() {
	for _, f := range t.closers {
		f()
	}
}
