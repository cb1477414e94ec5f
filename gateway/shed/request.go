package shed

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/shedding"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("shed")
	// ErrNoRoom says that there is no room for a request. It has not been passed on.
	ErrNoRoom = namespace.NewType("no_room")
)

// drainTimeout bounds the time in which the rest of a body is read whose request was answered before its end. The
// answer waits for it.
const drainTimeout = 100 * time.Millisecond

// handler accounts for the requests that next serves.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		cost := headCost(r) + requestCost
		if !g.beginRequest(c, cost, hasBody) {
			g.refuse(w)
			return
		}
		body := &countedBody{ReadCloser: r.Body, conn: c}
		if hasBody {
			r.Body = body
		}
		if c.isHTTP2 {
			defer func() {
				g.release(c, shedding.Head, cost)
				g.release(c, shedding.Body, body.counted)
			}()
		}
		next.ServeHTTP(w, r)
		if c.shed.Load() {
			panic(http.ErrAbortHandler) // the server would wait before it closes the connection
		}
		if hasBody && !body.ended {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout)) // without it the body counts as incomplete at once
		}
	})
}

// beginRequest replaces the account of the head that was read by that of the parsed one. It returns false if there
// is no room.
func (g *Guard) beginRequest(c *conn, cost int64, hasBody bool) bool {
	now := time.Now()
	g.mu.Lock()
	if !c.isHTTP2 {
		g.budget.ReleaseAll(c.holder, shedding.Head)
	}
	switch {
	case c.isHTTP2 || !hasBody:
		g.budget.SetState(now, c.holder, shedding.Serving)
	case c.holder.State() != shedding.Receiving:
		g.budget.SetState(now, c.holder, shedding.Receiving)
	}
	g.mu.Unlock()
	return g.reserve(c, shedding.Head, cost)
}

// headCost returns the cost of a parsed head.
func headCost(r *http.Request) int64 {
	bytes, lines, commas := len(r.RequestURI)+len(r.Host), 1, 0
	for name, values := range r.Header {
		for _, v := range values {
			bytes += len(name) + len(v)
			lines++
			commas += strings.Count(v, ",")
		}
	}
	return shedding.HeadCost(bytes, lines, commas)
}

// refuse answers a request for which there is no room.
func (g *Guard) refuse(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Retry-After", g.RetryAfter())
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, "no room for the request\n") // the caller may be gone
}

// countedBody accounts for what is read of a body.
type countedBody struct {
	io.ReadCloser
	conn    *conn
	counted int64
	ended   bool
}

// Read implements [io.Reader]. It fails with [ErrNoRoom] if there is no room for what was read.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.conn.ownBody.Load() && !b.conn.guard.TrustedBodies {
		if !b.conn.guard.reserve(b.conn, shedding.Body, int64(n)) {
			return 0, errNoRoom
		}
		b.counted += int64(n)
	}
	if err == io.EOF && !b.ended {
		b.ended = true
		b.conn.guard.setState(b.conn, shedding.Serving)
	}
	return n, err
}

var errNoRoom = ErrNoRoom.New("no room for the body")

// Shed reports whether the connection of a request is closed for lack of room.
func Shed(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && c.shed.Load()
}

// MaxBody returns the length of the largest body for which there is room while there is no other request; false if
// there is no bound.
func MaxBody(ctx context.Context) (bytes int64, bounded bool) {
	c := connOf(ctx)
	if c == nil {
		return 0, false
	}
	return c.guard.Settings.Bytes/2 - connectionCost - requestCost - maxPiece - maxHeadCost, true
}

// maxHeadCost is the cost of a large head that is left beside the largest body.
const maxHeadCost = 256 << 10

// ChargeAnswer accounts for n bytes of an answer that are held until the caller has taken them.
func ChargeAnswer(ctx context.Context, n int) {
	if c := connOf(ctx); c != nil {
		c.guard.charge(c, shedding.Answer, int64(n))
	}
}

// Borrow accounts for n bytes that are held while a request is parsed. It returns ErrNoRoom if there is no room.
func Borrow(ctx context.Context, n int64) (giveBack func(), err error) {
	c := connOf(ctx)
	if c == nil {
		return func() {}, nil
	}
	if !c.guard.reserve(c, shedding.Body, n) {
		return nil, errNoRoom
	}
	return func() { c.guard.release(c, shedding.Body, n) }, nil
}
