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

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/clock"
	"github.com/agateway/agateway/gateway/crashes"
	"github.com/agateway/agateway/gateway/placement"
	"github.com/agateway/agateway/gateway/upstream"
)

// Configuration provides the configuration in force and how recently it was confirmed.
type Configuration interface {
	// Table returns the newest table, or nil when none is known yet. age is the time since it was
	// last confirmed to be the newest.
	Table() (table *route.Table, age time.Duration)
}

// Log records the decisions about requests.
type Log interface {
	// Decision logs a decision about a request and its inputs.
	Decision(request, message string, inputs logrus.Fields)
	// Refusal logs why a request was not served. An empty request id marks a failure that belongs
	// to no request.
	Refusal(request, message string, inputs logrus.Fields)
}

// Settings configures a Forwarder. The durations come from the bounds in the settings file.
type Settings struct {
	// Instance and DataCentre are the name and the data centre of this instance.
	Instance, DataCentre string
	// MaxConfigAgeForKeys is the maximum age of the last confirmation of the configuration at which
	// a request with a key is served. It bounds how long a revoked key is still accepted.
	MaxConfigAgeForKeys time.Duration
	// MaxConfigAgeForDenial is the maximum age of the last confirmation at which a request is
	// denied permanently (401, 404).
	MaxConfigAgeForDenial time.Duration
	// RetryShare and RetryReserve bound the retries: a share of the requests plus a fixed number,
	// both over all instances together.
	RetryShare, RetryReserve float64
	// RetryWindow is the time window in which requests and retries are counted. Zero means 10 s.
	RetryWindow time.Duration
	// SilenceFloor is the shortest silence of a stream after which its engine counts as lost.
	SilenceFloor time.Duration
	// FirstEventTimeout is how long an engine may take for the first event before it is probed, and
	// ProbeTimeout is how long it may take to answer the probe.
	FirstEventTimeout, ProbeTimeout time.Duration
	// ConnectTimeout bounds the time to connect to an endpoint.
	ConnectTimeout time.Duration
	// Overload selects what applies while engines have too little room.
	Overload Overload
	// Disabled lists the mechanisms that are switched off.
	Disabled DisabledMechanisms
}

// Overload selects mechanisms that a deployment switches on.
type Overload struct {
	// Deadlines keeps prompts from engines where a running stream would miss its deadline.
	Deadlines bool
	// Speeds ranks engines by their measured speed.
	Speeds bool
	// SharedQueue orders the waiting streams of all instances.
	SharedQueue bool
	// OnlyRanked restricts Deadlines and SharedQueue to services whose streaming routes have different
	// priorities.
	OnlyRanked bool
}

// usesDeadlines reports whether prompts are kept from engines for the streams of a request's service.
func (o *Overload) usesDeadlines(p route.Priority) bool { return o.Deadlines && o.includes(p) }

// includes reports whether Deadlines and SharedQueue apply to a request if they are set.
func (o *Overload) includes(p route.Priority) bool { return p.Ranked() || !o.OnlyRanked }

// DisabledMechanisms selects mechanisms to switch off, so that the effect of each can be measured.
// The settings have the same names, except that WaitQueue is called line there.
type DisabledMechanisms struct {
	Copies, CopyElsewhere, Search, Health, Pace, SharedRetries, WaitQueue, FirstLook, Claims, Limits, Room, ViaPeers, Departures, Pauses, Stay, SharedSilence, OwnPauses, PromptParts, Ranks bool
}

// Peers is the set of other instances, which share the endpoints with this one.
type Peers interface {
	// Instances returns the number of instances that are alive and the number that are known, both
	// including this one. Connections are divided among them.
	Instances() (alive, known int)
	// RetryCoverage returns with which instances this one shares the bound on retries.
	RetryCoverage() limits.PeerCoverage
	// Helpers returns the other instances that can serve requests for this one.
	Helpers() []Helper
	// Changed announces soon to the other instances that the state of some endpoints has changed.
	Changed(endpoints ...string)
	// Freed is like Changed for a request that has ended or whose prompt has been prefilled. It is
	// less urgent.
	Freed(endpoints ...string)
	// Repeated announces soon that a request was retried, since all instances share one retry
	// bound.
	Repeated()
	// Ask refreshes what is known about some engines before a prompt is placed at one of them.
	Ask(ctx context.Context, prompt uint64, endpoints []string)
	// Claim asks for room at an endpoint right before a request is sent there.
	Claim(ctx context.Context, endpoint string, c routing.Claim) routing.Grant
	// Release reports what became of a request for which room at a fragile endpoint was granted
	// under a lease.
	Release(endpoint string, lease uint64, o admission.Outcome)
}

// Reach watches whether this instance can reach the endpoints.
type Reach interface {
	// Failed records that an endpoint could not be connected to, or reset a connection before it
	// answered. Connected records that one answered on a new connection.
	Failed(endpoint string)
	Connected()
	// CutOff reports whether the instance reaches no endpoint. Check finds that out, which takes up
	// to some hundred milliseconds.
	CutOff() bool
	Check(ctx context.Context) bool
}

// alwaysReachable is the [Reach] of an instance that watches nothing.
type alwaysReachable struct{}

func (alwaysReachable) Failed(string)              {}
func (alwaysReachable) Connected()                 {}
func (alwaysReachable) CutOff() bool               { return false }
func (alwaysReachable) Check(context.Context) bool { return false }

// noPeers is the [Peers] of an instance that runs alone.
type noPeers struct{}

