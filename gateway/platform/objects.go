package platform

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/gateway/network"
	store "github.com/agateway/agateway/platform"
)

// Objects is the object API on the platform's metadata store. Each object lies there in an envelope with
// its version, since the store itself only numbers the writes of all objects together; a deleted one of a
// kind that is watched stays as an empty envelope, so that those who list later hear of it.
type Objects struct {
	store  *store.Store
	lastOK atomic.Int64
}

// Kinds of the store under which objects lie.
const (
	// kindConfiguration holds all that is watched together, so that one watch serves them.
	kindConfiguration = "agateway-configuration"
	// kindListed holds the list of instances.
	kindListed = "agateway-listed"
	// kindPrefix goes before the name of every other kind.
	kindPrefix = "agateway-"
)

// NewObjects returns the object API of the store at base (http://IP:PORT). timeout bounds one call; a
// watch may take its own wait besides.
func NewObjects(base string, timeout time.Duration, n network.Network) *Objects {
	address := strings.TrimSuffix(strings.TrimPrefix(base, "http://"), "/")
	// Shorter than a call, so that a connection that never came about is told from a lost answer.
	return &Objects{store: store.NewStore(address, timeout, network.DialerWithTimeout(n, timeout/2))}
}

// Store returns the store itself, for what lies there without an envelope.
func (o *Objects) Store() *store.Store { return o.store }

// Reachable tells whether a call succeeded within the last d.
func (o *Objects) Reachable(d time.Duration) bool {
	return time.Since(time.UnixMilli(o.lastOK.Load())) < d
}

// envelope is how an object lies in the store.
type envelope struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// place returns the store's kind and name of an object.
func place(kind, name string) (string, string) {
	if slices.Contains(Watched, kind) {
		return kindConfiguration, kind + "." + name
	}
	return kindPrefix + kind, name
}

// Get implements [Client].
func (o *Objects) Get(ctx context.Context, kind, name string) (Object, error) {
	at, as := place(kind, name)
	raw, err := o.store.Get(ctx, at, as)
	if err != nil {
		return Object{}, o.failed(err)
	}
	o.worked()
	return opened(&raw)
}

// opened takes an object out of its envelope.
func opened(raw *store.Object) (Object, error) {
	var e envelope
	if err := json.Unmarshal(raw.Spec, &e); err != nil {
		return Object{}, ErrUnavailable.Wrap(err, "object %s can't be read", raw.Name)
	}
	return Object{
		Kind: e.Kind, Name: e.Name, Version: e.Version, Revision: raw.Revision, Value: e.Value, Deleted: e.Deleted || raw.Deleted,
	}, nil
}

// List implements [Client].
func (o *Objects) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	at, _ := place(kind, "")
	page, err := o.store.List(ctx, at)
	if err != nil {
		return nil, 0, o.failed(err)
	}
	o.worked()
	out, err := ofKinds(page.Objects, []string{kind})
	return out, page.Revision, err
}

// ofKinds takes the objects of some kinds out of their envelopes.
func ofKinds(raw []store.Object, kinds []string) ([]Object, error) {
	var out []Object
	for i := range raw {
		object, err := opened(&raw[i])
		if err != nil {
			return nil, err
		}
		if slices.Contains(kinds, object.Kind) {
			out = append(out, object)
		}
	}
	return out, nil
}

// Put implements [Client].
func (o *Objects) Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion uint64) (Object, error) {
	return o.write(ctx, envelope{Kind: kind, Name: name, Value: value}, ifVersion)
}

// Delete implements [Client].
func (o *Objects) Delete(ctx context.Context, kind, name string, ifVersion uint64) (Object, error) {
	return o.write(ctx, envelope{Kind: kind, Name: name, Deleted: true}, ifVersion)
}

// write writes an envelope if the object's version is ifVersion; 0 creates.
func (o *Objects) write(ctx context.Context, e envelope, ifVersion uint64) (Object, error) {
	if ifVersion == 0 && !e.Deleted {
		e.Version = 1
		object, err := o.create(ctx, &e)
		if !errorx.IsOfType(err, ErrConflict) {
			return object, err
		}
	}
	old, err := o.Get(ctx, e.Kind, e.Name)
	if err != nil {
		return Object{}, err
	}
	again := old.Deleted && ifVersion == 0 && !e.Deleted // a deleted name may be created again
	if old.Version != ifVersion && !again {
		return old, ErrConflict.New("%s %q has version %d, not %d", e.Kind, e.Name, old.Version, ifVersion)
	}
	e.Version = old.Version + 1
	if e.Deleted && !slices.Contains(Watched, e.Kind) {
		return o.remove(ctx, &e, old.Revision)
	}
	return o.replace(ctx, &e, old.Revision)
}

