// Package engine simulates a model engine for tests, benchmarks and demos. It has continuous
// batching with a slot limit, priorities, a prefix cache of limited size and orders with fencing
// numbers. Streams can be resumed, continued from a forced prefix, probed and cancelled. The status
// lags, and cache events come late and with gaps. An admin call injects faults. The generated text
// is a function of the request, so that a test can compute the expected answer.
package engine

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/agateway/agateway/cli/standin/serve"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/platform"
)

// Config describes an engine.
type Config struct {
	ID, Address, DataCentre, Service string
	Slots                            int
	// Interval is the time between two steps of the batch. A step generates one token for each
	// running stream.
	Interval time.Duration
	// PrefillRate is the prefill speed of each stream, in tokens per second.
	PrefillRate float64
	// CacheBlocks is the capacity of the prefix cache, in blocks of tokensPerBlock tokens.
	CacheBlocks int
	// Lag is the interval between updates of the reported load, and the delay of cache events.
	Lag time.Duration
	// EventLoss is the share of cache events that are lost, 0 to 1.
	EventLoss float64
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is how long an order to load models takes.
	LoadTime time.Duration
	// Salt makes the text differ from attempt to attempt when it is not 0, as random sampling does.
	Salt   uint64
	Models []endpoint.LoadedModel
	Seed   uint64
	// Exit is called when a fault ends the engine; it may be nil.
	Exit func()
	// Platform is where the engine registers; nil for no registration.
	Platform platform.Client
	Network  network.Network
}

// Stats are totals since the start. Generated, Prefilled, PrefilledAgain, Cached and Discarded are
// in tokens. They measure the extra work that faults cause.
type Stats struct {
	Generated int64 `json:"generated"`
	Prefilled int64 `json:"prefilled"`
	// PrefilledAgain is the part of Prefilled that belongs to attempts after the first.
	PrefilledAgain int64 `json:"prefilled_again"`
	Cached         int64 `json:"cached"`
	// Cancelled counts streams.
	Cancelled int64 `json:"cancelled"`
	// Discarded is the number of tokens generated for streams that were cancelled.
	Discarded int64 `json:"thrown_away"`
	Streams   int64 `json:"streams"`
	Orders    int64 `json:"orders"`
	// StaleOrders counts orders with an old fencing number.
	StaleOrders int64 `json:"old_orders"`
}

// Engine is a running simulated engine.
type Engine struct {
	cfg  Config
	boot string
	gate serve.Gate
	*serve.Server

	mu           sync.Mutex
	fault        Fault
	streams      map[string]*stream
	running      []*stream
	queue        []*stream
	streamCount  int
	cache        *prefixCache
	stats        Stats
	reportedLoad endpoint.Status // as last reported, up to Config.Lag old
	reportedAt   time.Time
	lastFence    uint64 // fencing number of the last order that was accepted
	models       []endpoint.LoadedModel
	role         string
	rnd          *rand.Rand
}

// stream is one generation at the engine.
type stream struct {
	id            string
	request       endpoint.StartRequest
	hash          uint64 // of the request, see RequestHash
	attempt       int    // highest seen; connections of lower attempts are fenced
	tokens        []string
	rollingHash   uint64 // of tokens
	cachedTokens  int
	prefillTokens int // not cached
	prefillDoneAt time.Time
	started       bool
	done          bool
	cancelled     bool
	endedAt       time.Time
	changed       chan struct{}
	connections   int // opened so far; a connection's number is the count at its opening
	silencedUpTo  int // connections up to this number are silent
}

// prefixHash returns the rolling hash of the first n tokens.
func (s *stream) prefixHash(n int) uint64 {
	return generation.HashTokens(s.tokens[:n])
}

// replayWindow is how long a finished stream can be resumed.
const replayWindow = 30 * time.Second

// Start runs an engine until it is closed. It fails if the address can't be listened on.
func Start(cfg Config) (*Engine, error) {
	e := &Engine{
		cfg: cfg, boot: uuid.NewString(), streams: map[string]*stream{}, models: cfg.Models,
		cache: newPrefixCache(cfg.CacheBlocks), rnd: rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	s, err := serve.Start(cfg.Network, cfg.Address, e.routes())
	if err != nil {
		return nil, err
	}
	e.Server = s
	go e.runBatch()
	go serve.Register(s.Context(), cfg.Platform, e.registration)
	return e, nil
}

// registration returns the engine's entry in the platform's list. It blocks while the engine is
// frozen.
func (e *Engine) registration() platform.Listed {
	e.gate.Wait(e.Context())
	e.mu.Lock()
	defer e.mu.Unlock()
	return platform.Listed{
		ID: e.cfg.ID, Role: platform.RoleEngine, Address: e.Addr, DataCentre: e.cfg.DataCentre,
		Service: e.cfg.Service, Leaving: e.fault.ListedLeaving, ChecksFencing: e.cfg.ChecksFencing,
	}
}

// Stats returns the totals.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Generations returns the IDs of the generations whose streams run or are queued.
func (e *Engine) Generations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, list := range [][]*stream{e.running, e.queue} {
		for _, s := range list {
			if !s.cancelled && !s.done {
				out = append(out, s.request.Generation)
			}
		}
	}
	return out
}

// OpenStreams returns the number of streams that run or are queued.
func (e *Engine) OpenStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.queue)
}

