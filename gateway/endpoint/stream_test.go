package endpoint

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

type recorder struct {
	acks, keepalives, ends int
	tokens                 []string
}

func (r *recorder) Acked(*Ack)            { r.acks++ }
func (r *recorder) Token(_ int, t []byte) { r.tokens = append(r.tokens, string(t)) }
func (r *recorder) Keepalive()            { r.keepalives++ }
func (r *recorder) Ended(*End)            { r.ends++ }

const ackEvent = "event: ack\ndata: {\"generation\":\"g\",\"attempt\":1,\"stream\":\"s\",\"index\":0,\"hash\":\"0\"}\n\n"

func TestReceive(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		want   *errorx.Type
		tokens []string
	}{
		"whole":                  {ackEvent + "id: s:0\ndata: \"a\"\n\n: keepalive\n\nid: s:1\ndata: \"b\\n\\u00e9\"\n\nid: s:\nevent: end\ndata: {}\n\n", nil, []string{"a", "b\né"}},
		"carriage returns":       {"event: ack\r\ndata: {\"generation\":\"g\",\"attempt\":1,\"stream\":\"s\"}\r\n\r\nid: s:0\r\ndata: \"a\"\r\n\r\nid: s:\r\nevent: end\r\ndata: {}\r\n\r\n", nil, []string{"a"}},
		"unknown event":          {ackEvent + "event: news\ndata: 1\n\nid: s:\nevent: end\ndata: {}\n\n", nil, nil},
		"breaks off":             {ackEvent + "id: s:0\ndata: \"a\"\n", ErrBroken, nil},
		"token before ack":       {"id: s:0\ndata: \"a\"\n\n", ErrWrongRequest, nil},
		"token of another":       {ackEvent + "id: x:0\ndata: \"a\"\n\n", ErrWrongRequest, nil},
		"end of another":         {ackEvent + "id: x:\nevent: end\ndata: {}\n\n", ErrWrongRequest, nil},
		"ack of another":         {"event: ack\ndata: {\"generation\":\"h\",\"attempt\":1,\"stream\":\"s\"}\n\n", ErrWrongRequest, nil},
		"ack of another attempt": {"event: ack\ndata: {\"generation\":\"g\",\"attempt\":2,\"stream\":\"s\"}\n\n", ErrWrongRequest, nil},
		"no index":               {ackEvent + "id: s:x\ndata: \"a\"\n\n", ErrBroken, nil},
		"no string":              {ackEvent + "id: s:0\ndata: {\n\n", ErrBroken, nil},
		"fenced":                 {ackEvent + "event: fenced\ndata: {}\n\n", ErrFenced, nil},
		"line too long":          {ackEvent + "data: " + string(bytes.Repeat([]byte("x"), 2*readBufferBytes)) + "\n\n", ErrBroken, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			err := newStream(io.NopCloser(bytes.NewBufferString(c.text)), "g", 1).Receive(r)
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, r.ends, 1)
			} else {
				assert.Assert(t, errorx.IsOfType(err, c.want), "%v", err)
			}
			assert.DeepEqual(t, r.tokens, c.tokens)
		})
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(ackEvent + "id: s:0\ndata: \"a\"\n\n")
	f.Add("event: end\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := &recorder{}
		err := newStream(io.NopCloser(bytes.NewBufferString(text)), "g", 1).Receive(r)
		if err == nil && r.ends != 1 {
			t.Fatal("Receive returned no error without an end event")
		}
		if len(r.tokens) > 0 && r.acks == 0 {
			t.Fatal("token received before the acknowledgement")
		}
	})
}

// endlessReader yields head once and then repeats body forever.
type endlessReader struct {
	head, body []byte
	offset     int
}

func (e *endlessReader) Read(b []byte) (int, error) {
	if len(e.head) > 0 {
		n := copy(b, e.head)
		e.head = e.head[n:]
		return n, nil
	}
	n := copy(b, e.body[e.offset:])
	e.offset = (e.offset + n) % len(e.body)
	return n, nil
}

// limitedReceiver stops Receive after a number of tokens. It panics, since Receive has no other
// way to end early.
type limitedReceiver struct {
	recorder
	remaining int
}

func (s *limitedReceiver) Token(int, []byte) {
	if s.remaining--; s.remaining == 0 {
		panic(s)
	}
}

// BenchmarkReceive measures the parsing of one token.
func BenchmarkReceive(b *testing.B) {
	var body bytes.Buffer
	for i := range 100 {
		fmt.Fprintf(&body, "id: s:%d\ndata: \" token%d\"\n\n", i, i)
	}
	s := newStream(io.NopCloser(&endlessReader{head: []byte(ackEvent), body: body.Bytes()}), "g", 1)
	b.ReportAllocs()
	defer func() { _ = recover() }()
	_ = s.Receive(&limitedReceiver{remaining: b.N})
}
