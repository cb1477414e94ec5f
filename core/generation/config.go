package generation

import "time"

// Policy says how a suspected attempt is replaced.
type Policy string

// Policies. Restart and NoProbe are baselines for measurements.
const (
	// Latency starts the next attempt while the probe is out.
	Latency Policy = "latency"
	// Frugal waits for the probe before it starts another attempt.
	Frugal Policy = "frugal"
	// Restart generates again from zero and drops what the caller already has.
	Restart Policy = "restart"
	// Move takes silence for death without a probe once an attempt has brought a token: for engines at which a stream
	// can't be attached to again, but that keep a copy elsewhere, so that going on there costs next to nothing. An
	// attempt without a token yet is probed.
	Move Policy = "move"
	// NoProbe takes silence for death, after SilenceCeiling.
	NoProbe Policy = "no-probe"
)

// Config holds the settings of recovery. The zero value is not usable; see
// [DefaultConfig].
type Config struct {
	Policy Policy
	// SilenceFactor times the observed gap between tokens is silence; under the policy Move it is movedGaps times that.
	SilenceFactor float64
	// SilenceFloor and SilenceCeiling bound the silence threshold.
	SilenceFloor, SilenceCeiling time.Duration
	// FirstTokenSilence is the threshold before the first token, when no gap is known.
	FirstTokenSilence time.Duration
	// ProbeTimeout is how long an engine may take to answer a probe.
	ProbeTimeout time.Duration
	// AckTimeout is how long an engine may take to acknowledge a stream.
	AckTimeout time.Duration
	// WaitForEndpoint bounds how long a generation waits when no endpoint is eligible.
	WaitForEndpoint time.Duration
	// MaxAttempts bounds the attempts of one generation that may have run.
	MaxAttempts int
	// Unverified tells that engines give numbered events without a hash of what came before, and
	// continue after a number: what they acknowledge can't be checked, and a stream can't be attached
	// to again on another connection.
	Unverified bool
}

// DefaultConfig returns the settings whose measurement stands in docs/RECOVERY.md.
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

// Origin says where a generation begins: new, or taken over from a gateway that
// is gone.
type Origin struct {
	// Attempt is the highest attempt known to have been used; 0 for a new request.
	Attempt int
	// Stream is the stream to take over; empty for none.
	Stream Stream
	// Have is how many tokens the caller already holds, and Hash their rolling hash.
	// They are generated or replayed again, checked and not relayed.
	Have int
	Hash uint64
	// Prefix are those tokens themselves, where the caller sent them along: then nothing
	// has to be generated or replayed again. Their number and hash must be Have and Hash.
	Prefix []string
}
