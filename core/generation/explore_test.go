package generation

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateway/agateway/core/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m)) }

// simulation runs a machine with engines and connections that do anything at any time. Each token
// is derived from the preceding sequence and a salt of its stream, so that a token of another
// sequence is detected.
type simulation struct {
	t          *rapid.T
	m          *Machine
	now        time.Time
	streams    map[string]*engineStream
	conns      map[int]*conn
	probes     []Probe
	relayed    []string
	hash       uint64
	endCount   int
	lastStream int
	total      int
}

type engineStream struct {
	endpoint string
	tokens   []string
	hash     uint64
	salt     int
	fence    int
}

type conn struct {
	attempt int
	stream  *engineStream
	id      string
	from    int
	pos     int
	acked   bool
	hash    uint64
}

func (s *engineStream) generateToken() {
	t := fmt.Sprintf("%x/%d;", s.hash, s.salt)
	s.tokens = append(s.tokens, t)
	s.hash = ExtendHash(s.hash, []byte(t))
}

func (w *simulation) perform() {
	for _, a := range w.m.Ready() {
		if w.endCount > 0 {
			if _, ok := a.(Cancel); !ok {
				w.t.Fatalf("action %T after the generation ended", a)
			}
		}
		switch a := a.(type) {
		case Start:
			w.start(a)
		case Resume:
			w.resume(a)
		case Probe:
			w.probes = append(w.probes, a)
		case Cancel:
			if rapid.Bool().Draw(w.t, "cancel closes") {
				delete(w.conns, a.Attempt)
			}
		case Finish:
			w.endCount++
			if len(w.relayed) != w.total {
				w.t.Fatalf("finished after %d of %d tokens were relayed", len(w.relayed), w.total)
			}
		case Fail:
			w.endCount++
			if a.ValidTokens != len(w.relayed) {
				w.t.Fatalf("Fail reports %d valid tokens, %d were relayed", a.ValidTokens, len(w.relayed))
			}
		}
	}
	if w.endCount > 1 {
		w.t.Fatal("the generation ended twice")
	}
}

func (w *simulation) start(a Start) {
	endpoint := fmt.Sprint("e", rapid.IntRange(1, 4).Draw(w.t, "endpoint"))
	w.m.Routed(a.Attempt, endpoint)
	w.lastStream++
	s := &engineStream{endpoint: endpoint, salt: w.lastStream, fence: a.Attempt}
	ignores := rapid.IntRange(0, 7).Draw(w.t, "engine ignores the prefix") == 0
	if a.From > 0 && ignores {
		a.From = 0
	}
	if a.From > 0 {
		s.tokens = w.m.Journal().Tokens()
		s.hash = HashTokens(s.tokens)
		if len(s.tokens) != a.From {
			w.t.Fatalf("Start from index %d, but the journal has %d tokens", a.From, len(s.tokens))
		}
	}
	id := fmt.Sprint("s", w.lastStream)
	w.streams[id] = s
	w.conns[a.Attempt] = &conn{attempt: a.Attempt, stream: s, id: id, from: a.From, pos: a.From, hash: s.hash}
}

func (w *simulation) resume(a Resume) {
	s := w.streams[a.Stream.ID]
	if s == nil || a.Attempt <= s.fence || a.From > len(s.tokens) {
		w.m.Failed(w.now, a.Attempt, Gone, 0)
		w.perform()
		return
	}
	s.fence = a.Attempt
	w.conns[a.Attempt] = &conn{attempt: a.Attempt, stream: s, id: a.Stream.ID, from: a.From, pos: a.From, hash: HashTokens(s.tokens[:a.From])}
}

