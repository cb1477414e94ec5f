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

// PlainRequest describes a call to a plain service.
type PlainRequest struct {
	Service, Method, Path string
	Body                  []byte
	// Ticket or IdempotencyKey makes the call run at most once; empty for none.
	Ticket, IdempotencyKey string
	Timeout                time.Duration
}

// PlainAnswer is the answer of a plain service. Ran is what the system says about whether the call
// ran.
type PlainAnswer struct {
	Status int
	Body   []byte
	Ran    string
}

// Ticket gets a ticket, under which a call runs at most once.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	address, err := c.pickAddress(ctx)
	if err != nil {
		return "", err
	}
	resp, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/tickets", nil, nil)
	if err != nil {
		c.markFailed(address, err)
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

// TicketOutcome returns the outcome of the call under a ticket.
func (c *Client) TicketOutcome(ctx context.Context, ticket string) (*PlainAnswer, error) {
	address, err := c.pickAddress(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := c.send(ctx, http.MethodGet, "http://"+address+"/v1/tickets/"+ticket, nil, nil)
	if err != nil {
		c.markFailed(address, err)
		return nil, errLost
	}
	return readPlainAnswer(resp)
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

// CallPlain sends a call once. It never retries: whether that is safe depends on the call.
func (c *Client) CallPlain(ctx context.Context, r PlainRequest) (*PlainAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	address, err := c.pickAddress(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := c.send(ctx, r.Method, "http://"+address+"/v1/services/"+r.Service+r.Path, r.Body, map[string]string{
		pipeline.HeaderTicket: r.Ticket, pipeline.HeaderIdempotencyKey: r.IdempotencyKey,
		pipeline.HeaderDeadline: strconv.FormatInt(r.Timeout.Milliseconds(), 10),
	})
	if err != nil {
		c.markFailed(address, errLost)
		return nil, errLost
	}
	return readPlainAnswer(resp)
}

// readPlainAnswer reads an answer. An error status is a refusal, unless the call ran: then it is the
// service's own answer.
func readPlainAnswer(resp *http.Response) (*PlainAnswer, error) {
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

// IsLost reports whether err means that the connection was lost, so that the outcome is not known.
func IsLost(err error) bool { return errors.Is(err, errLost) }
