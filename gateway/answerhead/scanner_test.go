package answerhead

import (
	"bufio"
	"bytes"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"
)

const statusLine = "HTTP/1.1 200 OK\r\n"

// TestScan checks what counts as a malformed head, and how many bytes are before the malformed line.
func TestScan(t *testing.T) {
	for _, c := range []struct {
		answer string
		sound  int // bytes before the malformed line; -1 for all
		err    error
	}{
		{statusLine + "A: 1\r\n\r\nbody: \x01 x y", -1, nil},
		{statusLine + "\r\n", -1, nil},
		{"HTTP/1.1 200 OK\nA: 1\n\n \x01", -1, nil},
		{"HTTP/1.1  200\r\nA:1\r\nB:\r\n\r\n", -1, nil},
		{"HTTP/1.1\r\nA B", len("HTTP/1.1\r\n"), ErrMalformed},
		{"HTTP/1.1 \nA B", len("HTTP/1.1 \n"), ErrMalformed},
		{statusLine + "A: a b \x01\r\n", -1, nil}, // values are checked by their reader
		{statusLine + "!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n", -1, nil},
		{statusLine + "A B: 1\r\n\r\n", len(statusLine), ErrMalformed},
		{statusLine + "A : 1\r\n\r\n", len(statusLine), ErrMalformed},
		{statusLine + "A\t: 1\r\n\r\n", len(statusLine), ErrMalformed},
		{statusLine + "A: 1\r\nB\x00: 1\r\n\r\n", len(statusLine) + 6, ErrMalformed},
		{statusLine + "\x7f: 1\r\n\r\n", len(statusLine), ErrMalformed},
		{statusLine + "\xe9: 1\r\n\r\n", len(statusLine), ErrMalformed},
		{statusLine + ": 1\r\n\r\n", len(statusLine), ErrMalformed},
		{statusLine + "A\r\n\r\n", len(statusLine), ErrMalformed},
		{statusLine + "A\n", len(statusLine), ErrMalformed},
		{statusLine + "\rA: 1\r\n", len(statusLine), ErrMalformed},
		{statusLine + "A: 1\r\n b\r\n\r\n", len(statusLine) + 6, ErrMalformed},
		{statusLine + "A: 1\r\n\tb\r\n\r\n", len(statusLine) + 6, ErrMalformed},
		{statusLine + " A: 1\r\n\r\n", len(statusLine), ErrMalformed},
		{"HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n" + statusLine + "\r\n \x01", -1, nil},
		{"HTTP/1.1 103 Early Hints\r\n\r\n" + statusLine + "A B: 1\r\n\r\n", len("HTTP/1.1 103 Early Hints\r\n\r\n" + statusLine), ErrMalformed},
	} {
		if c.sound < 0 {
			c.sound = len(c.answer)
		}
		var whole, pieces scanner
		sound, err := whole.scan([]byte(c.answer))
		assert.Check(t, errors.Is(err, c.err), "%q: %v", c.answer, err)
		assert.Check(t, sound == c.sound, "%q: %d sound bytes, %v", c.answer, sound, err)
		err = nil
		for i := 0; i < len(c.answer) && err == nil; i++ {
			_, err = pieces.scan([]byte(c.answer[i : i+1]))
		}
		assert.Check(t, errors.Is(err, c.err), "%q in pieces: %v", c.answer, err)
	}
}

// TestReader checks that the error of a malformed head stays until the next head is expected, of which a part may have
// been read before.
func TestReader(t *testing.T) {
	malformed := statusLine + "A B: 1\r\n\r\n"
	r := &Reader{R: strings.NewReader(malformed)}
	buffered := bufio.NewReader(r)
	for range 3 {
		_, err := http.ReadResponse(buffered, nil)
		assert.ErrorIs(t, err, ErrMalformed)
	}
	assert.NilError(t, r.Expect([]byte(statusLine)))
	assert.ErrorIs(t, r.Expect([]byte(malformed)), ErrMalformed)
}

// TestRandomHeads checks that no answer that is read through a [Reader] has a malformed name, and that answers without one
// are read as they are without it.
func TestRandomHeads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	parts := []string{"A", "Content-Length", "Transfer-Encoding", " ", "\t", ":", ": ", "\r\n", "\n", "\r", "\x00", "\x7f", "1", "chunked", "\r\n\r\n", "\xe9", "HTTP/1.1 100 C\r\n\r\n", "A: 1\r\n", "A B: 1\r\n", "\r\n ", " : "}
	read, rejected := 0, 0
	for range 20_000 {
		answer := statusLine
		for range 1 + random.IntN(8) {
			answer += parts[random.IntN(len(parts))]
		}
		answer += "\r\n\r\n"
		plain, plainErr := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
		checked, err := http.ReadResponse(bufio.NewReader(iotest.OneByteReader(&Reader{R: strings.NewReader(answer)})), nil)
		if err == nil {
			read++
			assert.NilError(t, plainErr, "%q", answer)
			assert.DeepEqual(t, checked.Header, plain.Header)
			for name := range checked.Header {
				assert.Assert(t, httpguts.ValidHeaderFieldName(name), "%q: %q", answer, name)
			}
		} else if plainErr == nil {
			rejected++
			head, _, _ := strings.Cut(strings.ReplaceAll(answer, "\r\n", "\n"), "\n\n")
			assert.Assert(t, strings.ContainsAny(head[len(statusLine)-1:], " \t"), "%q: %v", answer, err)
		}
	}
	assert.Assert(t, read > 500 && rejected > 500, "%d read, %d rejected", read, rejected)
}

// TestCheckTrailer checks that a trailer counts as malformed if one of its names is.
func TestCheckTrailer(t *testing.T) {
	assert.NilError(t, CheckTrailer(nil))
	assert.NilError(t, CheckTrailer(http.Header{"A": {"1"}, "B-C": nil}))
	for _, name := range []string{"", "A B", "A ", " A", "A\t", "A\x01", strings.Repeat("A ", 1000)} {
		err := CheckTrailer(http.Header{"A": {"1"}, name: {"1"}})
		assert.ErrorIs(t, err, ErrMalformed)
		assert.Assert(t, len(err.Error()) < 100, "%v", err)
	}
}

// BenchmarkScan measures the check of a common head, without an allocation, beside its parser.
func BenchmarkScan(b *testing.B) {
	head := []byte(statusLine + "X-Request-Id: 9c41d07be2a35f68\r\nX-Endpoint-Id: e-7f3a91c2\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"X-Load: 3,0,8\r\nContent-Type: application/json\r\nContent-Length: 2\r\nDate: Mon, 07 Dec 2026 10:00:00 GMT\r\n\r\n")
	b.Run("scan", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var s scanner
			if _, err := s.scan(head); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parse", func(b *testing.B) {
		b.ReportAllocs()
		source := bytes.NewReader(nil)
		r := bufio.NewReader(source)
		for b.Loop() {
			source.Reset(head)
			r.Reset(source)
			if _, err := http.ReadResponse(r, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
}
