package generation

import "time"

// Action is something that the caller of the machine has to carry out: one of [Start], [Resume],
// [Probe], [Assess], [Cancel], [Finish] and [Fail].
type Action interface{ action() }

// Start requests a new stream on an engine chosen by routing.
type Start struct {
	Attempt int
	// Avoid lists endpoints that failed, refused or were suspected in this generation.
	Avoid []string
	// From is the index at which the stream has to begin: the journal's length when the journal is
	// sent as a forced prefix, else 0.
	From int
	// Recovery tells that an engine may already have worked on the request, which gives it
	// precedence over new requests.
	Recovery bool
	// Contender tells that the current attempt is kept until this one is granted.
	Contender bool
}

// Resume requests a running stream again, on a new connection.
type Resume struct {
	Attempt int
	Stream  Stream
	From    int
}

// Probe asks the engine for the state of a stream, on a new connection.
type Probe struct {
	Attempt int
	Stream  Stream
}

// Assess asks whether the engine of a silent attempt is alive, whether another engine is better, and
// whether others are silent too. The result is reported with [Machine.Assessed].
type Assess struct {
	Attempt int
	Stream  Stream
	// SilentSince is when the engine was last active.
	SilentSince time.Time
}

// Cancel tells an engine to drop a stream that is not needed any more. Attempt is the fencing
// token: the engine ignores the Cancel if a higher attempt has taken over the stream.
type Cancel struct {
	Attempt int
	Stream  Stream
}

// Finish ends the generation: the journal holds the complete answer.
type Finish struct{ Reason string }

// Fail ends the generation without a complete answer.
type Fail struct {
	Code Code
	// ValidTokens is the number of correct tokens that the caller holds; 0 if it was not sent any
	// before the end of the answer.
	ValidTokens int
	// RetryAfter is the time after which a retry may help; 0 when it will not.
	RetryAfter time.Duration
	// MayHaveRun tells that an engine may have done work for the request.
	MayHaveRun bool
	Detail     string
}

func (Start) action()  {}
func (Resume) action() {}
func (Probe) action()  {}
func (Assess) action() {}
func (Cancel) action() {}
func (Finish) action() {}
func (Fail) action()   {}

// Stream identifies a stream of an engine.
type Stream struct {
	Endpoint string
	ID       string
}

// Code says why a generation failed.
type Code string

// Reasons for a failed generation.
const (
	CodeDeadline          Code = "deadline_exceeded"
	CodeNoEndpoint        Code = "no_endpoint"
	CodeSuperseded        Code = "superseded"
	CodeCannotContinue    Code = "cannot_continue"
	CodeInvalid           Code = "invalid_request"
	CodeAttemptsExhausted Code = "attempts_exhausted"
	CodeCanceled          Code = "canceled"
	CodeStopped           Code = "stopped"
)

// Failure classifies how an attempt ended.
type Failure int

// Kinds of failed attempts.
const (
	// Broken means that the connection was closed or reset.
	Broken Failure = iota
	// Refused means that the endpoint took no work or was unreachable: nothing ran.
	Refused
	// NoEndpoint means that the attempt was not sent, usually because routing found no eligible
	// endpoint.
	NoEndpoint
	// Mismatch means that the engine does not hold this token sequence or can't continue it.
	Mismatch
	// Fenced means that the engine has seen a higher attempt of this generation.
	Fenced
	// Invalid means that the engine rejects the request itself.
	Invalid
	// Gone means that the stream is lost and must not be probed, for instance because its endpoint
	// is dead or a timeout expired.
	Gone
	// Stopped means that the request crashes the engines that run it, and is not sent to any more
	// of them.
	Stopped
)

// Stats counts recovery events and their cost.
type Stats struct {
	Silences, Probes, ProbesAlive, ProbesDead          int
	ResumesSameStream, ResumesElsewhere, Restarts      int
	StaleTokens, RepeatedTokens, Gaps, FalseSuspicions int
	// Leaves counts the silent attempts that another engine was to replace, Keeps how often one was
	// kept, and OwnDelays how often this process was paused.
	Leaves, Keeps, OwnDelays int
	// PrefilledAgain counts prompt and prefix tokens that had to be prefilled again.
	PrefilledAgain int
	// DiscardedTokens counts accepted tokens that a restart from index 0 discarded.
	DiscardedTokens int
}
