package shed_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/shedding"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/shed"
)

// server is a server with a guard in virtual time. It reads bodies whole and answers with their lengths.
type server struct {
	t       testing.TB
	net     *memnet.Net
	address string
	guard   *shed.Guard
	logs    lockedBuffer
	stop    func()
}

// lockedBuffer is a buffer that is written and read concurrently.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// bodyLimit is the largest body that the server reads.
const bodyLimit = 1 << 20

func readBody(w http.ResponseWriter, r *http.Request) {
	body, whole, err := shed.ReadBody(r.Context(), r.Body, r.ContentLength, bodyLimit)
	if err != nil || !whole {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprint(w, body.Len())
}

func startServer(t testing.TB, settings shedding.Settings, handler http.HandlerFunc) *server {
	t.Helper()
	return startServerWith(t, shed.Options{Settings: settings}, handler)
}

// startServerWith fills in the options that are the same in all tests.
func startServerWith(t testing.TB, o shed.Options, handler http.HandlerFunc) *server {
	t.Helper()
	s := &server{t: t, net: memnet.New()}
	l, err := s.net.Node("server").Listen("10.0.0.1:0")
	assert.NilError(t, err)
	s.address = l.Addr().String()
	log := logrus.New()
	log.SetOutput(&s.logs)
	o.Name, o.RetryAfter, o.Log, o.Scope = "callers", func() string { return "3" }, log.WithField("test", t.Name()), tally.NoopScope
	s.guard = shed.New(o)
	h := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.guard.Serve(h)
	go func() { _ = h.Serve(s.guard.Listener(l)) }() // returns when the server is closed
	ctx, cancel := context.WithCancel(context.Background())
	go s.guard.Run(ctx)
	s.stop = func() {
		cancel()
		_ = h.Close()
		s.net.CloseAll()
		time.Sleep(time.Minute) // connections that wait before they are closed
	}
	return s
}

func (s *server) connect() net.Conn {
	s.t.Helper()
	conn, err := s.net.Node("caller").Dial(s.t.Context(), "tcp", s.address)
	assert.NilError(s.t, err)
	return conn
}

// send sends text without waiting for the server to read it.
func send(conn net.Conn, text string) { go func() { _, _ = io.WriteString(conn, text) }() }

// post returns the text of a request with a body of a length, of which some bytes are sent.
func post(length, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
}

// answer reads an answer and returns its status, body and Retry-After; status 0 if there is none.
func answer(conn net.Conn) (status int, body, retryAfter string) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", ""
	}
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), resp.Header.Get("Retry-After")
}

// TestStalledBodiesMakeWay guards against bodies short of their end that keep callers with small requests out.
func TestStalledBodiesMakeWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, shedding.Settings{Bytes: 4 << 20, Connections: 1000}, readBody)
		defer s.stop()
		for range 50 {
			send(s.connect(), post(500<<10, 500<<10-1))
		}
		time.Sleep(time.Second)
		for range 20 {
			small := s.connect()
			send(small, post(8<<10, 8<<10))
			status, body, _ := answer(small)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "8192")
			time.Sleep(100 * time.Millisecond)
		}
		u := s.guard.Usage()
		assert.Assert(t, sum(u) <= 5<<20, "%v", u.Held)
	})
}

func sum(u shedding.Usage) (bytes int64) {
	for _, n := range u.Held {
		bytes += n
	}
	return bytes
}

// TestNothingIsHeldAfterRequests guards against accounts that grow with the requests on a connection.
func TestNothingIsHeldAfterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, shedding.Settings{Bytes: 4 << 20, Connections: 10}, readBody)
		defer s.stop()
		kept := s.connect()
		for range 100 {
			send(kept, post(100<<10, 100<<10))
			status, _, _ := answer(kept)
			assert.Equal(t, status, http.StatusOK)
		}
		synctest.Wait()
		u := s.guard.Usage()
		assert.Equal(t, sum(u), u.Held[shedding.Connection])
		_ = kept.Close()
		time.Sleep(time.Second)
		assert.Equal(t, sum(s.guard.Usage()), int64(0))
	})
}

