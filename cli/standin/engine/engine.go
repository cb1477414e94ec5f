// Package engine is a stand-in for a model engine: continuous batching with a slot limit,
// a prefix cache with limited memory, priorities, streams that can be resumed, continued
// from a forced prefix, probed and cancelled, status that lags, cache events that come late
// and with gaps, orders with fencing, and faults by an admin call. Its text is made from the
// request, so that a test knows the right answer.
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

// Config describes a stand-in.
type Config struct {
	ID, Address, DataCentre, Service string
	Slots                            int
	// Interval is the time of one step of the batch: one token for each running stream.
	Interval time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// Lag is the age of load figures and cache events.
	Lag time.Duration
	// Gaps is the share of cache events that are lost.
	Gaps          float64
	ChecksFencing bool
	// LoadTime is how long a model takes to load.
	LoadTime time.Duration
	// Salt makes the text differ from other engines.
	Salt   uint64
	Models []endpoint.LoadedModel
	Seed   uint64
	// Exit is called by the fault "die".
	Exit func()
	// Platform takes the registration; nil for none.
	Platform platform.Client
	Network  network.Network
}

// Stats are totals, for the measure of extra work.
type Stats struct {
	Generated int64 `json:"generated"`
	Prefilled int64 `json:"prefilled"`
	// PrefilledAgain is the part of Prefilled that was for attempts after the first.
	PrefilledAgain int64 `json:"prefilled_again"`
	Cached         int64 `json:"cached"`
	Cancelled      int64 `json:"cancelled"`
	ThrownAway     int64 `json:"thrown_away"`
	Streams        int64 `json:"streams"`
	Orders         int64 `json:"orders"`
	OldOrders      int64 `json:"old_orders"`
}

// Engine is a running stand-in.
type Engine struct {
	cfg  Config
	boot string
	gate serve.Gate
	*serve.Server

	mu      sync.Mutex
	fault   Fault
	streams map[string]*stream
	running []*stream
	queue   []*stream
	next    int
	cache   *prefixCache
	stats   Stats
	load    endpoint.Status // as reported
	loadAt  time.Time
	fence   uint64
	models  []endpoint.LoadedModel
	role    string
	rnd     *rand.Rand
}

// stream is one generation at the engine.
type stream struct {
	id       string
	request  endpoint.StartRequest
	hash     uint64 // of the request
	attempt  int    // highest seen
	tokens   []string
	rolling  uint64
	cached   int
	prefill  int // tokens to prefill
	readyAt  time.Time
	started  bool
	done     bool
	gone     bool
	ended    time.Time
	changed  chan struct{}
	openings int // connections so far; older ones are fenced
	mutedTo  int // connections up to this one are silent
}

// hashAt returns the rolling hash of the first n tokens.
func (s *stream) hashAt(n int) uint64 {
	return generation.HashTokens(s.tokens[:n])
}

// keepDone is how long a finished stream can be replayed.
const keepDone = 30 * time.Second

// Start runs an engine.
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
	go e.loop()
	go serve.Register(s.Context(), cfg.Platform, e.listed)
	return e, nil
}

func (e *Engine) listed() platform.Listed {
	e.gate.Pass(e.Context())
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

// Generations returns the generations whose streams run or wait.
func (e *Engine) Generations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, list := range [][]*stream{e.running, e.queue} {
		for _, s := range list {
			if !s.gone && !s.done {
				out = append(out, s.request.Generation)
			}
		}
	}
	return out
}

// Open returns the streams that run or wait.
func (e *Engine) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.queue)
}

func (e *Engine) loop() {
	tick := time.NewTicker(e.cfg.Interval)
	defer tick.Stop()
	for {
		select {
		case <-e.Context().Done():
			return
		case now := <-tick.C:
			e.gate.Pass(e.Context())
			e.step(now)
		}
	}
}

// step is one turn of the batch.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fill(now)
	kept := e.running[:0]
	for _, s := range e.running {
		if e.advance(now, s) {
			kept = append(kept, s)
		}
	}
	e.running = kept
	e.report(now)
	e.forget(now)
}

