// Package settings reads the daemon's settings from an INI file. Each key has a type, a default, a
// unit and a check, given by struct tags. Errors name section and key, and all errors of a file are
// reported together. Unknown sections and keys are errors, so that a misspelled key is not silently
// ignored.
//
// [Settings] are the settings of the daemon that serves generations. [Front] are those of an
// instance that forwards requests on a platform.
package settings

import (
	"time"
)

// Settings holds all settings of the daemon.
type Settings struct {
	Instance  Instance  `ini:"instance"`
	Process   Process   `ini:"process"`
	Platform  Platform  `ini:"platform"`
	Keys      Keys      `ini:"keys"`
	Callers   Callers   `ini:"callers"`
	Endpoints Endpoints `ini:"endpoints"`
	Recovery  Recovery  `ini:"recovery"`
	Peers     Peers     `ini:"peers"`
	Tickets   Tickets   `ini:"tickets"`
	Logs      Logs      `ini:"logs"`
	Traces    Traces    `ini:"traces"`
}

// Instance names this process, its location and its addresses.
type Instance struct {
	ID         string `ini:"id" required:"yes" doc:"name of this instance, unique in the fleet"`
	DataCentre string `ini:"data_centre" required:"yes" doc:"data centre this instance runs in"`
	Callers    string `ini:"callers" default:"127.0.0.1:8080" check:"address" doc:"address for callers and operators; port 0 takes a free one"`
	Peers      string `ini:"peers" default:"127.0.0.1:8081" check:"address" doc:"address for other instances; port 0 takes a free one"`
	Register   bool   `ini:"register" default:"true" doc:"name this instance in the platform's list; off where the platform lists its instances itself"`
}

// Process holds the limits of the process.
type Process struct {
	Memory      int `ini:"memory_mb" default:"256" min:"32" doc:"memory that the process may use, in MB; about a third of it is for requests and connections"`
	Descriptors int `ini:"descriptors" default:"0" min:"0" doc:"descriptors that the process may have open; 0 for the limit that the system sets"`
}

// Platform says how the platform's object API is reached.
type Platform struct {
	URL      string        `ini:"url" required:"yes" check:"url" doc:"base URL of the platform's object API"`
	Timeout  time.Duration `ini:"timeout" default:"2s" min:"10ms" doc:"time one call may take"`
	Watch    time.Duration `ini:"watch" default:"20s" min:"100ms" doc:"how long one watch waits for a change"`
	List     time.Duration `ini:"list" default:"1s" min:"50ms" doc:"time between reads of the platform's list of instances"`
	Watchers int           `ini:"watchers" default:"2" min:"1" doc:"instances per data centre that watch the configuration; the others follow their peers"`
}

// Keys holds the secrets that this instance shares with the fleet.
type Keys struct {
	Cursor   string `ini:"cursor" required:"yes" check:"secret" secret:"yes" doc:"signs cursors and tickets; the same on every instance, at least 16 characters"`
	Peer     string `ini:"peer" required:"yes" check:"secret" secret:"yes" doc:"instances show it to each other; at least 16 characters"`
	Operator string `ini:"operator_sha256" required:"yes" check:"sha256" doc:"SHA-256 of the operators' key, in hexadecimal"`
}

// Callers holds the limits on callers and the times of a shutdown.
type Callers struct {
	HeaderLimit   int           `ini:"header_limit" default:"65536" min:"4096" doc:"largest header of a request, in bytes"`
	BodyLimit     int           `ini:"body_limit" default:"1048576" min:"1" doc:"largest request body, in bytes"`
	ReadTimeout   time.Duration `ini:"read_timeout" default:"1m" min:"1s" doc:"time a caller may take to send the body of a request"`
	DeadlineMost  time.Duration `ini:"deadline_most" default:"15m" min:"1s" doc:"longest deadline a caller may ask for"`
	Keepalive     time.Duration `ini:"keepalive" default:"1s" min:"20ms" doc:"a comment goes out on a stream that was idle this long"`
	WriteTimeout  time.Duration `ini:"write_timeout" default:"10s" min:"100ms" doc:"time a caller may take to read what was sent"`
	Grace         time.Duration `ini:"grace" default:"5s" min:"0s" doc:"how long a stream goes on after its caller went away"`
	EntryKeep     time.Duration `ini:"entry_keep" default:"5s" min:"1s" doc:"how long callers may keep an answer of /v1/entry"`
	Drain         time.Duration `ini:"drain" default:"10m" min:"1s" doc:"longest time a graceful shutdown waits for requests in progress"`
	DrainAnnounce time.Duration `ini:"drain_announce" default:"2s" min:"0s" doc:"how long a leaving instance still takes requests, while callers learn of it"`
}

