package route

import "time"

// RetryPolicy says how a request may be repeated when its outcome is unknown.
type RetryPolicy int

// Values of RetryPolicy.
const (
	// AtMostOnce means that a request may run at most once.
	AtMostOnce RetryPolicy = iota
	// Idempotent means that a request may run again.
	Idempotent
	// Resumable means that the answer is a stream of numbered events that another endpoint can
	// continue.
	Resumable
)

// Configuration is one version of the routes, services, teams and limits that operators have set.
type Configuration struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version  uint64
	Routes   []Route
	Services []Service
	// Teams are the teams whose keys are valid. Where there are any, requests of routes that are not public
	// need a key. KeysRequired says so for a configuration that may have no team left.
	Teams        []Team
	KeysRequired bool
	Limits       Limits
}

// requiresKey reports whether requests of routes that are not public need a key.
func (c *Configuration) requiresKey() bool { return c.KeysRequired || len(c.Teams) > 0 }

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix      string
	Targets     []Target
	RetryPolicy RetryPolicy
	// Stream is set when the answer is a stream of events.
	Stream bool
	// Timeout is the longest that a caller may be kept waiting; 0 for no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream, is on time.
	TargetLatency time.Duration
	// TargetGap is the longest time between two events of a stream that is on time; 0 for no bound.
	TargetGap time.Duration
	// MaxAttempts is the largest number of endpoints on which one request may run.
	MaxAttempts int
	// Priority orders requests under load; 0 goes first.
	Priority int
	// Public is set when requests need no key.
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
	// HealthPath is the path at which an endpoint reports whether it is healthy.
	HealthPath string
	// MaxConnections is how many connections an endpoint accepts from all callers together.
	MaxConnections int
	// Engine describes the service's model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// KVCapacityTokens is the engine memory that running requests and cached prompts share, in
	// tokens.
	KVCapacityTokens int
	// ContinuousCopies is set when an engine can keep a copy of a running request's memory at
	// another engine up to date by itself. CopiesOnRequest is set when it copies that memory when
	// asked to.
	ContinuousCopies, CopiesOnRequest bool
	// CopyTTL is how long such a copy is kept after its last part arrived.
	CopyTTL time.Duration
}

// Team is a customer's group that shares keys.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound the size of a request and the time that a caller may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound the header and the body of a request; 0 for no bound.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time that a caller may take to send the header. IdleTimeout bounds
	// the time that a connection may stay open between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}
