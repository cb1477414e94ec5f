package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/agateway/agateway/gateway/callers"
	"github.com/agateway/agateway/gateway/pipeline"
)

// PlainRequest is a call to a plain service.
type PlainRequest struct {
	Service, Method, Path string
	Body                  []byte
	// Ticket or IdempotencyKey make the call run at most once; empty for none.
	Ticket, IdempotencyKey string
	Deadline               time.Duration
}

// PlainAnswer is a plain service's answer.
type PlainAnswer struct {
	Status int
	Body   []byte
	Ran    string
}

// Ticket asks for a ticket.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	address, err := c.address(ctx)
	if err != nil {
		return "", err
	}
	resp, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/tickets", nil, nil)
	if err != nil {
		c.markBad(address, err)
		return "", errLost
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusCreated {
		return "", readRefusal(resp)
	}
	var t callers.Ticket
	err = json.NewDecoder(resp.Body).Decode(&t)
	return t.Ticket, err
}

// AskTicket asks what became of a call under a ticket.
func (c *Client) AskTicket(ctx context.Context, ticket string) (*PlainAnswer, error) {
	address, err := c.address(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := c.send(ctx, http.MethodGet, "http://"+address+"/v1/tickets/"+ticket, nil, nil)
	if err != nil {
		c.markBad(address, err)
		return nil, errLost
	}
	return readPlain(resp)
}

func (c *Client) send(ctx context.Context, method, url string, body []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.opt.Key)
	for k, v := range header {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	return c.http.Do(req)
}

// Plain makes a call once. It does not ask again by itself: whether that is safe depends
// on the call.
func (c *Client) Plain(ctx context.Context, r PlainRequest) (*PlainAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	address, err := c.address(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := c.send(ctx, r.Method, "http://"+address+"/v1/services/"+r.Service+r.Path, r.Body, map[string]string{
		pipeline.HeaderTicket: r.Ticket, pipeline.HeaderIdempotencyKey: r.IdempotencyKey,
		pipeline.HeaderDeadline: strconv.FormatInt(r.Deadline.Milliseconds(), 10),
	})
	if err != nil {
		c.markBad(address, errLost)
		return nil, errLost
	}
	return readPlain(resp)
}

func readPlain(resp *http.Response) (*PlainAnswer, error) {
	defer resp.Body.Close()
	ran := resp.Header.Get(pipeline.HeaderRan)
	if resp.StatusCode >= http.StatusBadRequest && ran != "ran" {
		return nil, readRefusal(resp)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errLost
	}
	return &PlainAnswer{Status: resp.StatusCode, Body: raw, Ran: ran}, nil
}

// Lost tells whether an error means that the answer was lost on the way.
func Lost(err error) bool { return errors.Is(err, errLost) }
