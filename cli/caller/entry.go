package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/agateway/agateway/gateway/callers"
)

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
		c.until = time.Now().Add(time.Duration(e.TTLSeconds * float64(time.Second)))
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
