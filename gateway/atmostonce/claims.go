package atmostonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/platform"
)

// KindClaim is the kind of the objects that hold claims in the platform's store.
const KindClaim = "claim"

// claimState says whether a claimed call ran.
type claimState string

const (
	claimHeld   claimState = "held" // the call may have run
	claimRan    claimState = "ran"
	claimNotRun claimState = "not_run" // released: the key may be claimed again
)

// claim is the object in the platform's store that gives one request the right to run a call.
type claim struct {
	// Nonce is random, so that a writer recognizes its own claim after a lost answer.
	Nonce       string     `json:"nonce"`
	Request     string     `json:"request"`
	State       claimState `json:"state"`
	Status      int        `json:"status,omitempty"`
	ContentType string     `json:"content_type,omitempty"`
	Body        []byte     `json:"body,omitempty"`
	ClaimedAt   time.Time  `json:"at"`
}

// Claims runs calls under idempotency keys of callers. It is safe for concurrent use.
type Claims struct {
	Platform platform.Client
	Run      RunFunc
	// MaxKeptBodyBytes bounds the response body that is kept, in bytes. The outcome of a call
	// with a longer body is kept without the body.
	MaxKeptBodyBytes int
	Scope            tally.Scope
	Log              *logrus.Entry

	own ownClaims
}

// claimRetryDelay is the time between attempts to make a claim, and the first delay of writes in
// the background, which doubles. backgroundTimeout bounds all attempts of such a write.
const (
	maxClaimAttempts  = 4
	claimRetryDelay   = 50 * time.Millisecond
	backgroundTimeout = 10 * time.Second
)

// Do runs a call under a key, unless the key has been claimed before. If the earlier call ran, Do
// returns its outcome. The error is [ErrUnknown], [ErrNotRun], [ErrBusy] or [ErrMismatch]. The call
// goes on when ctx is cancelled, until its deadline.
func (c *Claims) Do(ctx context.Context, key string, call *Call) (ticket.Outcome, error) {
	name := hexSum(call.Team, call.Deployment, key)
	own := claim{Nonce: uuid.NewString(), Request: hexSum(call.Method, call.Path, string(call.Body)), State: claimHeld, ClaimedAt: time.Now().UTC()}
	version, err := c.acquire(ctx, name, &own)
	if err != nil {
		return c.earlierResult(err)
	}
	r := Result{State: NotRun, Detail: "the deadline has passed"}
	if time.Now().Before(call.Deadline) {
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
		r = c.Run(runCtx, call)
		cancel()
	}
	c.recordResult(ctx, name, version, own, &r)
	switch r.State {
	case NotRun:
		return r.Outcome, ErrNotRun.New("%s", r.Detail)
	case Unknown:
		return r.Outcome, ErrUnknown.New("%s", r.Detail)
	}
	return r.Outcome, nil
}

// earlierOutcome is an error that carries the outcome of an earlier run under the same key.
type earlierOutcome struct{ ticket.Outcome }

func (earlierOutcome) Error() string { return "the call ran before" }

// earlierResult returns the outcome that err carries, or err.
func (c *Claims) earlierResult(err error) (ticket.Outcome, error) {
	if e, ok := err.(earlierOutcome); ok {
		return e.Outcome, nil
	}
	return ticket.Outcome{}, err
}

// acquire makes the claim and returns its version. After a lost answer it writes again and, on a
// conflict, reads the object: the nonce in the object shows whose claim succeeded.
func (c *Claims) acquire(ctx context.Context, name string, own *claim) (uint64, error) {
	if c.own.settling() {
		return 0, c.acquireAfterReturn(ctx, name, own)
	}
	var expected uint64
	uncertain := false
	defer func() {
		if uncertain {
			go c.release(context.WithoutCancel(ctx), name, own)
		}
	}()
	for attempt := range maxClaimAttempts {
		if attempt > 0 {
			time.Sleep(claimRetryDelay)
		}
		o, err := c.Platform.Put(ctx, KindClaim, name, encodeClaim(own), expected)
		switch {
		case err == nil:
			uncertain = false
			if c.own.settling() {
				return 0, c.undoAfterReturn(ctx, name, o.Version, own)
			}
			c.own.keep(name, *own)
			return o.Version, nil
		case errorx.IsOfType(err, platform.ErrUncertain):
			c.Scope.Counter("claims_uncertain").Inc(1)
			uncertain = true
			continue
		case !errorx.IsOfType(err, platform.ErrConflict):
			return 0, ErrBusy.Wrap(err, "the platform can't be reached")
		}
		o, err = c.Platform.Get(ctx, KindClaim, name)
		if err != nil {
			continue
		}
		version, next, err := c.resolveConflict(o, own)
		if err != nil || version > 0 {
			uncertain = false // the object shows whose claim it is
			return version, err
		}
		expected = next
	}
	return 0, ErrBusy.New("the platform did not settle the claim")
}

