package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/gateway/answerhead"
)

// Request is a request to an endpoint. It is sent as it came from the caller.
type Request struct {
	// Method, Target and Host are sent unchanged. Target is the path and query of the request line.
	Method, Target, Host string
	Header               http.Header
	// Body is sent with a Content-Length if Length is not negative, otherwise in chunks; nil for
	// none.
	Body   io.Reader
	Length int64
}

// Exchange is one request on a connection, with its answer.
type Exchange struct {
	conn          *Conn
	resp          *http.Response
	sent          sentBytes
	done          chan struct{} // closed once the request's writer has ended
	stopAfterFunc func() bool   // see [context.AfterFunc]
}

// maxSkippedAnswers bounds the answers to earlier requests that are skipped on a connection.
const maxSkippedAnswers = 2

// maxInformational bounds the informational answers before the answer itself.
const maxInformational = 16

// Do sends a request on a connection and reads the head of its answer. matches reports whether an
// answer belongs to this request; other answers are skipped. The exchange owns the connection, and
// closes it when ctx ends. The error is [ErrNotSent] or [ErrLost].
func (c *Conn) Do(ctx context.Context, r *Request, matches func(status int, h http.Header) bool) (*Exchange, error) {
	x := &Exchange{conn: c, sent: sentBytes{conn: c.Conn}, done: make(chan struct{})}
	x.stopAfterFunc = context.AfterFunc(ctx, c.Discard)
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	go x.write(r)
	if err := x.readHead(r, matches); err != nil {
		x.stopAfterFunc()
		x.stopWriter()
		c.pool.countIfMalformed(err)
		if c.reused && x.sent.none() {
			return nil, ErrNotSent.Wrap(err, "%s closed the connection before anything was sent", c.target.ID)
		}
		return nil, ErrLost.Wrap(err, "no answer from %s", c.target.ID)
	}
	return x, nil
}

// writerTimeout bounds the wait for the goroutine that writes the request, after the endpoint has answered. The writer
// takes longer only while it waits for the caller's body, the endpoint or a processor.
const writerTimeout = 20 * time.Millisecond

// awaitWriter waits for the writer, for at most writerTimeout. It returns true if the writer has
// ended.
func (x *Exchange) awaitWriter() bool {
	t := time.NewTimer(writerTimeout)
	defer t.Stop()
	select {
	case <-x.done:
		return true
	case <-t.C:
		return false
	}
}

// stopWriter closes the connection. No byte of the request is written after it has returned. It does not await the
// writer, which may wait for the caller's body.
func (x *Exchange) stopWriter() {
	x.conn.Discard()
	x.sent.stop()
}

// write sends the request. It runs concurrently with the reader, since an endpoint may answer
// before it has read a long body.
func (x *Exchange) write(r *Request) {
	defer close(x.done)
	// A failed write fails the read of the head, since no answer arrives, or that of a body which ends with
	// the connection; see Read.
	_ = x.writeRequest(bufio.NewWriterSize(&x.sent, writeBufferSize), r)
}

func (x *Exchange) writeRequest(w *bufio.Writer, r *Request) error {
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
	if err := x.writeBody(w, r); err != nil {
		return err
	}
	return w.Flush()
}

func (x *Exchange) writeBody(w *bufio.Writer, r *Request) error {
	switch {
	case r.Body == nil:
		x.sent.setRest(int64(w.Buffered()))
		return nil
	case r.Length >= 0:
		x.sent.setRest(int64(w.Buffered()) + r.Length)
		n, err := io.Copy(w, r.Body)
		if err == nil && n != r.Length {
			return errors.New("the body is shorter than its length")
		}
		return err
	}
	if err := writeChunks(w, r.Body); err != nil {
		return err
	}
	x.sent.setRest(int64(w.Buffered()))
	return nil
}

func writeChunks(w *bufio.Writer, body io.Reader) error {
	buf := make([]byte, readBufferSize)
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

// readHead reads the head of the answer. It skips informational answers and answers to earlier
// requests.
func (x *Exchange) readHead(r *Request, matches func(int, http.Header) bool) error {
	x.conn.allow(limitread.MaxHead)
	for skipped, informational := 0, 0; ; {
		if err := x.conn.expectHead(); err != nil {
			return err
		}
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if err := checkStatus(resp.StatusCode); err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational && !x.conn.pool.Unbounded {
				return errors.New("too many informational answers")
			}
			continue
		}
		if matches(resp.StatusCode, resp.Header) {
			x.resp = resp
			x.conn.allow(limitread.Unlimited)
			return nil
		}
		if skipped++; skipped > maxSkippedAnswers || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errors.New("the answer is to another request")
		}
		x.conn.allow(limitread.MaxSkipped)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		x.conn.allow(limitread.MaxHead)
	}
}

// maxStatus is the highest status code of an answer.
const maxStatus = 599

// checkStatus returns an error for a status code that no answer may have. A request never asks to switch
// protocols, after which the connection would carry no further answer.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("the answer has the status %03d", status)
	}
	return nil
}

// Status returns the status code of the answer.
func (x *Exchange) Status() int { return x.resp.StatusCode }

// Header returns the headers of the answer.
func (x *Exchange) Header() http.Header { return x.resp.Header }

// Read reads the body of the answer. It returns [io.EOF] only if the body is complete, and
// [ErrLost] if it broke off.
//
// Of a connection that is reset, only the system call that meets the reset first gets an error. If that is
// a write of the request, the read sees an ordinary end. So a body that ends with its connection is complete
// only if the request was written whole.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if err == io.EOF {
		err = cmp.Or(answerhead.CheckTrailer(x.resp.Trailer), err)
		x.conn.pool.countIfMalformed(err)
	}
	if err == io.EOF && x.EndsWithConnection() {
		x.stopWriter()
		if !x.sent.all() {
			err = errEndedInRequest
		}
	}
	if err != nil && err != io.EOF {
		return n, ErrLost.Wrap(err, "the answer of %s broke off", x.conn.target.ID)
	}
	return n, err
}

var errEndedInRequest = errors.New("the connection ended before the request was written")

// Finish ends an exchange whose body was read to its end. It returns the connection to the pool if
// another request can safely be sent on it, and closes it otherwise.
func (x *Exchange) Finish() {
	detached := x.stopAfterFunc()
	if !detached || !x.awaitWriter() || !x.sent.all() || x.resp.Close || x.EndsWithConnection() {
		x.conn.Discard()
		return
	}
	x.conn.pool.putIdle(x.conn, keepAliveTimeout(x.resp.Header))
}

// EndsWithConnection reports whether the answer ends with its connection.
func (x *Exchange) EndsWithConnection() bool {
	return x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 && x.resp.Body != http.NoBody
}

// Abort closes the connection, which tells the endpoint that nobody waits for the answer.
func (x *Exchange) Abort() {
	x.stopAfterFunc()
	x.conn.Discard()
}

// keepAliveTimeout returns the idle timeout that an endpoint states in a Keep-Alive header; 0 if it
// states none.
func keepAliveTimeout(h http.Header) time.Duration {
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
