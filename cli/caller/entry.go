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

// pickAddress returns the first address that did not fail lately, known addresses before entries.
// If all have failed it returns errLost and forgets the failures, so that the next call tries them
// again.
func (c *Client) pickAddress(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.opt.FixedEntries && time.Now().After(c.addressesExpireAt) {
		c.refreshAddresses(ctx)
	}
	for _, list := range [][]string{c.addresses, c.opt.Entries} {
		for _, a := range list {
			if time.Now().After(c.avoidUntil[a]) {
				c.moveToEnd(a)
				return a, nil
			}
		}
	}
	c.addressesExpireAt, c.avoidUntil = time.Time{}, map[string]time.Time{} // all failed: allow all again
	return "", errLost
}

// moveToEnd moves an address that was picked to the end, so that the requests of one client spread
// over the fleet. The lock is held.
func (c *Client) moveToEnd(address string) {
	for i, a := range c.addresses {
		if a == address {
			c.addresses = append(append(c.addresses[:i:i], c.addresses[i+1:]...), a)
			return
		}
	}
}

// refreshAddresses asks the known addresses and the entries, one after the other, which addresses
// to use, and takes the first answer. The lock is held.
func (c *Client) refreshAddresses(ctx context.Context) {
	const timeout = time.Second
	for _, a := range append(append([]string(nil), c.addresses...), c.opt.Entries...) {
		if time.Now().Before(c.avoidUntil[a]) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		e, err := c.Entry(callCtx, a)
		cancel()
		if err != nil || len(e.Addresses) == 0 {
			c.avoidUntil[a] = time.Now().Add(avoidFor)
			continue
		}
		c.addresses = c.addresses[:0]
		for _, x := range e.Addresses {
			c.addresses = append(c.addresses, x.Address)
		}
		c.addressesExpireAt = time.Now().Add(time.Duration(e.TTLSeconds * float64(time.Second)))
		return
	}
}

// markFailed avoids an address for avoidFor. An instance that refuses a request is not avoided,
// unless it is draining.
func (c *Client) markFailed(address string, err error) {
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.Code != "draining" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidFor)
}
