package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is what goes to an endpoint, as it came from the caller.
type Request struct {
	// Method, Target (path and query as on the request line) and Host are sent as they are.
	Method, Target, Host string
	Header               http.Header
	// Body is sent with a length when Length is 0 or more, else in chunks. Nil for none.
	Body   io.Reader
	Length int64
}

// Exchange is one request on a connection, with its answer.
type Exchange struct {
	conn    *Conn
	resp    *http.Response
	sent    atomic.Bool // the whole request was written
	written atomic.Int64
	done    chan struct{}
	stop    func() bool
}

// maxSkipped bounds the answers to earlier requests that are skipped on a connection.
const maxSkipped = 2

// Do sends a request on a connection and reads the head of its answer. mine tells whether an answer
// is for this request; others are skipped. The connection belongs to the exchange, and is closed when
// ctx ends. The error is [ErrNotSent] or [ErrLost].
func (c *Conn) Do(ctx context.Context, r *Request, mine func(status int, h http.Header) bool) (*Exchange, error) {
	x := &Exchange{conn: c, done: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, c.Discard)
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	go x.write(r)
	if err := x.readHead(r, mine); err != nil {
		x.Abort()
		if c.reused && x.nothingLeft() {
			return nil, ErrNotSent.Wrap(err, "%s closed the connection before anything was sent", c.target.ID)
		}
		return nil, ErrLost.Wrap(err, "no answer from %s", c.target.ID)
	}
	return x, nil
}

// writerEnd bounds the wait for the writer of a connection that was closed or answered. It takes longer only
// while the caller's own body is awaited or the endpoint does not read it.
const writerEnd = 20 * time.Millisecond

// writerEnds tells whether the writer ends within a moment.
func (x *Exchange) writerEnds() bool {
	t := time.NewTimer(writerEnd)
	defer t.Stop()
	select {
	case <-x.done:
		return true
	case <-t.C:
		return false
	}
}

// nothingLeft tells whether it is certain that the connection took no byte of the request.
func (x *Exchange) nothingLeft() bool { return x.writerEnds() && x.written.Load() == 0 }

// allSent tells whether the whole request was written. An endpoint that has all of it may answer before
// the writer has returned from its last write.
func (x *Exchange) allSent() bool { return x.writerEnds() && x.sent.Load() }

// write sends the request. It runs beside the reader, since an endpoint may answer before it has read
// a long body.
func (x *Exchange) write(r *Request) {
	defer close(x.done)
	w := bufio.NewWriterSize(countingWriter{x}, writeBuffer)
	// A failed write shows in the answer that does not come.
	x.sent.Store(writeRequest(w, r) == nil)
}

// countingWriter counts what the connection took.
type countingWriter struct{ x *Exchange }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.x.conn.Write(b)
	w.x.written.Add(int64(n))
	return n, err
}

func writeRequest(w *bufio.Writer, r *Request) error {
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host); err != nil {
		return err
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	switch {
	case r.Body == nil && (r.Method == http.MethodGet || r.Method == http.MethodHead):
	case r.Body == nil:
		_, _ = w.WriteString("Content-Length: 0\r\n")
	case r.Length >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	default:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if err := writeBody(w, r); err != nil {
		return err
	}
	return w.Flush()
}

func writeBody(w *bufio.Writer, r *Request) error {
	switch {
	case r.Body == nil:
		return nil
	case r.Length >= 0:
		n, err := io.Copy(w, r.Body)
		if err == nil && n != r.Length {
			return errors.New("the body is shorter than its length")
		}
		return err
	}
	return writeChunks(w, r.Body)
}

func writeChunks(w *bufio.Writer, body io.Reader) error {
	buf := make([]byte, readBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			_, _ = fmt.Fprintf(w, "%x\r\n", n)
			_, _ = w.Write(buf[:n])
			if _, err := w.WriteString("\r\n"); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = w.WriteString("0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// readHead reads the head of the answer, past informational ones and those to earlier requests.
func (x *Exchange) readHead(r *Request, mine func(int, http.Header) bool) error {
	for skipped := 0; ; {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if mine(resp.StatusCode, resp.Header) {
			x.resp = resp
			return nil
		}
		if skipped++; skipped > maxSkipped || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errors.New("the answer is to another request")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
}

// Status returns the answer's status code.
func (x *Exchange) Status() int { return x.resp.StatusCode }

// Header returns the answer's headers.
func (x *Exchange) Header() http.Header { return x.resp.Header }

// Read reads the answer's body. The error is [io.EOF] only at its proper end.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if err != nil && err != io.EOF {
		return n, ErrLost.Wrap(err, "the answer of %s broke off", x.conn.target.ID)
	}
	return n, err
}

// Finish ends an exchange whose body was read to its end: the connection is kept for another request
// where that is safe.
func (x *Exchange) Finish() {
	detached := x.stop()
	if !detached || !x.allSent() || x.resp.Close || x.unframed() {
		x.conn.Discard()
		return
	}
	x.conn.pool.keep(x.conn, idleTime(x.resp.Header))
}

// unframed tells that the answer ends with its connection.
func (x *Exchange) unframed() bool {
	return x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 && x.resp.Body != http.NoBody
}

// Abort closes the connection: the endpoint learns that nobody waits for the answer.
func (x *Exchange) Abort() {
	x.stop()
	x.conn.Discard()
}

// idleTime returns the idle time that an endpoint states; 0 when it states none.
func idleTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