// release releases a claim that may have been made by a write whose answer was lost. The call was
// refused as not run, so its key has to become free again.
func (c *Claims) release(ctx context.Context, name string, own *claim) {
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	for pause := claimRetryDelay; ctx.Err() == nil; pause *= 2 {
		o, err := c.Platform.Get(ctx, KindClaim, name)
		if err == nil {
			var stored claim
			if json.Unmarshal(o.Value, &stored) != nil || stored.Nonce != own.Nonce {
				return
			}
			released := *own
			released.State = claimNotRun
			if _, err = c.Platform.Put(ctx, KindClaim, name, encodeClaim(&released), o.Version); err == nil {
				return
			}
		}
		time.Sleep(pause)
	}
}

// resolveConflict decides what the stored claim o means for own. It returns the version of the
// object if that is own; the version to overwrite if the claim was released or deleted; the outcome
// as an [earlierOutcome] if the call ran; and otherwise an error.
func (c *Claims) resolveConflict(o platform.Object, own *claim) (version, expected uint64, err error) {
	var existing claim
	if !o.Deleted {
		if err := json.Unmarshal(o.Value, &existing); err != nil {
			return 0, 0, ErrUnknown.Wrap(err, "unreadable claim")
		}
	}
	switch {
	case existing.Nonce == own.Nonce:
		return o.Version, 0, nil
	case o.Deleted || existing.State == claimNotRun:
		return 0, o.Version, nil
	case existing.Request != own.Request:
		return 0, 0, ErrMismatch.New("the key was used for another request")
	case existing.State == claimRan:
		return 0, 0, earlierOutcome{ticket.Outcome{Status: existing.Status, ContentType: existing.ContentType, Body: existing.Body}}
	}
	return 0, 0, ErrUnknown.New("a call with this key was begun at %s; it may have run", existing.ClaimedAt.Format(time.RFC3339))
}

// recordResult writes the result of the call to the claim. It writes in the background, except when
// the call did not run: then it first tries once in the foreground, so that the key is free before
// the caller gets the answer and retries.
func (c *Claims) recordResult(ctx context.Context, name string, version uint64, own claim, r *Result) {
	switch r.State {
	case Unknown:
		return // the claim stays held, since the call may have run
	case NotRun:
		own.State = claimNotRun
		c.own.keep(name, own)
	case Ran:
		own.State, own.Status, own.ContentType = claimRan, r.Outcome.Status, r.Outcome.ContentType
		if len(r.Outcome.Body) <= c.MaxKeptBodyBytes {
			own.Body = r.Outcome.Body
		}
		c.own.keep(name, own)
	}
	ctx = context.WithoutCancel(ctx)
	if r.State == NotRun {
		if _, err := c.Platform.Put(ctx, KindClaim, name, encodeClaim(&own), version); err == nil {
			return
		}
	}
	go c.recordInBackground(ctx, name, version, &own)
}

// recordInBackground writes own until the write succeeds, the object has changed or
// backgroundTimeout has passed.
func (c *Claims) recordInBackground(ctx context.Context, name string, version uint64, own *claim) {
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	for pause := claimRetryDelay; ctx.Err() == nil; pause *= 2 {
		_, err := c.Platform.Put(ctx, KindClaim, name, encodeClaim(own), version)
		if err == nil || errorx.IsOfType(err, platform.ErrConflict) {
			return
		}
		time.Sleep(pause)
	}
	c.Scope.Counter("claims_unsettled").Inc(1)
}

func encodeClaim(c *claim) json.RawMessage {
	raw, err := json.Marshal(c)
	if err != nil { // strings, numbers and a time always encode
		panic(err)
	}
	return raw
}

// hexSum returns the SHA-256 of parts, each terminated by a zero byte, in hexadecimal.
func hexSum(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}
