package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/placement"
	"github.com/agateway/agateway/gateway/upstream"
)

// Configuration is the configuration in force, with the age of the proof that it still is.
type Configuration interface {
	// Table returns the newest table; nil when none is known yet. age is how long ago it was known
	// to be the newest.
	Table() (table *route.Table, age time.Duration)
}

// Log takes a line for each decision that touches a request.
type Log interface {
	// Decision logs what was decided about a request, and from which inputs.
	Decision(request, what string, inputs logrus.Fields)
	// Refusal logs why a request was not served.
	Refusal(request, what string, inputs logrus.Fields)
}

// Settings of forwarding. Durations from the deployment's bounds come with the settings file.
type Settings struct {
	// DataCentre is where this instance runs.
	DataCentre string
	// KeyBound is how old the proof of the configuration may be for a request with a key: a key
	// that was taken away must not be served longer.
	KeyBound time.Duration
	// DenyBound is how old the proof may be for a request to be denied for good (401, 404).
	DenyBound time.Duration
	// RetryShare and RetryReserve bound requests sent once more: a share of the requests, and a
	// number that all instances share.
	RetryShare, RetryReserve float64
	// RetryWindow is the time within which they are counted.
	RetryWindow time.Duration
	// SilenceFloor is the least silence of a stream that counts as the loss of its engine.
	SilenceFloor time.Duration
	// FirstEvent is how long an engine may take for the first event before it is asked whether it
	// is alive, and Probe how long it may take to answer.
	FirstEvent, Probe time.Duration
	// Connect bounds the time a connection to an endpoint may take.
	Connect time.Duration
	// Without switches mechanisms off.
	Without Without
}

// Without names mechanisms that are switched off, to find out what each is worth; see the settings of the same names.
type Without struct {
	Copies, CopyElsewhere, Search, Health, Pace, SharedRetries, Line, FirstLook, Claims bool
}

// Others are the other instances, with which this one shares the endpoints.
type Others interface {
	// Instances returns how many instances are alive, and how many are known, this one included; connections and
	// retries are shared among them.
	Instances() (alive, known int)
	// Changed makes the others learn soon that something has changed at endpoints.
	Changed(endpoints ...string)
	// Freed does so where a request has ended or its prompt has been read: it is not as urgent.
	Freed(endpoints ...string)
	// Repeated makes the others learn soon that something was sent once more, which counts against one bound for all.
	Repeated()
	// Ask brings what is known of some engines up to date before a prompt is placed at one of them.
	Ask(ctx context.Context, prompt uint64, endpoints []string)
	// Claim asks for room at an engine right before a request is sent there, and returns whether it was granted.
	Claim(ctx context.Context, endpoint string, c routing.Claim) bool
}

// alone is an instance without others.
type alone struct{}

func (alone) Instances() (alive, known int)                     { return 1, 1 }
func (alone) Changed(...string)                                 {}
func (alone) Freed(...string)                                   {}
func (alone) Repeated()                                         {}
func (alone) Ask(context.Context, uint64, []string)             {}
func (alone) Claim(context.Context, string, routing.Claim) bool { return true }

// Options of a forwarder.
type Options struct {
	Settings      Settings
	Configuration Configuration
	// Known is closed once both a configuration and the list of endpoints were read for the first time.
	Known     <-chan struct{}
	Placement *placement.Placement
	Pool      *upstream.Pool
	// Others are the other instances; nil for none.
	Others Others
	// Crashes is what is known of requests that end endpoints; nil for nothing.
	Crashes Crashes
	// Rollouts are the moves of services to other builds; nil for none.
	Rollouts Rollouts
	// Clock also runs while the machine is suspended.
	Clock clock.Func
	// Ended is called with the id of an endpoint whose address answered for another one.
	Ended func(id ...string)
	Log   Log
	Scope tally.Scope
	// Tracer makes a span for each request and for each hop to an endpoint.
	Tracer trace.Tracer
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Options
	budgets *budgets
	judge   crashes.Attributor
	reads   reads
	locator locator
	lines   lines
	// streamTimes is how long streams took of late.
	streamTimes streamTimes
	open        atomic.Int64
	began       time.Time
	// firstStream guards the histogram of the first stream placed.
	firstStream sync.Once
	metrics     metrics

	drain atomic.Pointer[drain]
	// ending ends when requests in progress have to, by end.
	ending context.Context
	end    context.CancelFunc

	sessionsMu sync.Mutex
	sessions   map[*session]bool
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	if o.Settings.RetryWindow == 0 {
		o.Settings.RetryWindow = leastWindow
	}
	if o.Others == nil {
		o.Others = alone{}
	}
	if o.Rollouts == nil {
		o.Rollouts = noRollouts{}
	}
	held := o.Crashes
	if held == nil {
		o.Crashes = noCrashes{}
	}
	f := &Forwarder{
		Options: o, began: time.Now(), budgets: newBudgets(&o.Settings, o.Clock), metrics: newMetrics(o.Scope), sessions: map[*session]bool{},
	}
	f.ending, f.end = context.WithCancel(context.Background())
	if held != nil {
		f.judge = crashes.Attributor{Record: held.Ended, HasCrashed: f.hasEnded, Unreachable: f.isUnreachable, Nearby: o.Placement.Nearby}
	}
	return f
}

// FirstLook records that both a configuration and the list of endpoints are known for the first time.
func (f *Forwarder) FirstLook() { f.metrics.startKnown.RecordDuration(time.Since(f.began)) }

// Open returns the number of requests in progress.
func (f *Forwarder) Open() int { return int(f.open.Load()) }

// ServeHTTP implements [http.Handler].
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	arrived := time.Now()
	f.awaitKnown(r.Context())
	req, refused := f.accept(r, arrived)
	if d := f.drain.Load(); d != nil {
		w.Header().Set("Connection", "close")
		if refused == nil {
			refused = d.refuses(time.Now(), req)
		}
	}
	if refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	f.serve(w, r, req)
}

func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request, req *request) {
	ctx, span := f.span(r.Context(), req)
	defer span.End()
	ctx, release := f.endable(ctx, w)
	defer release()
	if !req.deadline.IsZero() {
		limited, cancel := context.WithDeadline(ctx, req.deadline)
		defer cancel()
		ctx = limited
		_ = http.NewResponseController(w).SetWriteDeadline(req.deadline.Add(lateWrite))
	}
	if refused := req.readBody(w, r); refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	req.identify()
	if refused := f.refuseIfStopped(req); refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	f.budgets.request(req.service)
	if req.route.Stream && req.route.RetryPolicy == route.Resumable && req.replayable {
		f.serveSession(ctx, w, req)
		return
	}
	f.servePlain(ctx, w, req)
}

// lateWrite is how long after a request's deadline its last bytes may still be written.
const lateWrite = time.Second

// point returns a random number between 0 and 1.
func point() float64 { return rand.Float64() }
