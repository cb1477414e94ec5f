package generation

import "time"

// Policy selects how a suspected attempt is replaced.
type Policy string

// Recovery policies. Restart and NoProbe are baselines for measurements.
const (
	// Latency starts the next attempt while the probe is pending.
	Latency Policy = "latency"
	// Frugal waits for the result of the probe before it starts another attempt.
	Frugal Policy = "frugal"
	// Restart generates again from index 0, does not relay the tokens that the caller already has,
	// and never probes.
	Restart Policy = "restart"
	// Move continues a silent attempt on another engine. It is meant for engines whose streams can't
	// be reattached but have a copy on another engine, so that moving costs next to nothing. With
	// KeepSilent the attempt is kept until another engine is known to be better; without it, an
	// attempt that has delivered a token is replaced at once, and one without a token is probed.
	Move Policy = "move"
	// NoProbe replaces an attempt without a probe after a silence of SilenceCeiling.
	NoProbe Policy = "no-probe"
)

// Config holds the recovery settings. The zero value is not usable; see [DefaultConfig].
type Config struct {
	Policy Policy
	// SilenceFactor times the smoothed gap between tokens is the silence threshold. The policy Move
	// uses moveGapFactor instead.
	SilenceFactor float64
	// SilenceFloor and SilenceCeiling bound the silence threshold. The policy Move has no ceiling.
	// Repeated silences and resumes double the bounded value.
	SilenceFloor, SilenceCeiling time.Duration
	// FirstTokenSilence is the threshold while no gap between tokens is known, and under the policy
	// Move until the first token of each attempt.
	FirstTokenSilence time.Duration
	// ProbeTimeout is how long an engine may take to answer a probe.
	ProbeTimeout time.Duration
	// AckTimeout is how long an engine may take to acknowledge a stream.
	AckTimeout time.Duration
	// WaitForEndpoint bounds how long a generation waits while no endpoint is eligible.
	WaitForEndpoint time.Duration
	// MaxAttempts bounds the attempts of one generation that may have run. Refused attempts and those
	// for which routing found no endpoint are not counted.
	MaxAttempts int
	// KeepSilent tells, under the policy Move, that silence alone never ends an attempt. A generation
	// whose tokens reach the caller then also waits for an endpoint until its deadline.
	KeepSilent bool
	// OwnDelay is the delay of [Machine.Tick] from which this process counts as having been paused,
	// so that its engines are not taken to be silent. 0 to ignore delays.
	OwnDelay time.Duration
	// Unverified tells that engines number their events without a hash of the preceding ones, and
	// continue after a given number. Their acknowledgements can't be checked, and a stream can't be
	// reattached on another connection.
	Unverified bool
}

// DefaultConfig returns the settings that docs/RECOVERY.md reports measurements for.
func DefaultConfig(p Policy) Config {
	return Config{
		Policy:            p,
		SilenceFactor:     5,
		SilenceFloor:      200 * time.Millisecond,
		SilenceCeiling:    2 * time.Second,
		FirstTokenSilence: 500 * time.Millisecond,
		ProbeTimeout:      200 * time.Millisecond,
		AckTimeout:        400 * time.Millisecond,
		WaitForEndpoint:   3 * time.Second,
		MaxAttempts:       12,
	}
}

// Origin says where a generation begins: as a new request, or taken over from an instance that is
// gone.
type Origin struct {
	// Attempt is the highest attempt number known to have been used; 0 for a new request.
	Attempt int
	// Stream is the stream to take over; empty for none.
	Stream Stream
	// Delivered is how many tokens the caller already holds, and DeliveredHash their rolling hash.
	// They are generated or replayed again, checked and not relayed.
	Delivered     int
	DeliveredHash uint64
	// Prefix holds those tokens themselves if the caller sent them along; then nothing has to be
	// generated or replayed again. Their number and hash must be Delivered and DeliveredHash.
	Prefix []string
}
