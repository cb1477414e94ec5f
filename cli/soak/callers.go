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

// Timeouts of callers.
const (
	streamWait = 12 * time.Second
	plainWait  = 1500 * time.Millisecond
	// maxLateness is how much longer than the request's timeout a caller waits for an answer. A
	// paused instance can't answer, so the caller gives up by itself then.
	maxLateness = 500 * time.Millisecond
)

// call is a request and its outcome.
type call struct {
	id, key, body string
	nonIdempotent bool // must not run more than once
	stream        bool // a sound stream
	sent          time.Time
	ended         time.Time
	answer        standin.Answer
	err           error
	timeout       time.Duration
	// abandoned reports whether the caller closed its connection before the answer came.
	abandoned bool
	// routeVersion is the configuration version whose own route was requested; 0 for another route.
	routeVersion uint64
	// process is the name of the instance that received the request.
	process string
}

// caller sends one request after the other. It keeps its connection open as long as possible.
type caller struct {
	soak         *soak
	rnd          *rand.Rand
	conn         *standin.Client
	processIndex int // index of the process that conn goes to
	requests     int
	name         string
	// highestVersion is the highest configuration version that answered on the open connection. It
	// is reset with the connection.
	highestVersion uint64
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer func() {
		if c.conn != nil {
			c.conn.Close()
		}
	}()
	for ctx.Err() == nil {
		c.sendRequest(ctx)
		time.Sleep(time.Duration(c.rnd.IntN(80)) * time.Millisecond)
	}
}

// sendRequest sends one request and passes its outcome to the checks.
func (c *caller) sendRequest(ctx context.Context) {
	c.requests++
	r, a := c.drawRequest()
	if !c.connect(ctx) {
		return
	}
	timeout := r.Timeout + maxLateness
	if a.abandoned = c.rnd.IntN(abandonOneIn) == 0; a.abandoned {
		timeout = time.Duration(10+c.rnd.IntN(1500)) * time.Millisecond
	}
	callCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a.process = c.soak.env.processes[c.processIndex].name
	a.sent = time.Now()
	a.answer, a.err = c.conn.Do(callCtx, r)
	a.ended = time.Now()
	a.abandoned = a.abandoned && callCtx.Err() != nil
	c.checkVersionOrder(a)
	if a.err != nil || a.answer.CloseConnection || !a.answer.Complete || a.answer.Status != http.StatusOK {
		c.conn.Close()
		c.conn, c.highestVersion = nil, 0
	}
	c.soak.checkCall(&r, a)
}

// abandonOneIn means that one request in so many gets a caller that waits only for a short random
// time. The request is abandoned if its answer doesn't come in that time.
const abandonOneIn = 12

// checkVersionOrder records the configuration version that served the request. It adds a finding if
// a newer version served an earlier request on this connection.
func (c *caller) checkVersionOrder(a *call) {
	if a.routeVersion == 0 || a.err != nil || a.answer.Status != http.StatusOK {
		return
	}
	if a.routeVersion < c.highestVersion {
		c.soak.addFinding("%s served version %d on a connection on which it had served %d", a.process, a.routeVersion, c.highestVersion)
	}
	c.highestVersion = max(c.highestVersion, a.routeVersion)
}

// drawRequest returns a random request, with the call that records its outcome.
func (c *caller) drawRequest() (standin.Request, *call) {
	id := fmt.Sprintf("%s-%d", c.name, c.requests)
	key := permanentKey
	if current, previous := c.soak.env.latestKeys(); c.rnd.IntN(2) == 0 {
		key = current
		if c.rnd.IntN(3) == 0 {
			key = previous
		}
	}
	r := standin.Request{Method: http.MethodPost, Host: host, ID: id, Key: key, Body: "the case " + id, Timeout: plainWait}
	a := &call{id: id, key: key}
	defer func() { a.timeout, a.body = r.Timeout, r.Body }()
	if kind, n, ok := c.soak.env.fatalRequests.draw(c.rnd); ok && c.rnd.IntN(fatalOneIn) == 0 {
		makeFatal(&r, a, kind, n)
		return r, a
	}
	r.ForgeHeaders = c.rnd.IntN(4) == 0
	switch c.rnd.IntN(5) {
	case 4:
		if v := c.soak.env.latestRouteVersion(); v > 1 {
			a.routeVersion = v - uint64(c.rnd.IntN(2))
		}
		r.Path, r.Key, a.key = versionPath(a.routeVersion)+"1", permanentKey, permanentKey
	case 0:
		r.Path, r.Timeout, r.PromptID, r.PromptTokens = "/brief/1", streamWait, fmt.Sprintf("%x", id), promptTokens
		r.SharedParts, a.stream = []string{sharedPart}, true
	case 1:
		r.Path = "/ping/1"
	default:
		r.Path, a.nonIdempotent = "/log/1", true
	}
	return r, a
}

// makeFatal turns a request into a fatal one, which crashes every endpoint that runs it.
func makeFatal(r *standin.Request, a *call, kind fatalKind, n int) {
	r.Path, r.Body, r.Key, a.key = kind.path, kind.body(n, a.id), permanentKey, permanentKey
	a.nonIdempotent = kind.path == "/log/1"
	switch {
	case kind.isPart:
		r.Timeout, r.PromptID, r.PromptTokens = streamWait, fmt.Sprintf("%x", a.id), promptTokens
		r.SharedParts = []string{sharedPart, fatalPartID(n)}
	case kind.path == "/brief/1":
		r.Timeout, r.PromptID, r.PromptTokens = streamWait, "fa7a1", promptTokens
	}
}

// sharedPart is a part that the prompts of all callers have.
const sharedPart = "ca"

// connect reuses the open connection, or opens one to a random process. It returns false if that
// fails.
func (c *caller) connect(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	const connectTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c.processIndex = c.rnd.IntN(len(c.soak.env.processes))
	conn, err := standin.Connect(ctx, dial, c.soak.env.processes[c.processIndex].callersAddress)
	if err != nil {
		return false
	}
	c.conn = conn
	return true
}

// streamDefect describes what is wrong with a stream's events; empty if nothing is.
func streamDefect(a *standin.Answer, prompt string) string {
	for i, e := range a.Events {
		if e.ID != i+1 {
			return fmt.Sprintf("event %d has number %d", i+1, e.ID)
		}
		if want := fmt.Sprintf("%s %d", prompt, i+1); e.Data != want {
			return fmt.Sprintf("event %d is %q, not %q", i+1, e.Data, want)
		}
	}
	if (a.Complete || a.EndsInEvent) && len(a.Events) != eventsPerStream {
		return fmt.Sprintf("a stream that ended as whole has %d events", len(a.Events))
	}
	return ""
}

// guaranteesNotRun reports whether an answer guarantees that the request has not run. Only some
// statuses do, and only without an endpoint's signature.
func guaranteesNotRun(a *standin.Answer) bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return !strings.HasPrefix(a.Signature, "signed-by-")
	}
	return false
}