// TestRequestWithoutRoomIsRefused checks that a request for which there is no room gets a refusal with a time to retry.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	held := make(chan struct{})
	synctest.Test(t, func(t *testing.T) {
		held = make(chan struct{})
		s := startServer(t, shedding.Settings{Bytes: 1 << 20, Connections: 100}, func(w http.ResponseWriter, r *http.Request) {
			readBody(w, r)
			<-held // a request that is served is not shed
		})
		defer s.stop()
		defer close(held)
		first := s.connect()
		send(first, post(400<<10, 400<<10))
		time.Sleep(time.Second)
		second := s.connect()
		send(second, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 10000))
		status, _, retryAfter := answer(second)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, retryAfter, "3")
		assert.Assert(t, s.guard.Usage().Held[shedding.Body] >= 400<<10, "the request that is served goes on")
	})
}

// TestAnswerThatIsNotTakenMakesWay guards against callers that do not read their answers.
func TestAnswerThatIsNotTakenMakesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerBytes = 256 << 10
		s := startServer(t, shedding.Settings{Bytes: 2 << 20, Connections: 1000}, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				shed.ChargeAnswer(r.Context(), answerBytes)
				_, _ = w.Write(make([]byte, answerBytes))
				return
			}
			readBody(w, r)
		})
		defer s.stop()
		for range 50 {
			send(s.connect(), "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		}
		time.Sleep(5 * time.Second)
		assert.Assert(t, sum(s.guard.Usage()) <= 2<<20, "answers make way although nobody else needs room")
		small := s.connect()
		send(small, post(8<<10, 8<<10))
		status, _, _ := answer(small)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, strings.Contains(s.logs.String(), "shed for lack of room"))
		time.Sleep(10 * time.Second)
		assert.Assert(t, strings.Contains(s.logs.String(), "no connections are shed any more"))
	})
}

// TestTrustedBodiesAreNotRefused guards against calls between instances that are refused since they are larger than the
// budget of their connections, such as the outcomes that an instance hands over when it leaves.
func TestTrustedBodiesAreNotRefused(t *testing.T) {
	for _, trusted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := startServerWith(t, shed.Options{Settings: shedding.Settings{Bytes: 1 << 20, Connections: 10}, TrustedBodies: trusted}, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			defer s.stop()
			conn := s.connect()
			send(conn, post(4<<20, 4<<20))
			status, _, _ := answer(conn)
			assert.Equal(t, status == http.StatusOK, trusted)
		})
	}
}

// TestEarlyAnswerDoesNotWaitForBody guards against answers to requests with a wrong key that wait for bodies which
// never end.
func TestEarlyAnswerDoesNotWaitForBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, shedding.Settings{Bytes: 2 << 20, Connections: 1000}, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusUnauthorized)
		})
		defer s.stop()
		conn := s.connect()
		began := time.Now()
		send(conn, post(100, 99))
		status, _, _ := answer(conn)
		assert.Equal(t, status, http.StatusUnauthorized)
		assert.Assert(t, time.Since(began) <= 200*time.Millisecond)
	})
}

// headShapes are heads of 16 kB that take the most memory for their size.
var headShapes = map[string]func(n int) string{
	"short names": func(n int) string { return fmt.Sprintf("%s:\r\n", strings.ToLower(fmt.Sprintf("a%x", n))) },
	"values":      func(n int) string { return fmt.Sprintf("a%x:1\r\n", n) },
	"one name":    func(int) string { return "a:\n" },
	"one line":    func(n int) string { return strings.Repeat("x", 4096) + ": y\r\n" },
}

// TestHeadCostCoversMemory guards against heads that take more memory than they are accounted for.
func TestHeadCostCoversMemory(t *testing.T) {
	const heads, headBytes = 64, 16 << 10
	for name, line := range headShapes {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			text.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
			for n := 0; text.Len() < headBytes; n++ {
				text.WriteString(line(n))
			}
			text.WriteString("\r\n")
			var scanner shedding.HeadScanner
			cost := scanner.Scan([]byte(text.String()))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			held := make([]any, 0, 2*heads)
			for range heads {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text.String())))
				assert.NilError(t, err)
				held = append(held, r, r.Header.Clone())
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			each := int64(after.HeapAlloc-before.HeapAlloc) / heads
			runtime.KeepAlive(held)
			t.Logf("%d bytes are accounted for, %d are taken with a copy", cost, each)
			assert.Assert(t, each <= cost)
		})
	}
}
