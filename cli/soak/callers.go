package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// How long callers wait.
const (
	streamWait = 12 * time.Second
	plainWait  = 1500 * time.Millisecond
	// lateMost is by how much an answer may come later than its caller waits: a paused instance can't
	// answer, so a caller gives up by itself then.
	lateMost = 500 * time.Millisecond
)

// asked is a request with what became of it.
type asked struct {
	id, key, body string
	once          bool // it must not run twice
	sent          time.Time
	ended         time.Time
	answer        standin.Answer
	err           error
	wait          time.Duration
	// left tells that the caller closed its connection before the answer had come.
	left bool
	// version is the one whose own route was asked for; 0 for another route.
	version uint64
	// process is the name of the instance that was asked.
	process string
}

// caller asks for one thing after the other, on a connection that it keeps as long as it can.
type caller struct {
	soak *soak
	rnd  *rand.Rand
	conn *standin.Client
	at   int // the process it is connected to
	n    int
	name string
	// seen is the highest version that was found in force on the open connection, by a process that did not start
	// anew meanwhile.
	seen uint64
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// run asks until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer func() {
		if c.conn != nil {
			c.conn.Close()
		}
	}()
	for ctx.Err() == nil {
		c.one(ctx)
		time.Sleep(time.Duration(c.rnd.IntN(80)) * time.Millisecond)
	}
}

// one asks for one thing, and hands what became of it to the checks.
func (c *caller) one(ctx context.Context) {
	c.n++
	r, a := c.request()
	if !c.connect(ctx) {
		return
	}
	patience := r.Timeout + lateMost
	if a.left = c.rnd.IntN(leaveOneIn) == 0; a.left {
		patience = time.Duration(10+c.rnd.IntN(1500)) * time.Millisecond
	}
	wait, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a.process = c.soak.world.processes[c.at].name
	a.sent = time.Now()
	a.answer, a.err = c.conn.Do(wait, r)
	a.ended = time.Now()
	a.left = a.left && wait.Err() != nil
	c.reverted(a)
	if a.err != nil || a.answer.CloseConnection || !a.answer.Complete || a.answer.Status != http.StatusOK {
		c.conn.Close()
		c.conn, c.seen = nil, 0
	}
	c.soak.check(&r, a)
}

// leaveOneIn is how many requests there are for one whose caller leaves early.
const leaveOneIn = 12

// reverted notes a version that was found in force, and finds fault with an older one after it.
func (c *caller) reverted(a *asked) {
	if a.version == 0 || a.err != nil || a.answer.Status != http.StatusOK {
		return
	}
	if a.version < c.seen {
		c.soak.finding("%s served version %d on a connection on which it had served %d", a.process, a.version, c.seen)
	}
	c.seen = max(c.seen, a.version)
}

// request draws what to ask for.
func (c *caller) request() (standin.Request, *asked) {
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	key := keptKey
	if now, before := c.soak.world.lastKeys(); c.rnd.IntN(2) == 0 {
		key = now
		if c.rnd.IntN(3) == 0 {
			key = before
		}
	}
	r := standin.Request{Method: http.MethodPost, Host: host, ID: id, Key: key, Body: "the case " + id, Timeout: plainWait}
	a := &asked{id: id, key: key}
	defer func() { a.wait, a.body = r.Timeout, r.Body }()
	if path, body := c.soak.world.fatals.draw(c.rnd); path != "" && c.rnd.IntN(fatalOneIn) == 0 {
		askFatal(&r, a, path, body)
		return r, a
	}
	r.ForgeHeaders = c.rnd.IntN(4) == 0
	switch c.rnd.IntN(5) {
	case 4:
		if v := c.soak.world.lastRoute(); v > 1 {
			a.version = v - uint64(c.rnd.IntN(2))
		}
		r.Path, r.Key, a.key = versionPath(a.version)+"1", keptKey, keptKey
	case 0:
		r.Path, r.Timeout, r.PromptID, r.PromptTokens = "/brief/1", streamWait, fmt.Sprintf("%x", id), promptSize
	case 1:
		r.Path = "/ping/1"
	default:
		r.Path, a.once = "/log/1", true
	}
	return r, a
}

// askFatal makes a request one that ends whoever runs it.
func askFatal(r *standin.Request, a *asked, path, body string) {
	r.Path, r.Body, r.Key, a.key = path, body, keptKey, keptKey
	a.once = path == "/log/1"
	if path == "/brief/1" {
		r.Timeout, r.PromptID, r.PromptTokens = streamWait, "fa7a1", promptSize
	}
}

// connect takes the open connection, or opens one to a process at random.
func (c *caller) connect(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	const connectTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c.at = c.rnd.IntN(len(c.soak.world.processes))
	conn, err := standin.Connect(ctx, dial, c.soak.world.processes[c.at].callers)
	if err != nil {
		return false
	}
	c.conn = conn
	return true
}

// whole tells what is wrong with a stream's events; empty when nothing is.
func whole(a *standin.Answer, prompt string) string {
	for i, e := range a.Events {
		if e.ID != i+1 {
			return fmt.Sprintf("event %d has number %d", i+1, e.ID)
		}
		if want := fmt.Sprintf("%s %d", prompt, i+1); e.Data != want {
			return fmt.Sprintf("event %d is %q, not %q", i+1, e.Data, want)
		}
	}
	if a.Complete && len(a.Events) != streamSize {
		return fmt.Sprintf("a stream that ended as whole has %d events", len(a.Events))
	}
	return ""
}

// refusedAsNotRun tells whether an answer promises that the request has not run.
func refusedAsNotRun(a *standin.Answer) bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return !strings.HasPrefix(a.Signature, "signed-by-")
	}
	return false
}
