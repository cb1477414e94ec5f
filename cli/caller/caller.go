// Package caller is the reference client of the system. It asks an instance which addresses to use
// and caches the answer for its TTL. If the connection to an instance is lost, it resumes the
// stream at another instance with the cursor of the last event. After a refusal it waits at least
// as long as the refusal says; a refusal without a time to retry is final.
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

	"github.com/agateway/agateway/gateway/answerhead"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/pipeline"
)

// Options configure a client.
type Options struct {
	// Entries are the addresses of instances that are asked which addresses to use. They are also
	// used when no other address works.
	Entries []string
	// Key is the team's key.
	Key string
	// DataCentre is the data centre whose instances are preferred; empty for the data centre of the
	// instance that answers.
	DataCentre string
	// IdleTimeout is how long nothing may arrive on a stream before it is treated as lost; comment
	// lines count as data. 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// FixedEntries makes the client use Entries as they are, without asking for others.
	FixedEntries bool
	// Network makes the connections; nil for TCP.
	Network network.Network
}

// DefaultIdleTimeout suits instances that send a comment each second.
const DefaultIdleTimeout = 2500 * time.Millisecond

// Client sends requests to instances. It is safe for concurrent use.
type Client struct {
	opt  Options
	http *http.Client

	mu                sync.Mutex
	addresses         []string
	addressesExpireAt time.Time
	avoidUntil        map[string]time.Time // addresses that failed lately, and until when not to use them
}

// New returns a client. It makes no connections yet.
func New(opt Options) *Client {
	if opt.IdleTimeout == 0 {
		opt.IdleTimeout = DefaultIdleTimeout
	}
	if opt.Network == nil {
		opt.Network = network.TCP{}
	}
	const connect = time.Second
	t := &http.Transport{DialContext: network.DialerWithTimeout(opt.Network, connect), DisableKeepAlives: true}
	return &Client{opt: opt, http: &http.Client{Transport: answerhead.NewTransport(t)}, avoidUntil: map[string]time.Time{}}
}

// Request describes a generation.
type Request struct {
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
	// IdempotencyKey lets a request be sent again without a cursor; empty for none.
	IdempotencyKey string
	// Timeout limits the whole generation, retries included.
	Timeout time.Duration
	// OnToken is called for each token; it may be nil.
	OnToken func(text string)
	// NoCursor makes the client retry by key only. It discards what it has received.
	NoCursor bool
	// NoRetry makes every refusal final.
	NoRetry bool
	// SendTokens makes the client send the tokens it has received along with its cursor, so that
	// they need not be generated again if the engine is lost too.
	SendTokens bool
}

// Answer is the result of a generation.
type Answer struct {
	// ID is "cmpl-" and the ID of the generation.
	ID           string
	Text         string
	Tokens       int
	FinishReason string
	// Resumes counts the attempts after a lost connection.
	Resumes int
	// FirstToken is the time from the start of the request to the first token.
	FirstToken time.Duration
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	// TokenTimes are the times at which the tokens arrived.
	TokenTimes []time.Time
}

// errLost means that the connection failed or broke off, or that no address is usable.
var errLost = errors.New("connection lost")

const (
	maxAttempts    = 12
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	avoidFor       = 5 * time.Second
)

// Generate runs a generation, with at most maxAttempts attempts. If it fails, the answer holds what
// was received, and the error is a *Refusal or a lost connection, see IsLost.
func (c *Client) Generate(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	g := &generation{c: c, r: r, startedAt: time.Now(), answer: &Answer{}}
	backoff := initialBackoff
	var err error
	for range maxAttempts {
		err = g.attempt(ctx)
		if err == nil {
			return g.answer, nil
		}
		wait, retry := g.retryDelay(err, backoff)
		if !retry || ctx.Err() != nil {
			return g.answer, err
		}
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return g.answer, err
		}
	}
	return g.answer, err
}

// generation is one generation in progress.
type generation struct {
	c              *Client
	r              Request
	startedAt      time.Time
	answer         *Answer
	text           strings.Builder
	tokens         []string
	cursor         string
	lastTokenAt    time.Time
	connectionLost bool
}

