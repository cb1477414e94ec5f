package route

import "time"

// Repeat says what may be done again when the outcome of a request is unknown.
type Repeat int

// Kinds of repetition.
const (
	// Once: a request may run at most once.
	Once Repeat = iota
	// Idempotent: a request may run again.
	Idempotent
	// Resumable: the answer is a stream of numbered events that can be continued elsewhere.
	Resumable
)

// Configuration is one version of what operators have set.
type Configuration struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route leads requests of a host and path prefix to services.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Targets []Target
	Repeat  Repeat
	// Stream tells that the answer is a stream of events.
	Stream bool
	// Timeout is the longest a caller may be kept waiting; 0 for no bound.
	Timeout time.Duration
	// Aim is the time within which an answer (of a stream: its first event) is on time.
	Aim time.Duration
	// Pause is the longest time between two events of a stream that is on time; 0 for no bound.
	Pause time.Duration
	// Attempts is the most endpoints on which one request may run.
	Attempts int
	// Rank orders requests under load; 0 is first.
	Rank int
	// Public routes need no key.
	Public bool
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// HealthPath answers whether an endpoint thinks it is healthy.
	HealthPath string
	// Connections is how many connections an endpoint takes from all callers together.
	Connections int
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// Memory is what running requests and cached prompts share, in tokens.
	Memory int
	// Copies tells that an engine can keep a copy of a running request's memory at another one
	// current by itself, Asked that it copies when it is asked to.
	Copies, Asked bool
	// CopyKept is how long such a copy is kept after its last part arrived.
	CopyKept time.Duration
}

// Team is a customer's group that shares keys.
type Team struct {
	Name string
	Keys []string
	// Rank goes before the route's rank where HasRank is set.
	Rank    int
	HasRank bool
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request; 0 for no bound.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time a caller may take to send the header, IdleTimeout
	// the time a connection may stay open between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}
