package atmostonce

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/platform"
)

// When the platform's store returns from an older copy, it has lost the claims of the last seconds. Each
// instance keeps its own of that time and writes them again. Until all had the time to do so, a key without a
// claim may be one whose claim was lost: its call is refused, since it can't be known whether it ran.

const (
	// keptFor is how long an instance keeps its own claims. A copy is some seconds old. maxKept bounds them.
	keptFor = time.Minute
	maxKept = 10000
	// settleAfterReturn is how long after the store's return new claims are refused.
	settleAfterReturn = 10 * time.Second
	// restoreInterval is the time between two claims that are written again, and restoreRetryDelay the
	// time after which a write that failed is tried again.
	restoreInterval   = 20 * time.Millisecond
	restoreRetryDelay = 500 * time.Millisecond
)

// ownClaims holds the claims that an instance has made a short time ago. The zero value is empty. It is safe
// for concurrent use.
type ownClaims struct {
	mu         sync.Mutex
	byName     map[string]*claim
	order      []string // of byName, oldest first
	returnedAt time.Time
}

// keep keeps a claim, or the result of one.
func (k *ownClaims) keep(name string, own claim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byName == nil {
		k.byName = map[string]*claim{}
	}
	if k.byName[name] == nil {
		k.order = append(k.order, name)
	}
	k.byName[name] = &own
	for len(k.order) > maxKept || len(k.order) > 0 && time.Since(k.byName[k.order[0]].ClaimedAt) >= keptFor {
		delete(k.byName, k.order[0])
		k.order = k.order[1:]
	}
}

// get returns a claim that is kept; false if there is none.
func (k *ownClaims) get(name string) (claim, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := k.byName[name]
	if own == nil || own.State == claimNotRun {
		return claim{}, false
	}
	return *own, true
}

// settling reports whether the store has returned a short time ago.
func (k *ownClaims) settling() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.returnedAt.IsZero() && time.Since(k.returnedAt) < settleAfterReturn
}

// StoreReturned records that the store has returned from an older copy. In the background it writes this
// instance's claims again, until ctx ends.
func (c *Claims) StoreReturned(ctx context.Context) {
	c.own.mu.Lock()
	c.own.returnedAt = time.Now()
	names := append([]string(nil), c.own.order...)
	c.own.mu.Unlock()
	go c.restore(ctx, names)
}

// restore writes claims again. Those that the store has not lost stay as they are.
func (c *Claims) restore(ctx context.Context, names []string) {
	restored, dropped := 0, 0
	for _, name := range names {
		switch err := c.restoreOne(ctx, name); {
		case err == nil:
			restored++
		case !errorx.IsOfType(err, platform.ErrConflict):
			dropped++
			c.Log.WithError(err).WithField("claim", name).Error("a claim that the store may have lost can't be written again")
		}
		if !pause.For(ctx, restoreInterval) {
			return
		}
	}
	c.Scope.Counter("claims_restored").Inc(int64(restored))
	c.Log.WithFields(logrus.Fields{"claims": len(names), "restored": restored, "dropped": dropped}).Info("claims compared after the store returned")
}

// restoreOne writes a claim again. It tries until the store answers or the claim is not kept any more. It
// returns [platform.ErrConflict] if the store has a claim of that name.
func (c *Claims) restoreOne(ctx context.Context, name string) error {
	for {
		own, kept := c.own.get(name)
		if !kept {
			return platform.ErrConflict.New("the claim is not kept any more")
		}
		_, err := c.Platform.Put(ctx, KindClaim, name, encodeClaim(&own), 0)
		if err == nil || errorx.IsOfType(err, platform.ErrConflict) {
			return err
		}
		if time.Since(own.ClaimedAt) > keptFor || !pause.For(ctx, restoreRetryDelay) {
			return err
		}
	}
}

// acquireAfterReturn returns why a call must not run while it can't be known whether the store has lost a claim
// of its key: the result of an earlier call, or [ErrBusy].
func (c *Claims) acquireAfterReturn(ctx context.Context, name string, own *claim) error {
	c.Scope.Counter("claims_refused_after_return").Inc(1)
	if earlier, known := c.own.get(name); known {
		return c.resultOf(&earlier, own)
	}
	o, err := c.Platform.Get(ctx, KindClaim, name)
	if err == nil {
		if _, _, err := c.resolveConflict(o, own); err != nil {
			return err
		}
	}
	return ErrBusy.New("the platform's store has lost claims; whether the call ran before can't be known yet")
}

// resultOf returns what an earlier claim of a key says.
func (c *Claims) resultOf(earlier, own *claim) error {
	switch {
	case earlier.Request != own.Request:
		return ErrMismatch.New("the key was used for another request")
	case earlier.State == claimRan:
		return earlierOutcome{ticket.Outcome{Status: earlier.Status, ContentType: earlier.ContentType, Body: earlier.Body}}
	}
	return ErrUnknown.New("a call with this key was begun at %s; it may have run", earlier.ClaimedAt.Format(time.RFC3339))
}

// undoAfterReturn releases a claim whose write showed that the store has returned. An earlier claim of this
// instance takes its place.
func (c *Claims) undoAfterReturn(ctx context.Context, name string, version uint64, own *claim) error {
	earlier, known := c.own.get(name)
	if !known {
		earlier = *own
		earlier.State = claimNotRun
	}
	go c.recordInBackground(context.WithoutCancel(ctx), name, version, &earlier)
	if known {
		return c.resultOf(&earlier, own)
	}
	return ErrBusy.New("the platform's store has lost claims; whether the call ran before can't be known yet")
}