// remove removes an object for good: nobody watches its kind, so nobody has to hear of it.
func (o *Objects) remove(ctx context.Context, e *envelope, revision uint64) (Object, error) {
	at, as := place(e.Kind, e.Name)
	if err := o.store.Delete(ctx, at, as, revision); err != nil {
		return Object{}, o.failed(err)
	}
	o.worked()
	return Object{Kind: e.Kind, Name: e.Name, Version: e.Version, Deleted: true}, nil
}

func (o *Objects) create(ctx context.Context, e *envelope) (Object, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return Object{}, ErrUnavailable.Wrap(err, "can't encode")
	}
	at, as := place(e.Kind, e.Name)
	return o.written(o.store.Create(ctx, at, as, raw))
}

func (o *Objects) replace(ctx context.Context, e *envelope, revision uint64) (Object, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return Object{}, ErrUnavailable.Wrap(err, "can't encode")
	}
	at, as := place(e.Kind, e.Name)
	return o.written(o.store.Replace(ctx, at, as, raw, revision))
}

func (o *Objects) written(raw store.Object, err error) (Object, error) {
	if err != nil {
		return Object{}, o.failed(err)
	}
	o.worked()
	return opened(&raw)
}

// Watch implements [Client]. The kinds have to be among [Watched].
func (o *Objects) Watch(ctx context.Context, kinds []string, since uint64, wait time.Duration) ([]Object, uint64, error) {
	page, err := o.store.Watch(ctx, kindConfiguration, since, wait)
	if err != nil {
		return nil, since, o.failed(err)
	}
	o.worked()
	out, err := ofKinds(page.Objects, kinds)
	return out, page.Revision, err
}

// listing is how an instance lies in the store. Nothing there ends by itself, so it says when it ends.
type listing struct {
	Listed
	// UntilMS is when the entry ends, by the clock of the instance, in milliseconds since 1970. The list
	// is a hint: clocks that differ by seconds make it a little longer or shorter.
	UntilMS int64 `json:"until_ms"`
}

// forgetAfter is how long after its end an entry is removed by whoever sees it.
const forgetAfter = time.Minute

// Instances implements [Client].
func (o *Objects) Instances(ctx context.Context) ([]Listed, error) {
	page, err := o.store.List(ctx, kindListed)
	if err != nil {
		return nil, o.failed(err)
	}
	o.worked()
	var out []Listed
	for _, raw := range page.Objects {
		var l listing
		if err := json.Unmarshal(raw.Spec, &l); err != nil {
			return nil, ErrUnavailable.Wrap(err, "entry %s can't be read", raw.Name)
		}
		until := time.UnixMilli(l.UntilMS)
		if time.Now().Before(until) {
			out = append(out, l.Listed)
		} else if time.Since(until) > forgetAfter {
			_ = o.store.Delete(ctx, kindListed, raw.Name, raw.Revision) // the next reader tries again
		}
	}
	return out, nil
}

// Register implements [Client].
func (o *Objects) Register(ctx context.Context, l Listed, ttl time.Duration) error {
	raw, err := json.Marshal(listing{l, time.Now().Add(ttl).UnixMilli()})
	if err != nil {
		return ErrUnavailable.Wrap(err, "can't encode")
	}
	_, err = o.written(o.store.Replace(ctx, kindListed, l.ID, raw, 0))
	if errorx.IsOfType(err, ErrNotFound) {
		_, err = o.written(o.store.Create(ctx, kindListed, l.ID, raw))
	}
	return err
}

func (o *Objects) worked() { o.lastOK.Store(time.Now().UnixMilli()) }

// failed turns the errors of the store's client into those of this layer.
func (o *Objects) failed(err error) error {
	switch {
	case errorx.IsOfType(err, store.ErrNotFound):
		return ErrNotFound.Wrap(err, "no such object")
	case errorx.IsOfType(err, store.ErrConflict):
		return ErrConflict.Wrap(err, "the object has another version")
	case errorx.IsOfType(err, store.ErrUncertain):
		return ErrUncertain.Wrap(err, "the answer to a write was lost")
	}
	return ErrUnavailable.Wrap(err, "no answer")
}
