// Package caller is a caller of the system as it should be written: it asks for an entry
// address, keeps the answer a while, goes on at another instance when its own is lost,
// with the cursor of the last event, and takes a refusal's word on when to come back.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/pipeline"
)

// Options of a client.
type Options struct {
	// Entries are addresses of instances to ask for others.
	Entries []string
	// Key is the team's key.
	Key string
	// DataCentre is preferred in the answers; empty for the answering instance's.
	DataCentre string
	// Silence is how long a stream may carry nothing, comments included, before it is
	// taken for lost.
	Silence time.Duration
	// Fixed makes the client use Entries as they are, without asking for others.
	Fixed bool
	// Network is how to connect; nil for TCP.
	Network network.Network
}

// DefaultSilence suits instances that send a comment each second.
const DefaultSilence = 2500 * time.Millisecond

// Client is a caller. It is safe for concurrent use.
type Client struct {
	opt  Options
	http *http.Client

	mu    sync.Mutex
	known []string
	until time.Time
	bad   map[string]time.Time // addresses that failed lately
}

// New returns a client.
func New(opt Options) *Client {
	if opt.Silence == 0 {
		opt.Silence = DefaultSilence
	}
	if opt.Network == nil {
		opt.Network = network.TCP{}
	}
	const connect = time.Second
	t := &http.Transport{DialContext: network.DialerWithTimeout(opt.Network, connect), DisableKeepAlives: true}
	return &Client{opt: opt, http: &http.Client{Transport: t}, bad: map[string]time.Time{}}
}

// Request is a generation to ask for.
type Request struct {
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
	// IdempotencyKey lets a request be asked again without its cursor; empty for none.
	IdempotencyKey string
	// Deadline is how long the whole may take.
	Deadline time.Duration
	// Token is called for each token; it may be nil.
	Token func(text string)
	// NoCursor makes the client ask again by key only.
	NoCursor bool
	// Once makes the client take a refusal as it is, without asking again.
	Once bool
	// SendTokens makes the client send the tokens it holds along with its cursor, so that
	// they need not be generated again when the engine is gone too.
	SendTokens bool
}

// Answer is a generation's result.
type Answer struct {
	// ID is the answer's name, "cmpl-" and the generation's.
	ID     string
	Text   string
	Tokens int
	Reason string
	// Resumes counts how often the client went on at another instance.
	Resumes    int
	FirstToken time.Duration
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	// Times are when the tokens came.
	Times []time.Time
}

// errLost means that the instance or the connection was lost.
var errLost = errors.New("connection lost")

const (
	mostTries  = 12
	pauseFirst = 50 * time.Millisecond
	pauseMost  = time.Second
	badFor     = 5 * time.Second
)

// Generate asks for a generation, and goes on elsewhere as often as needed.
func (c *Client) Generate(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	g := &generate{c: c, r: r, began: time.Now(), answer: &Answer{}}
	pause := pauseFirst
	var err error
	for range mostTries {
		err = g.attempt(ctx)
		if err == nil {
			return g.answer, nil
		}
		wait, again := g.again(err, pause)
		if !again || ctx.Err() != nil {
			return g.answer, err
		}
		pause = min(2*pause, pauseMost)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return g.answer, err
		}
	}
	return g.answer, err
}

// generate is one generation in progress.
type generate struct {
	c      *Client
	r      Request
	began  time.Time
	answer *Answer
	text   strings.Builder
	tokens []string
	cursor string
	last   time.Time
	lost   bool
}

// again tells whether to ask again, and after what pause.
func (g *generate) again(err error, pause time.Duration) (time.Duration, bool) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		g.lost = true
		return 0, g.cursor != "" || g.answer.Tokens == 0
	}
	if g.r.Once || refusal.RetryAfter == 0 || refusal.Code == "cannot_continue" {
		return 0, false
	}
	return max(pause, refusal.RetryAfter), true
}

func (g *generate) attempt(ctx context.Context) error {
	address, err := g.c.address(ctx)
	if err != nil {
		return err
	}
	if g.lost {
		g.lost = false
		g.answer.Resumes++
	}
	err = g.stream(ctx, address)
	if err != nil {
		g.c.markBad(address, err)
	}
	return err
}

func (g *generate) body() []byte {
	body := map[string]any{
		"model": g.r.Model, "prompt": g.r.Prompt, "max_tokens": g.r.MaxTokens, "seed": g.r.Seed, "stream": true,
	}
	if g.r.SendTokens && g.cursor != "" {
		body["agateway_prefix"] = g.tokens
	}
	raw, err := json.Marshal(body)
	if err != nil { // strings and numbers always encode
		panic(err)
	}
	return raw
}

func (g *generate) stream(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(g.body()))
	if err != nil {
		return err
	}
	h := req.Header
	h.Set("Authorization", "Bearer "+g.c.opt.Key)
	h.Set("Content-Type", "application/json")
	h.Set(pipeline.HeaderDeadline, strconv.FormatInt((g.r.Deadline-time.Since(g.began)).Milliseconds(), 10))
	if g.r.IdempotencyKey != "" {
		h.Set(pipeline.HeaderIdempotencyKey, g.r.IdempotencyKey)
	}
	switch {
	case g.r.NoCursor:
		g.restart()
	case g.cursor != "":
		h.Set(pipeline.HeaderLastEventID, g.cursor)
	}
	silence := time.AfterFunc(g.c.opt.Silence, cancel)
	defer silence.Stop()
	resp, err := g.c.http.Do(req)
	if err != nil {
		return errLost
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	return g.read(resp.Body, silence)
}

// restart drops what was received, for a caller that keeps nothing.
func (g *generate) restart() {
	g.text.Reset()
	g.tokens = nil
	g.answer.Tokens, g.answer.Times = 0, nil
}

// read takes the events of a stream until its end.
func (g *generate) read(body io.Reader, silence *time.Timer) error {
	r := bufio.NewReader(body)
	var id, event string
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return errLost
		}
		silence.Reset(g.c.opt.Silence)
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "id":
			id = value
		case "event":
			event = value
		case "":
			event = ""
		case "data":
			done, err := g.data(event, id, value)
			if done || err != nil {
				return err
			}
		}
	}
}

// event is a chunk of the completions protocol.
type event struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (g *generate) data(name, id, value string) (done bool, err error) {
	if name == "error" {
		return true, parseRefusal([]byte(value), http.StatusOK, nil)
	}
	if value == "[DONE]" {
		g.answer.Text = g.text.String()
		return true, nil
	}
	var e event
	if err := json.Unmarshal([]byte(value), &e); err != nil || len(e.Choices) == 0 {
		return false, nil // nothing for us
	}
	if e.Choices[0].FinishReason != nil {
		g.answer.Reason = *e.Choices[0].FinishReason
		return false, nil
	}
	g.cursor, g.answer.ID = id, e.ID
	g.token(e.Choices[0].Text)
	return false, nil
}

func (g *generate) token(text string) {
	now := time.Now()
	if g.answer.Tokens == 0 {
		g.answer.FirstToken = now.Sub(g.began)
	} else {
		g.answer.LongestGap = max(g.answer.LongestGap, now.Sub(g.last))
	}
	g.last = now
	g.answer.Tokens++
	g.answer.Times = append(g.answer.Times, now)
	g.text.WriteString(text)
	g.tokens = append(g.tokens, text)
	g.answer.Text = g.text.String()
	if g.r.Token != nil {
		g.r.Token(text)
	}
}
