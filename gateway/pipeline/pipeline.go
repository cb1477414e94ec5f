// Package pipeline carries a caller's request through a row of filters:
//
//	authenticate → admit → limit → claim → route → dispatch → relay → finish
//
// Each filter does one step on the [Exchange] and has a span of its own. The first error
// ends the row; finish always runs and answers what was not answered. What the filters
// took is given back at the end, whatever happens. Errors of the layers below become [apierr.Error] where they are met.
package pipeline

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateway/agateway/core/cursor"
	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/apierr"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/config"
)

// Form is the form in which a caller asked.
type Form int

// Forms of a request.
const (
	Completion Form = iota
	Chat
	Plain
)

// Exchange is one request on its way through the filters.
type Exchange struct {
	W http.ResponseWriter
	R *http.Request

	Form     Form
	Received time.Time
	Deadline time.Time

	Team       *config.Team
	Deployment *config.Deployment
	Class      limits.Class

	// Generation is set for completions, Call for plain services.
	Generation *GenerationRequest
	Call       *atmostonce.Call
	// Key is the caller's Idempotency-Key, Ticket its ticket; empty for none.
	Key, Ticket string
	// lastEvent is the cursor as the caller sent it; empty for none.
	lastEvent string

	// origin says where a generation begins, and entry its place in the directory.
	origin generation.Origin
	cursor *cursor.Cursor
	entry  directory.Entry
	// runOnce runs a plain call at most once; nil where that is not asked for.
	runOnce func(context.Context) (ticket.Outcome, error)

	// events is the caller's stream, where it asked for one.
	events   *eventStream
	session  *session
	response *plainResponse

	settled  bool // it is known who runs the request
	answered bool // the response has begun
	// truncated is set when a response that has begun can't be completed.
	truncated bool
	cleanup   []func()
	admitted  time.Time
}

// atEnd has f called when the exchange is over, last first.
func (x *Exchange) atEnd(f func()) { x.cleanup = append(x.cleanup, f) }

// unread returns a channel that is closed when the caller can't be written to any more.
func (x *Exchange) unread() <-chan struct{} {
	if x.events == nil {
		return nil
	}
	return x.events.lost
}

// release gives back what was taken so far.
func (x *Exchange) release() {
	for i := len(x.cleanup) - 1; i >= 0; i-- {
		x.cleanup[i]()
	}
	x.cleanup = nil
}

// repeatable tells whether the caller may have asked for the same before, so that a
// refusal of this ask does not say that the request did not run.
func (x *Exchange) repeatable() bool { return x.Key != "" || x.Ticket != "" || x.lastEvent != "" }

// Filter is one step.
type Filter interface {
	// Name is the filter's name in spans and metrics.
	Name() string
	// Serve does the step; an error ends the row.
	Serve(ctx context.Context, x *Exchange) error
}

// Pipeline is the row of filters. It is safe for concurrent use.
type Pipeline struct {
	deps    *Deps
	filters []Filter
	finish  *finish
}

// New returns the pipeline.
func New(d *Deps) *Pipeline {
	d.prepare()
	return &Pipeline{
		deps: d,
		filters: []Filter{
			&authenticate{d}, &admit{d}, newLimit(d), &claim{d}, &route{d}, &dispatch{d}, &relay{d},
		},
		finish: newFinish(d),
	}
}

// Serve carries a request through the filters.
func (p *Pipeline) Serve(w http.ResponseWriter, r *http.Request, form Form) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := p.deps.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	x := &Exchange{
		W: w, R: r, Form: form, Received: time.Now(),
		Key: r.Header.Get(HeaderKey), Ticket: r.Header.Get(HeaderTicket), lastEvent: r.Header.Get(HeaderLastEvent),
	}
	defer x.release()
	p.deps.open.Add(1)
	defer p.deps.open.Add(-1)
	var err error
	for _, f := range p.filters {
		if err = p.step(ctx, f, x); err != nil {
			break
		}
	}
	p.finish.serve(ctx, x, err)
	if x.truncated {
		panic(http.ErrAbortHandler) // breaks the connection: it must not look complete
	}
}

func (p *Pipeline) step(ctx context.Context, f Filter, x *Exchange) error {
	ctx, span := p.deps.Tracer.Start(ctx, f.Name())
	defer span.End()
	err := f.Serve(ctx, x)
	if err != nil && span.IsRecording() {
		span.SetStatus(codes.Error, string(apierr.From(err).Code))
	}
	return err
}

// Open returns the requests in progress.
func (p *Pipeline) Open() int64 { return p.deps.open.Load() }

// Drain makes the pipeline refuse new requests.
func (p *Pipeline) Drain() { p.deps.draining.Store(true) }