func (noPeers) Instances() (alive, known int) { return 1, 1 }
func (noPeers) RetryCoverage() limits.PeerCoverage {
	return limits.PeerCoverage{Reporting: 1, Known: 1}
}
func (noPeers) Helpers() []Helper                     { return nil }
func (noPeers) Changed(...string)                     {}
func (noPeers) Freed(...string)                       {}
func (noPeers) Repeated()                             {}
func (noPeers) Ask(context.Context, uint64, []string) {}
func (noPeers) Claim(context.Context, string, routing.Claim) routing.Grant {
	return routing.Grant{Unknown: true}
}

func (noPeers) Release(string, uint64, admission.Outcome) {}

// Options holds the settings and dependencies of a Forwarder.
type Options struct {
	Settings      Settings
	Configuration Configuration
	// Synced is closed once a configuration and the list of endpoints have both been read.
	Synced    <-chan struct{}
	Placement *placement.Placement
	Pool      *upstream.Pool
	// Peers is the set of other instances; nil means that there are none.
	Peers Peers
	// Reach watches whether this instance can reach the endpoints; nil means that it can.
	Reach Reach
	// Crashes tracks the requests that crash endpoints; nil disables this.
	Crashes Crashes
	// Rollouts selects builds while services move to another build; nil means no rollouts.
	Rollouts Rollouts
	// Queue is the queue that the instances share; nil means that each has its own.
	Queue SharedQueue
	// Clock also advances while the machine is suspended.
	Clock clock.Func
	// OnEndpointReplaced is called with the id of an endpoint whose address now belongs to another
	// one.
	OnEndpointReplaced func(id ...string)
	Log                Log
	Scope              tally.Scope
	// Tracer creates a span for each request and for each send to an endpoint.
	Tracer trace.Tracer
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Options
	retryBudgets    *retryBudgets
	attributor      crashes.Attributor
	promptLocations promptLocations
	liveness        livenessRecords
	locator         promptLocator
	waitQueues      waitQueues
	returns         returnSchedules
	helperLoads     helperLoads
	pendingSends    pendingSends
	// streamTimes holds how long recent streams took.
	streamTimes  streamTimes
	lastSlackKey atomic.Uint64
	deadlineLog  logLimit
	roomLog      logLimit
	openRequests atomic.Int64
	// streamedBodies is the number of requests whose bodies are sent on while they arrive.
	streamedBodies atomic.Int64
	startedAt      time.Time
	// firstStreamOnce ensures that only the first placed stream is recorded in its histogram.
	firstStreamOnce sync.Once
	metrics         metrics

	drain atomic.Pointer[drain]
	// shutdownCtx is cancelled by cancelRequests when requests in progress have to end.
	shutdownCtx    context.Context
	cancelRequests context.CancelFunc

	sessionsMu sync.Mutex
	sessions   map[*session]bool
}

// New returns a Forwarder. Nil Peers, Reach, Crashes and Rollouts are replaced by implementations that do
// nothing.
func New(o Options) *Forwarder {
	if o.Settings.RetryWindow == 0 {
		o.Settings.RetryWindow = defaultRetryWindow
	}
	if o.Peers == nil {
		o.Peers = noPeers{}
	}
	if o.Reach == nil {
		o.Reach = alwaysReachable{}
	}
	if o.Rollouts == nil {
		o.Rollouts = noRollouts{}
	}
	crashRecords := o.Crashes
	if crashRecords == nil {
		o.Crashes = noCrashes{}
	}
	f := &Forwarder{
		Options: o, startedAt: time.Now(), retryBudgets: newRetryBudgets(&o.Settings, o.Clock), metrics: newMetrics(o.Scope), sessions: map[*session]bool{},
	}
	f.shutdownCtx, f.cancelRequests = context.WithCancel(context.Background())
	if crashRecords != nil {
		f.attributor = crashes.Attributor{
			Record: crashRecords.RecordCrash, HasCrashed: f.hasCrashed, Unreachable: f.isUnreachable,
			DataCentreFailures: o.Placement.DataCentreFailures, ServiceFailures: o.Placement.ServiceFailures,
		}
	}
	return f
}

// MarkSynced records the time from the start until a configuration and the list of endpoints were
// both known. Call it once.
func (f *Forwarder) MarkSynced() { f.metrics.startToSync.RecordDuration(time.Since(f.startedAt)) }

// OpenRequests returns the number of requests in progress.
func (f *Forwarder) OpenRequests() int { return int(f.openRequests.Load()) }

// ServeHTTP implements [http.Handler].
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.openRequests.Add(1)
	defer f.openRequests.Add(-1)
	arrivedAt := time.Now()
	f.awaitSync(r.Context())
	req, refused := f.accept(r, arrivedAt)
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
	ctx, span := f.startSpan(r.Context(), req)
	defer span.End()
	ctx, stopShutdownWatch := f.withShutdown(ctx, w)
	defer stopShutdownWatch()
	if !req.deadline.IsZero() {
		limited, cancel := context.WithDeadline(ctx, req.deadline)
		defer cancel()
		ctx = limited
		_ = http.NewResponseController(w).SetWriteDeadline(req.deadline.Add(writeGrace))
	}
	if refused := f.readBody(ctx, w, r, req); refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	if req.unbuffered != nil {
		defer f.streamedBodies.Add(-1)
	}
	req.identify(!f.Settings.Disabled.PromptParts)
	if refused := f.refuseIfStopped(req); refused != nil {
		f.answerRefusal(w, req, refused)
		return
	}
	if req.passedOnBy == "" { // otherwise the instance that passes it on has counted it
		f.retryBudgets.countRequest(req.service)
	}
	if req.route.Stream && req.route.RetryPolicy == route.Resumable && req.replayable {
		f.serveSession(ctx, w, req)
		return
	}
	f.servePlain(ctx, w, req)
}

// writeGrace is how long after a request's deadline its last bytes may still be written.
const writeGrace = time.Second

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 { return rand.Float64() }