// pickConn draws a connection; connections of replaced attempts are included.
func (w *simulation) pickConn() *conn {
	if len(w.conns) == 0 {
		return nil
	}
	var keys []int
	for n := 0; n <= 64; n++ {
		if w.conns[n] != nil {
			keys = append(keys, n)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return w.conns[rapid.SampledFrom(keys).Draw(w.t, "connection")]
}

func (w *simulation) deliver(c *conn) {
	if !c.acked {
		c.acked = true
		w.m.Acked(w.now, c.attempt, Stream{c.stream.endpoint, c.id}, c.from, c.hash, 0)
		return
	}
	if c.pos < len(c.stream.tokens) {
		w.token(c.attempt, c.pos, c.stream.tokens[c.pos])
		c.pos++
	} else if len(c.stream.tokens) == w.total {
		w.m.Done(w.now, c.attempt, w.total, c.stream.hash, "length")
	}
}

func (w *simulation) token(attempt, index int, text string) {
	if !w.m.Token(w.now, attempt, index, []byte(text)) {
		return
	}
	var h string
	if _, err := fmt.Sscanf(text, "%s", &h); err != nil || h[:len(fmt.Sprintf("%x/", w.hash))] != fmt.Sprintf("%x/", w.hash) {
		w.t.Fatalf("token %q does not continue the %d relayed tokens", text, len(w.relayed))
	}
	w.relayed = append(w.relayed, text)
	w.hash = ExtendHash(w.hash, []byte(text))
}

// misdeliver delivers a token out of order: repeated or with a gap before it.
func (w *simulation) misdeliver(c *conn) {
	if !c.acked || len(c.stream.tokens) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.stream.tokens)-1).Draw(w.t, "index")
	if i > c.pos { // a gap: the connection is unusable from here on
		w.token(c.attempt, i, c.stream.tokens[i])
		delete(w.conns, c.attempt)
		return
	}
	if i < c.pos {
		w.token(c.attempt, i, c.stream.tokens[i])
	}
}

func (w *simulation) answerProbe() {
	if len(w.probes) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.probes)-1).Draw(w.t, "probe")
	p := w.probes[i]
	w.probes = append(w.probes[:i], w.probes[i+1:]...)
	s := w.streams[p.Stream.ID]
	alive := s != nil && rapid.Bool().Draw(w.t, "alive")
	index := 0
	if alive {
		index = len(s.tokens)
	}
	w.m.Probed(w.now, p.Attempt, alive, index)
}

func (w *simulation) step() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(w.t, "ms")) * time.Millisecond)
	c := w.pickConn()
	switch rapid.IntRange(0, 11).Draw(w.t, "event") {
	case 0, 1, 2, 3, 4:
		if c != nil {
			if len(c.stream.tokens) < w.total {
				c.stream.generateToken()
			}
			w.deliver(c)
		}
	case 5:
		if c != nil {
			w.misdeliver(c)
		}
	case 6:
		if c != nil {
			delete(w.conns, c.attempt)
			why := rapid.SampledFrom([]Failure{Broken, Refused, NoEndpoint, Mismatch, Gone}).Draw(w.t, "failure")
			w.m.Failed(w.now, c.attempt, why, 0)
		}
	case 7:
		w.answerProbe()
	case 8:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(w.t, "pause")) * time.Millisecond)
		w.m.Tick(w.now)
	case 9:
		w.m.Tick(w.now)
	case 10:
		if c != nil {
			w.m.Alive(w.now, c.attempt)
		}
	case 11:
		if c != nil && rapid.IntRange(0, 9).Draw(w.t, "engine loses streams") == 0 {
			delete(w.streams, c.id)
			delete(w.conns, c.attempt)
			w.m.Failed(w.now, c.attempt, Broken, 0)
		}
	}
	w.perform()
}

// TestRandomEventOrder delivers events in random order and checks the invariants of the package:
// contiguous indices, one lineage, exactly one end, no action but Cancel after it, and an end by
// the deadline.
func TestRandomEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Latency, Frugal, NoProbe}).Draw(t, "policy")
		w := &simulation{
			t: t, now: epoch, streams: map[string]*engineStream{}, conns: map[int]*conn{},
			total: rapid.IntRange(1, 12).Draw(t, "tokens"),
		}
		deadline := epoch.Add(5 * time.Second)
		w.m = New(DefaultConfig(policy), Origin{}, true, 10, w.now, deadline)
		w.perform()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
		}
		if w.now.Before(deadline) {
			w.now = deadline
		}
		w.m.Tick(w.now)
		w.perform()
		if w.endCount != 1 {
			t.Fatalf("the generation ended %d times", w.endCount)
		}
	})
}