// Endpoints says how endpoints are polled and reached, and bounds retries.
type Endpoints struct {
	Poll           time.Duration `ini:"poll" default:"500ms" min:"20ms" doc:"time between two reads of an endpoint's status"`
	StatusTimeout  time.Duration `ini:"status_timeout" default:"500ms" min:"10ms" doc:"time a status read may take"`
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"250ms" min:"5ms" doc:"time a connection may take"`
	Subset         int           `ini:"subset" default:"0" min:"0" doc:"endpoints per service that this instance uses; 0 for all"`
	QueueFactor    float64       `ini:"queue_factor" default:"1.25" min:"0.1" doc:"new work goes to an endpoint up to this times its slots"`
	RetryShare     float64       `ini:"retry_share" default:"0.2" min:"0" doc:"retries allowed per request, after a reserve"`
	RetryReserve   float64       `ini:"retry_reserve" default:"50" min:"0" doc:"retries allowed at once"`
}

// Recovery holds the defaults for deployments that set no recovery policy of their own.
type Recovery struct {
	Policy            string        `ini:"policy" default:"latency" check:"policy" doc:"latency or frugal, for deployments that name none (restart and no-probe are baselines for measurements)"`
	SilenceFactor     float64       `ini:"silence_factor" default:"5" min:"1" doc:"silence is this times the observed gap between tokens"`
	SilenceFloor      time.Duration `ini:"silence_floor" default:"200ms" min:"1ms" doc:"least silence"`
	SilenceCeiling    time.Duration `ini:"silence_ceiling" default:"2s" min:"1ms" doc:"most silence"`
	FirstTokenSilence time.Duration `ini:"first_token_silence" default:"500ms" min:"1ms" doc:"silence before the first token"`
	ProbeTimeout      time.Duration `ini:"probe_timeout" default:"200ms" min:"1ms" doc:"time an engine may take to answer a probe"`
	AckTimeout        time.Duration `ini:"ack_timeout" default:"400ms" min:"1ms" doc:"time an engine may take to acknowledge a stream"`
	Wait              time.Duration `ini:"wait" default:"3s" min:"0s" doc:"how long a request waits when no endpoint is eligible"`
	MaxAttempts       int           `ini:"max_attempts" default:"12" min:"1" doc:"most attempts of one generation"`
}

// Peers holds the times of heartbeats between instances and of entries in the directory of
// generations.
type Peers struct {
	Interval  time.Duration `ini:"interval" default:"500ms" min:"10ms" doc:"time between two heartbeats"`
	Timeout   time.Duration `ini:"timeout" default:"300ms" min:"5ms" doc:"time a heartbeat may take"`
	Seeds     []string      `ini:"seeds" doc:"peer addresses to try at start, besides the platform's list"`
	Directory time.Duration `ini:"directory_after" default:"1s" min:"0s" doc:"a generation without a key is entered in the directory after this time"`
}

// Tickets bounds the memory for the outcomes of calls that run at most once.
type Tickets struct {
	TTL      time.Duration `ini:"ttl" default:"10m" min:"1s" doc:"how long a ticket is valid and its outcome kept"`
	Entries  int           `ini:"entries" default:"100000" min:"1" doc:"outcomes kept; beyond it new calls are refused as not run"`
	Bytes    int           `ini:"bytes" default:"16777216" min:"1" doc:"bytes of outcomes kept"`
	ClaimTTL time.Duration `ini:"claim_ttl" default:"24h" min:"1m" doc:"how long a caller's own key is remembered in the platform"`
	BodyKept int           `ini:"body_kept" default:"65536" min:"0" doc:"largest response body that is kept, in bytes"`
}

// Logs holds the settings of the log.
type Logs struct {
	Level  string `ini:"level" default:"info" check:"level" doc:"debug, info, warning or error"`
	Format string `ini:"format" default:"text" check:"format" doc:"text or json"`
}

// Traces says where spans are exported to.
type Traces struct {
	Exporter string  `ini:"exporter" default:"none" check:"exporter" doc:"none or otlp"`
	Endpoint string  `ini:"endpoint" doc:"URL of an OTLP/HTTP collector, for the exporter otlp"`
	Sample   float64 `ini:"sample" default:"0.01" min:"0" doc:"share of requests traced, unless the caller's traceparent says so"`
}
