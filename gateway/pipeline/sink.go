package pipeline

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/agateway/agateway/core/cursor"
	"github.com/agateway/agateway/core/directory"
)

// sink takes the accepted tokens of a generation.
type sink interface {
	// attempt tells which attempt the next tokens come from.
	attempt(e directory.Entry)
	// token takes one token; hash is the rolling hash including it.
	token(now time.Time, index int, text []byte, hash uint64)
}

// newSink returns the sink for an exchange.
func newSink(x *Exchange) sink {
	if x.events == nil {
		return journalOnly{}
	}
	return x.events
}

// journalOnly is the sink of an answer that is sent whole, from the journal.
type journalOnly struct{}

func (journalOnly) attempt(directory.Entry)              {}
func (journalOnly) token(time.Time, int, []byte, uint64) {}

// eventStream writes server-sent events in the form of the completions protocol. Each has
// a cursor as id. It allocates nothing for a token.
type eventStream struct {
	x       *Exchange
	key     []byte
	control *http.ResponseController
	cursors *cursor.Encoder
	head    cursor.Head
	before  []byte // of a chunk, up to the text
	after   []byte
	buf     []byte
	broken  bool
	lost    chan struct{} // closed when the caller can't be written to any more
	last    time.Time     // of the last write
	limit   time.Duration
	limitAt time.Time // write deadline in force
}

func newEventStream(d *Deps, x *Exchange) *eventStream {
	return &eventStream{
		x: x, lost: make(chan struct{}), key: []byte(d.Settings.Keys.Cursor), control: http.NewResponseController(x.W),
		limit: d.Settings.Callers.WriteTimeout, last: x.Received,
		head: cursor.Head{Team: x.Team.Name, Deployment: x.Deployment.Name, Request: x.Generation.hash},
	}
}

// chunk is an event in the form of the completions protocol.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func newChunk(x *Exchange) *chunk {
	c := &chunk{ID: answerID(x), Object: "text_completion", Created: x.Received.Unix(), Model: modelName(x), Choices: []chunkChoice{{}}}
	if x.Form == Chat {
		c.Object = "chat.completion.chunk"
	}
	return c
}

func answerID(x *Exchange) string {
	if x.Form == Chat {
		return "chatcmpl-" + x.entry.Generation
	}
	return "cmpl-" + x.entry.Generation
}

func modelName(x *Exchange) string {
	if x.Generation.Adapter == "" {
		return x.Generation.Model
	}
	return x.Generation.Model + ":" + x.Generation.Adapter
}

// setText puts text where the form has it.
func (c *chunk) setText(form Form, text string) {
	if form == Chat {
		c.Choices[0].Delta = &delta{Content: &text}
	} else {
		c.Choices[0].Text = &text
	}
}

func (c *chunk) marshal() []byte {
	raw, err := json.Marshal(c)
	if err != nil { // strings and numbers always encode
		panic(err)
	}
	return raw
}

// split returns a chunk's bytes before and after its text, quotes left out.
func (c *chunk) split() (before, after []byte) {
	const mark = "\x00"
	form := Completion
	if c.Object != "text_completion" {
		form = Chat
	}
	c.setText(form, mark)
	raw := c.marshal()
	quoted, _ := json.Marshal(mark)
	for i := 0; i+len(quoted) <= len(raw); i++ {
		if string(raw[i:i+len(quoted)]) == string(quoted) {
			return raw[:i], append(append([]byte(nil), raw[i+len(quoted):]...), "\n\n"...)
		}
	}
	return raw, nil
}

func (e *eventStream) attempt(d directory.Entry) {
	e.head.Attempt, e.head.Endpoint, e.head.Stream = d.Place.Attempt, d.Place.Endpoint, d.Place.Stream
	e.head.Model, e.head.Version, e.head.Generation = d.Model, d.Version, d.Generation
	if e.cursors == nil {
		e.before, e.after = newChunk(e.x).split()
		e.cursors = cursor.NewEncoder(e.key, e.head)
		return
	}
	e.cursors.SetHead(e.head)
}

func (e *eventStream) token(now time.Time, index int, text []byte, hash uint64) {
	if !e.x.answered {
		e.begin()
	}
	b := append(e.buf[:0], "id: "...)
	b = e.cursors.Append(b, index+1, hash)
	b = append(b, "\ndata: "...)
	b = append(b, e.before...)
	b = appendQuoted(b, text)
	b = append(b, e.after...)
	e.buf = b
	e.write(now, b)
}

// begin sends the header. It is not sent before there is something to say, so that a
// request that fails before that gets a status of its own.
func (e *eventStream) begin() {
	e.x.answered = true
	h := e.x.W.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	e.x.W.WriteHeader(http.StatusOK)
}

func (e *eventStream) write(now time.Time, b []byte) {
	if e.broken {
		return
	}
	if now.Add(e.limit).After(e.limitAt) {
		e.limitAt = now.Add(2 * e.limit)
		_ = e.control.SetWriteDeadline(e.limitAt) // not every writer has deadlines
	}
	e.last = now
	_, err := e.x.W.Write(b)
	if err == nil {
		err = e.control.Flush()
	}
	if err != nil {
		e.broken = true
		close(e.lost)
	}
}

// idle writes a comment when nothing was written for a while, so that the caller can tell
// a slow answer from a dead connection.
func (e *eventStream) idle(now time.Time, after time.Duration) {
	if now.Sub(e.last) < after-after/10 { // a tick that is a little early counts
		return
	}
	if !e.x.answered {
		e.begin()
	}
	e.write(now, []byte(": keepalive\n\n"))
}

// end writes the last events.
func (e *eventStream) end(now time.Time, reason string, tokens, prompt int) {
	if !e.x.answered {
		e.begin()
	}
	c := newChunk(e.x)
	c.setText(e.x.Form, "")
	c.Choices[0].FinishReason = &reason
	b := append(append([]byte("data: "), c.marshal()...), "\n\n"...)
	if e.x.Generation.IncludeUsage {
		u := newChunk(e.x)
		u.Choices = []chunkChoice{}
		u.Usage = &usage{Prompt: prompt, Completion: tokens, Total: prompt + tokens}
		b = append(append(append(b, "data: "...), u.marshal()...), "\n\n"...)
	}
	e.write(now, append(b, "data: [DONE]\n\n"...))
}

// fail writes an error into a stream that has begun.
func (e *eventStream) fail(now time.Time, body []byte) {
	b := append(append([]byte("event: error\ndata: "), body...), "\n\n"...)
	e.write(now, b)
}

// appendQuoted appends text as a JSON string.
func appendQuoted(dst, text []byte) []byte {
	plain := utf8.Valid(text)
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			plain = false
			break
		}
	}
	if !plain {
		raw, _ := json.Marshal(string(text))
		return append(dst, raw...)
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}
