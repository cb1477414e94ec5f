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
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/agateway/agateway/gateway/callers"
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
	t := &http.Transport{DialContext: network.Within(opt.Network, connect), DisableKeepAlives: true}
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

// Refusal is an error that the system answered with.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	Field      string
	Ran        string
	RetryAfter time.Duration
	Valid      *int
}

// Error returns the text.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s (ran: %s)", r.Code, r.Message, r.Ran) }

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
	if refusal.RetryAfter == 0 || refusal.Code == "cannot_continue" {
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
		h.Set(pipeline.HeaderKey, g.r.IdempotencyKey)
	}
	switch {
	case g.r.NoCursor:
		g.restart()
	case g.cursor != "":
		h.Set(pipeline.HeaderLastEvent, g.cursor)
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

// refusalBody is the system's error body.
type refusalBody struct {
	Error struct {
		Code       string  `json:"code"`
		Message    string  `json:"message"`
		Field      string  `json:"field"`
		Ran        string  `json:"ran"`
		RetryAfter float64 `json:"retry_after_s"`
		Valid      *int    `json:"valid_tokens"`
	} `json:"error"`
}

func readRefusal(resp *http.Response) error {
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errLost
	}
	return parseRefusal(raw, resp.StatusCode, resp.Header)
}

func parseRefusal(raw []byte, status int, _ http.Header) error {
	var b refusalBody
	if err := json.Unmarshal(raw, &b); err != nil || b.Error.Code == "" {
		return &Refusal{Status: status, Code: "unreadable", Message: string(raw), Ran: "unknown"}
	}
	return &Refusal{
		Status: status, Code: b.Error.Code, Message: b.Error.Message, Field: b.Error.Field, Ran: b.Error.Ran,
		RetryAfter: time.Duration(b.Error.RetryAfter * float64(time.Second)), Valid: b.Error.Valid,
	}
}

// Entry asks an instance which addresses to use.
func (c *Client) Entry(ctx context.Context, address string) (*callers.Entry, error) {
	url := "http://" + address + "/v1/entry?data_centre=" + c.opt.DataCentre
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var e callers.Entry
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return nil, err
	}
	return &e, nil
}

// address returns the address to use now: the best known one that did not fail lately.
func (c *Client) address(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.opt.Fixed && time.Now().After(c.until) {
		c.refresh(ctx)
	}
	for _, list := range [][]string{c.known, c.opt.Entries} {
		for _, a := range list {
			if time.Now().After(c.bad[a]) {
				c.rotate(a)
				return a, nil
			}
		}
	}
	c.until, c.bad = time.Time{}, map[string]time.Time{} // all failed: try them again
	return "", errLost
}

// rotate moves an address that was given out to the end, so that one client's requests
// spread over the fleet.
func (c *Client) rotate(address string) {
	for i, a := range c.known {
		if a == address {
			c.known = append(append(c.known[:i:i], c.known[i+1:]...), a)
			return
		}
	}
}

func (c *Client) refresh(ctx context.Context) {
	const timeout = time.Second
	for _, a := range append(append([]string(nil), c.known...), c.opt.Entries...) {
		if time.Now().Before(c.bad[a]) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		e, err := c.Entry(callCtx, a)
		cancel()
		if err != nil || len(e.Addresses) == 0 {
			c.bad[a] = time.Now().Add(badFor)
			continue
		}
		c.known = c.known[:0]
		for _, x := range e.Addresses {
			c.known = append(c.known, x.Address)
		}
		c.until = time.Now().Add(time.Duration(e.KeepSeconds * float64(time.Second)))
		return
	}
}

func (c *Client) markBad(address string, err error) {
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.Code != "draining" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bad[address] = time.Now().Add(badFor)
}
