package cursor

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	key  = []byte("0123456789abcdef")
	head = Head{Team: "almaty-desk", Deployment: "brief-llm", Generation: "g", Request: 1 << 63, Attempt: 3, Endpoint: "e", Stream: "s"}
)

// A cursor decodes to the head, index and hash that it was made from.
func TestRoundTrip(t *testing.T) {
	e := NewEncoder(key, head)
	for _, index := range []int{0, 1, 70000} {
		c, err := Decode(key, string(e.Append(nil, index, uint64(index)*7)))
		assert.NilError(t, err)
		assert.Equal(t, c, Cursor{Head: head, Index: index, Hash: uint64(index) * 7})
	}
}

// A caller must not be able to continue a generation of another team. Cursors that were changed, or
// signed with another key, are refused.
func TestForgedCursorsAreRefused(t *testing.T) {
	good := string(NewEncoder(key, head).Append(nil, 5, 9))
	other := head
	other.Team = "karaganda-desk"
	foreign := string(NewEncoder(key, other).Append(nil, 5, 9))
	foreignHead, _, _ := strings.Cut(foreign, ".")
	_, goodTail, _ := strings.Cut(good, ".")
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"empty":        {"", ErrMalformed},
		"no dot":       {"abc", ErrMalformed},
		"short tail":   {good[:len(good)-4], ErrMalformed},
		"other key":    {string(NewEncoder([]byte("another key 0123"), head).Append(nil, 5, 9)), ErrSignature},
		"changed head": {foreignHead + "." + goodTail, ErrSignature},
		"changed tail": {good[:len(good)-38] + "AAAA" + good[len(good)-34:], ErrSignature},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(key, c.text)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}

// No text but those signed for head may decode.
func FuzzDecode(f *testing.F) {
	f.Add(string(NewEncoder(key, head).Append(nil, 5, 9)))
	f.Add("a.b")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Decode(key, text)
		if err == nil && c.Head != head {
			t.Fatalf("accepted %q as %v", text, c)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	e := NewEncoder(key, head)
	buf := make([]byte, 0, 512)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		buf = e.Append(buf[:0], i, uint64(i))
		i++
	}
}
