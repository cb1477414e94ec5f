package fairqueue

import "time"

// Request is a request that waits for an engine.
type Request struct {
	// ID is unique within the instance's process.
	ID uint64
	// Level is 0 for the most urgent requests. Values outside of 0 to maxLevel count as the nearest of these.
	Level int
	Team  string
	// Tokens is the work that it costs an engine.
	Tokens int
	// Prompt identifies the prompt. A request with the prompt of a refused one goes before new ones of its team
	// and level. 0 identifies none.
	Prompt uint64
	// Since is when its caller made the first attempt.
	Since time.Time
	// Latest is until when a start is on time.
	Latest time.Time
}

// Report says which requests of an instance wait, and what became of those that no longer do. It renews the requests in
// Waiting and Renewed; others that were reported before stay until they are placed, leave or expire.
type Report struct {
	Instance string
	// Process is drawn when the instance starts.
	Process uint64
	// Sequence rises with each report of a process.
	Sequence uint64
	Waiting  []Request
	// Renewed are further waiting requests, which were in Waiting before. The queue returns those that it does not hold
	// in [State.Unknown].
	Renewed []uint64
	// Placed and Left are the requests that were placed, and that stopped waiting for another reason. They may be
	// repeated in later reports.
	Placed, Left []uint64
}

// Refusal is a request that is not expected to start on time.
type Refusal struct {
	ID uint64
	// RetryIn is when its caller may come back.
	RetryIn time.Duration
	// Expected is the wait that was expected for it; 0 if none was known.
	Expected time.Duration
	// Position is its position in the order, 1 for the first.
	Position int
	Level    int
	Team     string
}

// State is what an instance has to know about its requests.
type State struct {
	// Turns are the requests that may look for room, in their order.
	Turns []uint64
	// Refused are the requests refused since the last call.
	Refused []Refusal
	// Unknown are the requests that were renewed since the last call and that the queue does not hold.
	Unknown []uint64
	// Expected is the longest expected wait of the instance's requests without a turn; 0 if it is not known.
	Expected time.Duration
}

// Settings are the constants of a Queue.
type Settings struct {
	// TTL is how long a request counts without renewal.
	TTL time.Duration
	// RateWindow is the time over which placements are counted.
	RateWindow time.Duration
	// MinTurns is the smallest number of turns. Otherwise there is one for each EnginesPerTurn engines.
	MinTurns, EnginesPerTurn int
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{TTL: 500 * time.Millisecond, RateWindow: 2 * time.Second, MinTurns: 4, EnginesPerTurn: 6}
}

// TeamUse is what a team has used and waits for. A team that waits at several levels has one for each.
type TeamUse struct {
	Team string
	// Level is the level of the Waiting requests; -1 for a team that does not wait.
	Level   int
	Waiting int
	// Tokens is the work of its requests that were placed since the queue knows the team.
	Tokens float64
}
