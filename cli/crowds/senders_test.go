package crowds

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// Sizes of the crowds.
const (
	members = 200
	// headerSize is close to the limit on headers, bodySize to what fits into memory for one request.
	headerSize = 60 << 10
	bodySize   = 250 << 10
	// largeMembers send bodies of largeBodySize.
	largeMembers  = 64
	largeBodySize = 1 << 20
	// smallBodySize is the size of a body that is sent in chunks of one byte.
	smallBodySize = 64 << 10
	pieceSize     = 1 << 10
	largeChunk    = 32 << 10
	// wholeOf is how many members there are for each one that sends its request whole.
	wholeOf = 4
	// idleMembers connect and send nothing; there are more than the process may have descriptors.
	idleMembers = 600
	// repeats is how many whole requests a member sends one after the other.
	repeats = 5
	// The crowd of a machine, with heads of machineHeaderSize.
	machineMembers    = 1500
	mostMembers       = 4000
	machineHeaderSize = 15 << 10
	// smallWindow is the receive buffer of a member that does not read its answers.
	smallWindow = 4 << 10
)

// sendTimeout bounds the time in which a member sends.
const sendTimeout = 20 * time.Second

var lastID atomic.Uint64

// nextID returns an ID for a request.
func nextID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// sender sends what member i of a crowd sends.
type sender func(i int, w io.Writer) error

// crowd is a set of connections that stay open.
type crowd struct{ conns []net.Conn }

// join lets n members send to an address, and returns when all of them have sent or have been refused.
func join(t *testing.T, address string, n int, send sender) *crowd {
	t.Helper()
	c := &crowd{conns: make([]net.Conn, n)}
	var refused atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				refused.Add(1)
				return
			}
			c.conns[i] = conn
			_ = conn.(*net.TCPConn).SetReadBuffer(smallWindow)
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if send(i, conn) != nil {
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	t.Cleanup(c.leave)
	t.Logf("%d of %d members were refused while they sent", refused.Load(), n)
	return c
}

// leave closes all connections.
func (c *crowd) leave() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// withHeader adds lines to the header of a request without a body.
func withHeader(r standin.Request, lines string) string {
	r.Body = ""
	return strings.TrimSuffix(r.Encode(), "\r\n") + lines + "\r\n"
}

func withLength(r standin.Request, n int) string {
	return withHeader(r, fmt.Sprintf("Content-Length: %d\r\n", n))
}

func chunked(r standin.Request) string { return withHeader(r, "Transfer-Encoding: chunked\r\n") }

// headerLines returns up to size bytes of lines that line returns.
func headerLines(size int, line func(n int) string) string {
	var b strings.Builder
	for n := 0; ; n++ {
		l := line(n)
		if b.Len()+len(l) > size {
			return b.String()
		}
		b.WriteString(l)
	}
}

// name returns the n-th short name of a header.
func name(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"
	out := []byte{letters[n%26]}
	for n /= 26; n > 0; n /= len(letters) {
		out = append(out, letters[n%len(letters)])
	}
	return string(out)
}

// Headers of legal size that are made of very many lines.
var headerShapes = map[string]func(n int) string{
	"same-name":   func(int) string { return "a:\r\n" },
	"short-names": func(n int) string { return name(n) + ":\r\n" },
	"odd-names":   func(n int) string { return "x_" + name(n) + "~: \t\r\n" },
	"values":      func(n int) string { return name(n) + ":1\r\n" },
	"continued":   func(n int) string { return "b:\r\n c\r\n" },
	"cookies":     func(n int) string { return "Cookie:a=b;c\r\n" },
	"hop-by-hop":  func(n int) string { return "Connection:" + name(n) + "," + name(n+1) + "\r\n" },
}

// sendHeader returns a sender of headers. Every wholeOf-th member ends its header.
func sendHeader(lines string) sender {
	return func(i int, w io.Writer) error {
		r := ordinaryRequest()
		text := withHeader(r, lines)
		if i%wholeOf != 0 {
			text = strings.TrimSuffix(text, "\r\n")
		}
		_, err := io.WriteString(w, text)
		return err
	}
}

// sendRepeatedly returns a sender of whole requests, whose answers are not read.
func sendRepeatedly(request func() string) sender {
	return func(_ int, w io.Writer) error {
		for range repeats {
			if _, err := io.WriteString(w, request()); err != nil {
				return err
			}
		}
		return nil
	}
}

// withManyLines returns the head of a request with a body, and with many short lines.
func withManyLines(r standin.Request, headSize, bodySize int) string {
	return withHeader(r, headerLines(headSize, headerShapes["short-names"])+fmt.Sprintf("Content-Length: %d\r\n", bodySize))
}

// withManyParts returns a request for a stream whose prompt has as many parts as a header holds.
func withManyParts() string {
	const firstPart, part = "aa:200,", "1:1,"
	r := ordinaryStream()
	r.PromptTokens += headerSize / len(part)
	return strings.Replace(r.Encode(), firstPart, firstPart+strings.Repeat(part, headerSize/len(part)), 1)
}

// sendParts sends prompts with very many parts. Every wholeOf-th member ends its body.
func sendParts(i int, w io.Writer) error {
	text := withManyParts()
	if i%wholeOf != 0 {
		text = text[:len(text)-1]
	}
	_, err := io.WriteString(w, text)
	return err
}

// body is the end of a request whose header has been sent: the pieces that are written one after the other.
// last completes it.
type body struct {
	pieces []string
	last   string
}

// bodyOf splits a body with a length into pieces. All but its last byte are sent by every member.
func bodyOf(size, piece int) body {
	text := strings.Repeat("x", size-1)
	var b body
	for len(text) > 0 {
		n := min(piece, len(text))
		b.pieces, text = append(b.pieces, text[:n]), text[n:]
	}
	b.last = "x"
	return b
}

// chunksOf returns a chunked body. All but its last chunk, which is empty, are sent by every member.
func chunksOf(size, chunk, chunksInPiece int) body {
	var b body
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	for n := 0; n < size; n += chunk * chunksInPiece {
		b.pieces = append(b.pieces, strings.Repeat(one, chunksInPiece))
	}
	b.last = "0\r\n\r\n"
	return b
}

// sendBody returns a sender of a header and a body. Every wholeOf-th member completes its body.
func sendBody(head func() string, b body, pause time.Duration) sender {
	return func(i int, w io.Writer) error {
		if _, err := io.WriteString(w, head()); err != nil {
			return err
		}
		for _, piece := range b.pieces {
			if _, err := io.WriteString(w, piece); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		if i%wholeOf != 0 {
			return nil
		}
		_, err := io.WriteString(w, b.last)
		return err
	}
}

// drip is a body of which a byte is sent at a time.
func drip(size int) body {
	var b body
	for range size - 1 {
		b.pieces = append(b.pieces, "x")
	}
	b.last = "x"
	return b
}

// sendNothing is a sender that stays silent.
func sendNothing(int, io.Writer) error { return nil }

func (b *body) text() string { return strings.Join(b.pieces, "") + b.last }
