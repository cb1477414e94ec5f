// Package pipeline serves a caller's request with a fixed sequence of filters:
//
//	authenticate → admit → limit → claim → route → dispatch → relay → finish
//
// Each filter performs one step on the [Exchange]. The first error skips the filters after it,
// except finish. finish sends the error if there is one, and counts the outcome. Each of the other
// filters has a span of its own. What the filters acquired is released at the end, also after an
// error or a panic. Each filter turns the errors of lower layers into an [apierr.Error] where they
// occur.
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

// Form is the API that a request uses.
type Form int

// Forms of a request. Their values are part of hashes that instances compare.
const (
	Completion Form = iota
	Chat
	Plain
)

// Exchange is one request and its state while it passes through the filters.
type Exchange struct {
	W http.ResponseWriter
	R *http.Request

	Form     Form
	Received time.Time
	Deadline time.Time

	Team       *config.Team
	Deployment *config.Deployment
	Class      limits.Class

	// Generation is set for completions and chat, and Call for plain services.
	Generation *GenerationRequest
	Call       *atmostonce.Call
	// IdempotencyKey is the caller's Idempotency-Key header, and Ticket its ticket; empty if not
	// sent.
	IdempotencyKey, Ticket string
	// lastEventID is the encoded cursor from the caller's Last-Event-ID header; empty if not sent.
	lastEventID string

	// origin is the position from which a generation continues; the zero value starts a new one.
	// cursor is the decoded cursor of the caller, nil without one. entry is the directory entry of
	// the generation.
	origin generation.Origin
	cursor *cursor.Cursor
	entry  directory.Entry
	// runOnce runs a plain call at most once; nil if the call does not need that.
	runOnce func(context.Context) (ticket.Outcome, error)

	// events is the event stream to the caller; nil if it did not ask for one.
	events   *eventStream
	session  *session
	response *plainResponse

	claimReached    bool // the claim filter has been reached
	responseStarted bool // the status line has been sent
	// truncated is set if a response that has been started can't be completed.
	truncated  bool
	cleanup    []func()
	admittedAt time.Time
}

// addCleanup registers f to be called at the end of the exchange. The functions run in reverse
// order.
func (x *Exchange) addCleanup(f func()) { x.cleanup = append(x.cleanup, f) }

// writeFailed returns a channel that is closed when a write to the caller's event stream fails. It
// is nil, and so never ready, if the caller did not ask for a stream.
func (x *Exchange) writeFailed() <-chan struct{} {
	if x.events == nil {
		return nil
	}
	return x.events.writeFailed
}

// runCleanup runs the cleanup functions that were registered so far.
func (x *Exchange) runCleanup() {
	for i := len(x.cleanup) - 1; i >= 0; i-- {
		x.cleanup[i]()
	}
	x.cleanup = nil
}

// mayBeRetry tells whether the caller may have sent the same request before. If so, refusing this
// one does not prove that the request did not run.
func (x *Exchange) mayBeRetry() bool {
	return x.IdempotencyKey != "" || x.Ticket != "" || x.lastEventID != ""
}

// Filter is one step of the pipeline.
type Filter interface {
	// Name returns the name of the filter's span.
	Name() string
	// Serve performs the step. An error skips the filters after it.
	Serve(ctx context.Context, x *Exchange) error
}

// Pipeline is the sequence of filters. It is safe for concurrent use.
type Pipeline struct {
	deps    *Deps
	filters []Filter
	finish  *finish
}

// New returns a pipeline. It completes d, which must not be used for another pipeline.
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

// Serve passes a request through the filters and sends the response. It panics with
// [http.ErrAbortHandler] if it could not complete a response that it had started.
func (p *Pipeline) Serve(w http.ResponseWriter, r *http.Request, form Form) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := p.deps.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	x := &Exchange{
		W: w, R: r, Form: form, Received: time.Now(),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey), Ticket: r.Header.Get(HeaderTicket), lastEventID: r.Header.Get(HeaderLastEventID),
	}
	defer x.runCleanup()
	p.deps.openRequests.Add(1)
	defer p.deps.openRequests.Add(-1)
	var err error
	for _, f := range p.filters {
		if err = p.runFilter(ctx, f, x); err != nil {
			break
		}
	}
	p.finish.serve(ctx, x, err)
	if x.truncated {
		panic(http.ErrAbortHandler) // aborts the connection, so that the response does not look complete
	}
}

func (p *Pipeline) runFilter(ctx context.Context, f Filter, x *Exchange) error {
	ctx, span := p.deps.Tracer.Start(ctx, f.Name())
	defer span.End()
	err := f.Serve(ctx, x)
	if err != nil && span.IsRecording() {
		span.SetStatus(codes.Error, string(apierr.From(err).Code))
	}
	return err
}

// OpenRequests returns the number of requests in progress.
func (p *Pipeline) OpenRequests() int64 { return p.deps.openRequests.Load() }

// Drain makes the pipeline refuse new requests. Requests in progress continue.
func (p *Pipeline) Drain() { p.deps.draining.Store(true) }