// retryDelay returns how long to wait before the next attempt, and whether to make one. A lost
// connection is retried at once, unless there are tokens without a cursor to resume from.
func (g *generation) retryDelay(err error, backoff time.Duration) (time.Duration, bool) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		g.connectionLost = true
		return 0, g.cursor != "" || g.answer.Tokens == 0
	}
	if g.r.NoRetry || refusal.RetryAfter == 0 || refusal.Code == "cannot_continue" {
		return 0, false
	}
	return max(backoff, refusal.RetryAfter), true
}

// attempt makes one attempt at the best address.
func (g *generation) attempt(ctx context.Context) error {
	address, err := g.c.pickAddress(ctx)
	if err != nil {
		return err
	}
	if g.connectionLost {
		g.connectionLost = false
		g.answer.Resumes++
	}
	err = g.openStream(ctx, address)
	if err != nil {
		g.c.markFailed(address, err)
	}
	return err
}

func (g *generation) body() []byte {
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

// openStream sends the request to an instance and reads its events until the end of the stream.
func (g *generation) openStream(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(g.body()))
	if err != nil {
		return err
	}
	h := req.Header
	h.Set("Authorization", "Bearer "+g.c.opt.Key)
	h.Set("Content-Type", "application/json")
	h.Set(pipeline.HeaderDeadline, strconv.FormatInt((g.r.Timeout-time.Since(g.startedAt)).Milliseconds(), 10))
	if g.r.IdempotencyKey != "" {
		h.Set(pipeline.HeaderIdempotencyKey, g.r.IdempotencyKey)
	}
	switch {
	case g.r.NoCursor:
		g.discardReceived()
	case g.cursor != "":
		h.Set(pipeline.HeaderLastEventID, g.cursor)
	}
	idleTimer := time.AfterFunc(g.c.opt.IdleTimeout, cancel)
	defer idleTimer.Stop()
	resp, err := g.c.http.Do(req)
	if err != nil {
		return errLost
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	return g.readEvents(resp.Body, idleTimer)
}

// discardReceived drops the tokens received so far, see Request.NoCursor.
func (g *generation) discardReceived() {
	g.text.Reset()
	g.tokens = nil
	g.answer.Tokens, g.answer.TokenTimes = 0, nil
}

// readEvents reads the server-sent events of a stream until its end. Each line resets the idle
// timer.
func (g *generation) readEvents(body io.Reader, idleTimer *time.Timer) error {
	r := bufio.NewReader(body)
	var id, event string
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return errLost
		}
		idleTimer.Reset(g.c.opt.IdleTimeout)
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
			done, err := g.handleData(event, id, value)
			if done || err != nil {
				return err
			}
		}
	}
}

// chunk is an event of the streaming completions protocol.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// handleData handles one data line. It reports whether the stream has ended.
func (g *generation) handleData(name, id, value string) (done bool, err error) {
	if name == "error" {
		return true, parseRefusal([]byte(value), http.StatusOK, nil)
	}
	if value == "[DONE]" {
		g.answer.Text = g.text.String()
		return true, nil
	}
	var e chunk
	if err := json.Unmarshal([]byte(value), &e); err != nil || len(e.Choices) == 0 {
		return false, nil // an event without text
	}
	if e.Choices[0].FinishReason != nil {
		g.answer.FinishReason = *e.Choices[0].FinishReason
		return false, nil
	}
	g.cursor, g.answer.ID = id, e.ID
	g.addToken(e.Choices[0].Text)
	return false, nil
}

func (g *generation) addToken(text string) {
	now := time.Now()
	if g.answer.Tokens == 0 {
		g.answer.FirstToken = now.Sub(g.startedAt)
	} else {
		g.answer.LongestGap = max(g.answer.LongestGap, now.Sub(g.lastTokenAt))
	}
	g.lastTokenAt = now
	g.answer.Tokens++
	g.answer.TokenTimes = append(g.answer.TokenTimes, now)
	g.text.WriteString(text)
	g.tokens = append(g.tokens, text)
	g.answer.Text = g.text.String()
	if g.r.OnToken != nil {
		g.r.OnToken(text)
	}
}
