package generation

import "time"

// Action is something the caller of the machine has to carry out: one of
// [Start], [Resume], [Probe], [Cancel], [Finish] and [Fail].
type Action interface{ action() }

// Start asks for a new stream on an engine chosen by routing.
type Start struct {
	Attempt int
	// Avoid names endpoints that failed this generation.
	Avoid []string
	// From is the index at which the stream has to begin: the journal's length
	// when the journal goes along as forced prefix, else 0.
	From int
	// Recovery tells that work was already done, so that it goes before new work.
	Recovery bool
}

// Resume asks for the same stream again, on a new connection.
type Resume struct {
	Attempt int
	Stream  Stream
	From    int
}

// Probe asks the engine, on a new connection, for the state of a stream.
type Probe struct {
	Attempt int
	Stream  Stream
}

// Cancel tells an engine to drop a stream that is not needed any more. Attempt
// is the fencing number: an engine ignores it when a higher attempt took over.
type Cancel struct {
	Attempt int
	Stream  Stream
}

// Finish ends the generation: the journal holds the complete answer.
type Finish struct{ Reason string }

// Fail ends the generation without a complete answer.
type Fail struct {
	Code Code
	// Valid is the number of tokens the caller holds that are correct.
	Valid int
	// RetryAfter is when asking again may help; 0 when it will not.
	RetryAfter time.Duration
	// Started tells that an engine may have done work for the request.
	Started bool
	Detail  string
}

func (Start) action()  {}
func (Resume) action() {}
func (Probe) action()  {}
func (Cancel) action() {}
func (Finish) action() {}
func (Fail) action()   {}

// Stream names an engine's stream.
type Stream struct {
	Endpoint string
	ID       string
}

// Code says why a generation failed.
type Code string

// Reasons for the end of a generation without a complete answer.
const (
	CodeDeadline   Code = "deadline_exceeded"
	CodeNoEndpoint Code = "no_endpoint"
	CodeSuperseded Code = "superseded"
	CodeCannotGoOn Code = "cannot_continue"
	CodeInvalid    Code = "invalid_request"
	CodeAttempts   Code = "attempts_exhausted"
	CodeCanceled   Code = "canceled"
	CodeStopped    Code = "stopped"
)

// Failure classifies how an attempt ended.
type Failure int

// Ways in which an attempt fails.
const (
	// Broken: the connection ended or was reset.
	Broken Failure = iota
	// Refused: the endpoint took no work, or could not be reached; nothing ran.
	Refused
	// NoEndpoint: routing found no eligible endpoint.
	NoEndpoint
	// Mismatch: the engine does not hold or can't continue this sequence.
	Mismatch
	// Fenced: the engine has seen a higher attempt of this generation.
	Fenced
	// Invalid: the engine says that the request itself is wrong.
	Invalid
	// Gone: the platform or the engine says that the endpoint is dead.
	Gone
	// Stopped: the request ends the engines that run it, and is not sent to any more of them.
	Stopped
)

// Stats counts what recovery did, and what it cost.
type Stats struct {
	Silences, Probes, ProbesAlive, ProbesDead        int
	ResumesSame, ResumesElsewhere, Restarts          int
	StaleTokens, RepeatedTokens, Gaps, FalseSuspects int
	// PrefilledAgain counts tokens that an engine had to prefill a second time.
	PrefilledAgain int
	// ThrownAway counts accepted tokens that a restart dropped.
	ThrownAway int
}