// fill takes waiting streams into free slots, lowest priority number first.
func (e *Engine) fill(now time.Time) {
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].request.Priority < e.queue[j].request.Priority })
	for len(e.queue) > 0 && len(e.running) < e.cfg.Slots {
		s := e.queue[0]
		e.queue = e.queue[1:]
		if s.gone {
			continue
		}
		s.started = true
		s.readyAt = now.Add(time.Duration(float64(s.prefill) / e.cfg.PrefillRate * float64(time.Second)))
		e.stats.Prefilled += int64(s.prefill)
		if s.request.Attempt > 1 {
			e.stats.PrefilledAgain += int64(s.prefill)
		}
		e.running = append(e.running, s)
	}
}

// advance makes one token, and tells whether the stream goes on.
func (e *Engine) advance(now time.Time, s *stream) bool {
	if s.gone || s.done {
		return false
	}
	if now.Before(s.readyAt) {
		return true
	}
	if e.endsAt(s) {
		return false
	}
	if len(s.tokens) < s.request.MaxTokens {
		salt := e.cfg.Salt
		if salt != 0 {
			salt = 1 + e.rnd.Uint64N(1<<16)
		}
		t := Token(s.hash, s.rolling, salt)
		s.tokens = append(s.tokens, t)
		s.rolling = generation.ExtendHash(s.rolling, []byte(t))
		e.stats.Generated++
	}
	if len(s.tokens) >= s.request.MaxTokens {
		s.done, s.ended = true, now
		e.cacheStore(now, s)
	}
	s.wake()
	e.dieAt(len(s.tokens))
	return !s.done
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) forget(now time.Time) {
	for id, s := range e.streams {
		if (s.done || s.gone) && now.Sub(s.ended) > keepDone {
			delete(e.streams, id)
		}
	}
}

// open makes a stream for a request.
func (e *Engine) open(r *endpoint.StartRequest) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next++
	e.stats.Streams++
	if r.Version == "" {
		r.Version = e.versionOf(r.Model)
	}
	s := &stream{
		id: e.cfg.ID + "-" + e.boot[:8] + "-" + strconv.Itoa(e.next), request: *r,
		hash: RequestHash(r), attempt: r.Attempt, changed: make(chan struct{}), openings: 1,
	}
	for _, t := range r.Prefix {
		s.tokens = append(s.tokens, t)
		s.rolling = generation.ExtendHash(s.rolling, []byte(t))
	}
	total := endpoint.PromptTokens(r.Prompt) + len(r.Prefix)
	s.cached = min(e.cache.lookup(endpoint.PrefixHashes(r.Model, r.Prompt)), total)
	s.prefill = total - s.cached
	e.stats.Cached += int64(s.cached)
	e.streams[s.id] = s
	e.queue = append(e.queue, s)
	return s
}

// versionOf returns the loaded version of a model. The lock is held.
func (e *Engine) versionOf(name string) string {
	for _, m := range e.models {
		if m.Name == name {
			return m.Version
		}
	}
	return ""
}

// cancel drops a stream unless a higher attempt took it over.
func (e *Engine) cancel(id string, attempt int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil || s.gone || s.done || attempt < s.attempt {
		return false
	}
	s.gone, s.ended = true, time.Now()
	e.stats.Cancelled++
	e.stats.ThrownAway += int64(len(s.tokens) - len(s.request.Prefix))
	s.wake()
	return true
}

// report brings the load figures up to date, late.
func (e *Engine) report(now time.Time) {
	if now.Sub(e.loadAt) < e.cfg.Lag {
		return
	}
	e.load.Running, e.load.Queued = len(e.running), len(e.queue)
	e.loadAt = now
}

func (e *Engine) cacheStore(now time.Time, s *stream) {
	e.cache.store(now.Add(e.cfg.Lag), endpoint.PrefixHashes(s.request.Model, s.request.Prompt), func() bool {
		return e.rnd.Float64() < e.cfg.Gaps
	})
}

// Role returns the engine's role.
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
