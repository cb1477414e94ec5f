package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/platform"
)

// KindClaim is the kind of claims in the platform.
const KindClaim = "claim"

// claimState says what became of a claimed call.
type claimState string

const (
	claimHeld   claimState = "held" // it may have run
	claimRan    claimState = "ran"
	claimNotRun claimState = "not_run" // released: it may be claimed again
)

// claim is an object in the platform: who may run a call.
type claim struct {
	// Nonce tells our own claim after a lost answer.
	Nonce   string     `json:"nonce"`
	Request string     `json:"request"`
	State   claimState `json:"state"`
	Status  int        `json:"status,omitempty"`
	Type    string     `json:"content_type,omitempty"`
	Body    []byte     `json:"body,omitempty"`
	At      time.Time  `json:"at"`
}

// Claims runs calls under callers' own keys. It is safe for concurrent use.
type Claims struct {
	Platform platform.Client
	Run      Runner
	// BodyKept bounds the response body that is kept, in bytes.
	BodyKept int
	Scope    tally.Scope
}

// Bounds of the calls to the platform for one claim.
const (
	claimTries   = 4
	claimPause   = 50 * time.Millisecond
	settleWithin = 10 * time.Second
)

// Do runs a call under a key unless it was claimed before.
func (c *Claims) Do(ctx context.Context, key string, call *Call) (ticket.Outcome, error) {
	name := hexSum(call.Team, call.Deployment, key)
	mine := claim{Nonce: uuid.NewString(), Request: hexSum(call.Method, call.Path, string(call.Body)), State: claimHeld, At: time.Now().UTC()}
	version, err := c.acquire(ctx, name, &mine)
	if err != nil {
		return c.earlier(err)
	}
	r := Result{Ended: NotRun, Detail: "the deadline has passed"}
	if time.Now().Before(call.Deadline) {
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
		r = c.Run(runCtx, call)
		cancel()
	}
	c.settle(ctx, name, version, mine, &r)
	switch r.Ended {
	case NotRun:
		return r.Outcome, ErrNotRun.New("%s", r.Detail)
	case Unknown:
		return r.Outcome, ErrUnknown.New("%s", r.Detail)
	}
	return r.Outcome, nil
}

// earlierOutcome carries the outcome of a run before this one through the error path.
type earlierOutcome struct{ ticket.Outcome }

func (earlierOutcome) Error() string { return "the call ran before" }

func (c *Claims) earlier(err error) (ticket.Outcome, error) {
	if e, ok := err.(earlierOutcome); ok {
		return e.Outcome, nil
	}
	return ticket.Outcome{}, err
}

// acquire makes the claim, and returns its version. A lost answer is resolved by writing
// and reading again: only one nonce can be in the object.
func (c *Claims) acquire(ctx context.Context, name string, mine *claim) (uint64, error) {
	var expected uint64
	uncertain := false
	defer func() {
		if uncertain {
			go c.release(context.WithoutCancel(ctx), name, mine)
		}
	}()
	for try := range claimTries {
		if try > 0 {
			time.Sleep(claimPause)
		}
		o, err := c.Platform.Put(ctx, KindClaim, name, encodeClaim(mine), expected)
		switch {
		case err == nil:
			uncertain = false
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
		version, next, err := c.judge(o, mine)
		if err != nil || version > 0 {
			uncertain = false // the object tells
			return version, err
		}
		expected = next
	}
	return 0, ErrBusy.New("the platform did not settle the claim")
}

// release frees a claim that may have been made by a write whose answer was lost, for a
// call that was refused as not run.
func (c *Claims) release(ctx context.Context, name string, mine *claim) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	for pause := claimPause; ctx.Err() == nil; pause *= 2 {
		o, err := c.Platform.Get(ctx, KindClaim, name)
		if err == nil {
			var held claim
			if json.Unmarshal(o.Value, &held) != nil || held.Nonce != mine.Nonce {
				return
			}
			free := *mine
			free.State = claimNotRun
			if _, err = c.Platform.Put(ctx, KindClaim, name, encodeClaim(&free), o.Version); err == nil {
				return
			}
		}
		time.Sleep(pause)
	}
}

// judge looks at the claim that is there: ours, over, released or held by another.
func (c *Claims) judge(o platform.Object, mine *claim) (version, expected uint64, err error) {
	var theirs claim
	if !o.Deleted {
		if err := json.Unmarshal(o.Value, &theirs); err != nil {
			return 0, 0, ErrUnknown.Wrap(err, "unreadable claim")
		}
	}
	switch {
	case theirs.Nonce == mine.Nonce:
		return o.Version, 0, nil
	case o.Deleted || theirs.State == claimNotRun:
		return 0, o.Version, nil
	case theirs.Request != mine.Request:
		return 0, 0, ErrMismatch.New("the key was used for another request")
	case theirs.State == claimRan:
		return 0, 0, earlierOutcome{ticket.Outcome{Status: theirs.Status, ContentType: theirs.Type, Body: theirs.Body}}
	}
	return 0, 0, ErrUnknown.New("a call with this key was begun at %s; it may have run", theirs.At.Format(time.RFC3339))
}

// settle writes what became of the call. The caller does not wait for it, except when the
// call did not run: then the key has to be free before the caller hears so.
func (c *Claims) settle(ctx context.Context, name string, version uint64, mine claim, r *Result) {
	switch r.Ended {
	case Unknown:
		return // held stays true
	case NotRun:
		mine.State = claimNotRun
	case Ran:
		mine.State, mine.Status, mine.Type = claimRan, r.Outcome.Status, r.Outcome.ContentType
		if len(r.Outcome.Body) <= c.BodyKept {
			mine.Body = r.Outcome.Body
		}
	}
	ctx = context.WithoutCancel(ctx)
	if r.Ended == NotRun {
		if _, err := c.Platform.Put(ctx, KindClaim, name, encodeClaim(&mine), version); err == nil {
			return
		}
	}
	go c.settleLater(ctx, name, version, &mine)
}

func (c *Claims) settleLater(ctx context.Context, name string, version uint64, mine *claim) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	for pause := claimPause; ctx.Err() == nil; pause *= 2 {
		_, err := c.Platform.Put(ctx, KindClaim, name, encodeClaim(mine), version)
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

func hexSum(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}
