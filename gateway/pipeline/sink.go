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
	// setAttempt sets the attempt that the next tokens come from.
	setAttempt(e directory.Entry)
	// writeToken takes one token. hash is the rolling hash up to and including this token.
	writeToken(now time.Time, index int, text []byte, hash uint64)
}

// newSink returns the sink for an exchange.
func newSink(x *Exchange) sink {
	if x.events == nil {
		return journalOnly{}
	}
	return x.events
}

// journalOnly is the sink for an answer that is sent at once at the end: the journal holds its
// text.
type journalOnly struct{}

func (journalOnly) setAttempt(directory.Entry)                {}
func (journalOnly) writeToken(time.Time, int, []byte, uint64) {}

// eventStream writes server-sent events in the form of the completions protocol. The event of each
// token has a cursor as its id. It allocates nothing for a token.
type eventStream struct {
	x             *Exchange
	key           []byte
	control       *http.ResponseController
	cursors       *cursor.Encoder
	head          cursor.Head
	chunkPrefix   []byte // chunk up to the opening quote of the text
	chunkSuffix   []byte
	buf           []byte
	broken        bool
	writeFailed   chan struct{} // closed when a write to the caller fails
	lastWriteAt   time.Time     // time of the last write
	writeTimeout  time.Duration
	writeDeadline time.Time // deadline that is set on the connection
}

func newEventStream(d *Deps, x *Exchange) *eventStream {
	return &eventStream{
		x: x, writeFailed: make(chan struct{}), key: []byte(d.Settings.Keys.Cursor), control: http.NewResponseController(x.W),
		writeTimeout: d.Settings.Callers.WriteTimeout, lastWriteAt: x.Received,
		head: cursor.Head{Team: x.Team.Name, Deployment: x.Deployment.Name, Request: x.Generation.hash},
	}
}

// chunk is the JSON of one event in the completions protocol.
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

// setText sets the text in the field that the form uses for it.
func (c *chunk) setText(form Form, text string) {
	if form == Chat {
		c.Choices[0].Delta = &delta{Content: &text}
	} else {
		c.Choices[0].Text = &text
	}
}

func (c *chunk) marshal() []byte {
	raw, err := json.Marshal(c)
	if err != nil { // can't happen: strings and numbers can always be encoded
		panic(err)
	}
	return raw
}

// split returns the encoded chunk up to its text and after it. The quotes around the text are in
// neither part.
func (c *chunk) split() (before, after []byte) {
	const placeholder = "\x00"
	form := Completion
	if c.Object != "text_completion" {
		form = Chat
	}
	c.setText(form, placeholder)
	raw := c.marshal()
	quoted, _ := json.Marshal(placeholder)
	for i := 0; i+len(quoted) <= len(raw); i++ {
		if string(raw[i:i+len(quoted)]) == string(quoted) {
			return raw[:i], append(append([]byte(nil), raw[i+len(quoted):]...), "\n\n"...)
		}
	}
	return raw, nil
}

func (e *eventStream) setAttempt(d directory.Entry) {
	e.head.Attempt, e.head.Endpoint, e.head.Stream = d.Place.Attempt, d.Place.Endpoint, d.Place.Stream
	e.head.Model, e.head.Version, e.head.Generation = d.Model, d.Version, d.Generation
	if e.cursors == nil {
		e.chunkPrefix, e.chunkSuffix = newChunk(e.x).split()
		e.cursors = cursor.NewEncoder(e.key, e.head)
		return
	}
	e.cursors.SetHead(e.head)
}

func (e *eventStream) writeToken(now time.Time, index int, text []byte, hash uint64) {
	if !e.x.responseStarted {
		e.writeHeader()
	}
	b := append(e.buf[:0], "id: "...)
	b = e.cursors.Append(b, index+1, hash)
	b = append(b, "\ndata: "...)
	b = append(b, e.chunkPrefix...)
	b = appendQuoted(b, text)
	b = append(b, e.chunkSuffix...)
	e.buf = b
	e.write(now, b)
}

// writeHeader sends the header of the response. It is delayed until the first event, so that a
// request that fails before has a status of its own.
func (e *eventStream) writeHeader() {
	e.x.responseStarted = true
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
	if now.Add(e.writeTimeout).After(e.writeDeadline) {
		e.writeDeadline = now.Add(2 * e.writeTimeout)
		_ = e.control.SetWriteDeadline(e.writeDeadline) // not every writer supports deadlines
	}
	e.lastWriteAt = now
	_, err := e.x.W.Write(b)
	if err == nil {
		err = e.control.Flush()
	}
	if err != nil {
		e.broken = true
		close(e.writeFailed)
	}
}

// keepalive writes a comment if nothing was written for the given time, so that the caller can tell
// a slow answer from a dead connection.
func (e *eventStream) keepalive(now time.Time, after time.Duration) {
	if now.Sub(e.lastWriteAt) < after-after/10 { // tolerates a tick that is slightly early
		return
	}
	if !e.x.responseStarted {
		e.writeHeader()
	}
	e.write(now, []byte(": keepalive\n\n"))
}

// writeEnd writes the last events: the finish reason, the usage if the caller asked for it, and the
// end marker.
func (e *eventStream) writeEnd(now time.Time, reason string, tokens, prompt int) {
	if !e.x.responseStarted {
		e.writeHeader()
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

// writeError writes an error as an event of a stream that has been started.
func (e *eventStream) writeError(now time.Time, body []byte) {
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