// runBatch runs a step at each interval until the engine is closed.
func (e *Engine) runBatch() {
	tick := time.NewTicker(e.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-e.Context().Done():
			return
		case now := <-tick.C:
			e.gate.Wait(e.Context())
			e.step(now)
		}
	}
}

// step runs one step of the batch.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitQueued(now)
	kept := e.running[:0]
	for _, s := range e.running {
		if e.advance(now, s) {
			kept = append(kept, s)
		}
	}
	e.running = kept
	e.updateReportedLoad(now)
	e.dropExpired(now)
}

// admitQueued moves queued streams into free slots, lowest priority number first, and starts their
// prefill. The lock is held.
func (e *Engine) admitQueued(now time.Time) {
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].request.Priority < e.queue[j].request.Priority })
	for len(e.queue) > 0 && len(e.running) < e.cfg.Slots {
		s := e.queue[0]
		e.queue = e.queue[1:]
		if s.cancelled {
			continue
		}
		s.started = true
		s.prefillDoneAt = now.Add(time.Duration(float64(s.prefillTokens) / e.cfg.PrefillRate * float64(time.Second)))
		e.stats.Prefilled += int64(s.prefillTokens)
		if s.request.Attempt > 1 {
			e.stats.PrefilledAgain += int64(s.prefillTokens)
		}
		e.running = append(e.running, s)
	}
}

// advance generates one token once the prefill is done, and reports whether the stream keeps its
// slot. The lock is held.
func (e *Engine) advance(now time.Time, s *stream) bool {
	if s.cancelled || s.done {
		return false
	}
	if now.Before(s.prefillDoneAt) {
		return true
	}
	if e.dieAtPrompt(s) {
		return false
	}
	if len(s.tokens) < s.request.MaxTokens {
		salt := e.cfg.Salt
		if salt != 0 {
			salt = 1 + e.rnd.Uint64N(1<<16)
		}
		t := Token(s.hash, s.rollingHash, salt)
		s.tokens = append(s.tokens, t)
		s.rollingHash = generation.ExtendHash(s.rollingHash, []byte(t))
		e.stats.Generated++
	}
	if len(s.tokens) >= s.request.MaxTokens {
		s.done, s.endedAt = true, now
		e.cachePrompt(now, s)
	}
	s.notify()
	e.dieAtToken(len(s.tokens))
	return !s.done
}

// notify wakes the connections that wait for a change of the stream. The lock is held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropExpired removes streams that ended longer than replayWindow ago. The lock is held.
func (e *Engine) dropExpired(now time.Time) {
	for id, s := range e.streams {
		if (s.done || s.cancelled) && now.Sub(s.endedAt) > replayWindow {
			delete(e.streams, id)
		}
	}
}

// openStream queues a new stream for a request. A request without a version gets the loaded one.
func (e *Engine) openStream(r *endpoint.StartRequest) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamCount++
	e.stats.Streams++
	if r.Version == "" {
		r.Version = e.loadedVersion(r.Model)
	}
	s := &stream{
		id: e.cfg.ID + "-" + e.boot[:8] + "-" + strconv.Itoa(e.streamCount), request: *r,
		hash: RequestHash(r), attempt: r.Attempt, changed: make(chan struct{}), connections: 1,
	}
	for _, t := range r.Prefix {
		s.tokens = append(s.tokens, t)
		s.rollingHash = generation.ExtendHash(s.rollingHash, []byte(t))
	}
	total := endpoint.PromptTokens(r.Prompt) + len(r.Prefix)
	s.cachedTokens = min(e.cache.lookup(endpoint.PrefixHashes(r.Model, r.Prompt)), total)
	s.prefillTokens = total - s.cachedTokens
	e.stats.Cached += int64(s.cachedTokens)
	e.streams[s.id] = s
	e.queue = append(e.queue, s)
	return s
}

// loadedVersion returns the loaded version of a model, empty if none is loaded. The lock is held.
func (e *Engine) loadedVersion(name string) string {
	for _, m := range e.models {
		if m.Name == name {
			return m.Version
		}
	}
	return ""
}

// cancel cancels a stream and reports whether it did. It leaves a stream alone that has ended or
// that a higher attempt has taken over.
func (e *Engine) cancel(id string, attempt int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil || s.cancelled || s.done || attempt < s.attempt {
		return false
	}
	s.cancelled, s.endedAt = true, time.Now()
	e.stats.Cancelled++
	e.stats.Discarded += int64(len(s.tokens) - len(s.request.Prefix))
	s.notify()
	return true
}

// updateReportedLoad updates the reported load once it is Config.Lag old. The lock is held.
func (e *Engine) updateReportedLoad(now time.Time) {
	if now.Sub(e.reportedAt) < e.cfg.Lag {
		return
	}
	e.reportedLoad.Running, e.reportedLoad.Queued = len(e.running), len(e.queue)
	e.reportedAt = now
}

// cachePrompt adds the prompt of a finished stream to the prefix cache. The lock is held.
func (e *Engine) cachePrompt(now time.Time, s *stream) {
	e.cache.store(now.Add(e.cfg.Lag), endpoint.PrefixHashes(s.request.Model, s.request.Prompt), func() bool {
		return e.rnd.Float64() < e.cfg.EventLoss
	})
}

// Role returns the role that the last order with a role gave; empty before.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Models returns the loaded models.
func (e *Engine) Models() []endpoint.LoadedModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models
}
