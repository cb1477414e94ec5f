package platform

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/answerhead"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/unusable"
	store "github.com/agateway/agateway/platform"
)

// Objects implements [Client] on the platform's metadata store. Each object is stored in an
// envelope with its own version, since the store numbers only the writes of all objects together.
// A deleted object of a watched kind stays as an empty envelope, so that instances that list later
// learn of the deletion.
type Objects struct {
	// Unusable gets the stored objects that can't be decoded; nil for none. It is set before the first call.
	Unusable *unusable.Entries

	store         *store.Store
	lastSuccessMS atomic.Int64
	// era is the last one that a call was answered in, and onReturn is called when it rises; nil for
	// nothing.
	era      atomic.Uint64
	onReturn func()
}

// Kinds of the store that hold the objects.
const (
	// kindConfiguration holds the objects of all watched kinds together, so that one watch covers
	// them.
	kindConfiguration = "agateway-configuration"
	// kindListed holds the list of instances.
	kindListed = "agateway-listed"
	// kindPrefix precedes the name of every other kind.
	kindPrefix = "agateway-"
)

// NewObjects returns the object API of the store at base (http://IP:PORT). timeout bounds one
// call. A watch may take its wait in addition.
func NewObjects(base string, timeout time.Duration, n network.Network) *Objects {
	address := strings.TrimSuffix(strings.TrimPrefix(base, "http://"), "/")
	// The dial timeout is shorter than that of a call. So a connection that could not be
	// established is distinguished from a lost answer.
	return &Objects{store: store.NewStore(address, timeout, answerhead.NewTransport(store.NewTransport(network.DialerWithTimeout(n, timeout/2))))}
}

// Store returns the client of the store itself, for objects that are stored without an envelope.
func (o *Objects) Store() *store.Store { return o.store }

// Era implements [Client].
func (o *Objects) Era() uint64 { return o.store.Era() }

// Reachable reports whether a call succeeded within the last d.
func (o *Objects) Reachable(d time.Duration) bool {
	return time.Since(time.UnixMilli(o.lastSuccessMS.Load())) < d
}

// envelope is the stored form of an object.
type envelope struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// storeKey returns the kind and name under which the store holds an object.
func storeKey(kind, name string) (string, string) {
	if slices.Contains(WatchedKinds, kind) {
		return kindConfiguration, kind + "." + name
	}
	return kindPrefix + kind, name
}

// Get implements [Client].
func (o *Objects) Get(ctx context.Context, kind, name string) (Object, error) {
	storeKind, storeName := storeKey(kind, name)
	raw, err := o.store.Get(ctx, storeKind, storeName)
	if err != nil {
		return Object{}, o.convertError(err)
	}
	o.recordSuccess()
	return decodeObject(&raw)
}

// decodeObject decodes the object in an envelope.
func decodeObject(raw *store.Object) (Object, error) {
	var e envelope
	if err := json.Unmarshal(raw.Spec, &e); err != nil {
		return Object{}, ErrUnavailable.Wrap(err, "object %s can't be read", raw.Name)
	}
	return Object{
		Kind: e.Kind, Name: e.Name, Version: e.Version, Revision: raw.Revision, Value: e.Value, Deleted: e.Deleted || raw.Deleted,
		position: raw.Position(),
	}, nil
}

// List implements [Client].
func (o *Objects) List(ctx context.Context, kind string) ([]Object, revision.Position, error) {
	storeKind, _ := storeKey(kind, "")
	page, err := o.store.List(ctx, storeKind)
	if err != nil {
		return nil, revision.Position{}, o.convertError(err)
	}
	o.recordSuccess()
	o.Unusable.Listed(storeKind, page.Objects)
	return o.decodeKinds(storeKind, page.Objects, []string{kind}), page.Position(), nil
}

// decodeKinds decodes envelopes and returns the objects of the given kinds. It leaves out envelopes that can't be
// decoded: what was read of such an object before stays in force.
func (o *Objects) decodeKinds(storeKind string, raw []store.Object, kinds []string) []Object {
	var out []Object
	for i := range raw {
		object, err := decodeObject(&raw[i])
		if err != nil && !raw[i].Deleted {
			o.Unusable.Found(storeKind, &raw[i], err, "it is left out")
			continue
		}
		o.Unusable.Gone(storeKind, raw[i].Name)
		if slices.Contains(kinds, object.Kind) {
			out = append(out, object)
		}
	}
	return out
}

// Put implements [Client].
func (o *Objects) Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion uint64) (Object, error) {
	return o.write(ctx, envelope{Kind: kind, Name: name, Value: value}, ifVersion)
}

// Delete implements [Client].
func (o *Objects) Delete(ctx context.Context, kind, name string, ifVersion uint64) (Object, error) {
	return o.write(ctx, envelope{Kind: kind, Name: name, Deleted: true}, ifVersion)
}

// write writes an envelope if the object's version is ifVersion; 0 creates it.
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
	recreate := old.Deleted && ifVersion == 0 && !e.Deleted // a deleted object may be created again
	if old.Version != ifVersion && !recreate {
		return old, ErrConflict.New("%s %q has version %d, not %d", e.Kind, e.Name, old.Version, ifVersion)
	}
	e.Version = old.Version + 1
	if e.Deleted && !slices.Contains(WatchedKinds, e.Kind) {
		return o.remove(ctx, &e, old.position)
	}
	return o.replace(ctx, &e, old.position)
}

// Restore implements [Client].
func (o *Objects) Restore(ctx context.Context, object Object) error {
	e := envelope{Kind: object.Kind, Name: object.Name, Version: object.Version, Value: object.Value, Deleted: object.Deleted}
	old, err := o.Get(ctx, e.Kind, e.Name)
	switch {
	case errorx.IsOfType(err, ErrNotFound):
		_, err = o.create(ctx, &e)
	case err == nil && old.Version < e.Version:
		_, err = o.replace(ctx, &e, old.position)
	}
	return err
}

// remove removes an object from the store. Nobody watches its kind, so nobody needs to learn of
// the deletion.
func (o *Objects) remove(ctx context.Context, e *envelope, condition revision.Position) (Object, error) {
	storeKind, storeName := storeKey(e.Kind, e.Name)
	if err := o.store.Delete(ctx, storeKind, storeName, condition); err != nil {
		return Object{}, o.convertError(err)
	}
	o.recordSuccess()
	return Object{Kind: e.Kind, Name: e.Name, Version: e.Version, Deleted: true}, nil
}

func (o *Objects) create(ctx context.Context, e *envelope) (Object, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return Object{}, ErrUnavailable.Wrap(err, "can't encode")
	}
	storeKind, storeName := storeKey(e.Kind, e.Name)
	return o.writeResult(o.store.Create(ctx, storeKind, storeName, raw))
}

func (o *Objects) replace(ctx context.Context, e *envelope, condition revision.Position) (Object, error) {
	raw, err := json.Marshal(e)
	if err != nil {
		return Object{}, ErrUnavailable.Wrap(err, "can't encode")
	}
	storeKind, storeName := storeKey(e.Kind, e.Name)
	return o.writeResult(o.store.Replace(ctx, storeKind, storeName, raw, condition))
}

func (o *Objects) writeResult(raw store.Object, err error) (Object, error) {
	if err != nil {
		return Object{}, o.convertError(err)
	}
	o.recordSuccess()
	return decodeObject(&raw)
}

// Watch implements [Client].
func (o *Objects) Watch(ctx context.Context, kinds []string, since revision.Position, wait time.Duration) ([]Object, revision.Position, error) {
	page, err := o.store.Watch(ctx, kindConfiguration, since.Revision, wait)
	if err != nil {
		return nil, since, o.convertError(err)
	}
	if page.Era != since.Era { // the store takes the revision for one of its own era
		return nil, since, o.convertError(store.ErrHistoryGone.New("the store is in era %d, not %d", page.Era, since.Era))
	}
	o.recordSuccess()
	return o.decodeKinds(kindConfiguration, page.Objects, kinds), page.Position(), nil
}

// listEntry is the stored form of an entry of the list. The store doesn't expire objects, so the
// entry contains its expiry time.
type listEntry struct {
	Listed
	// UntilMS is when the entry expires, by the clock of the registered instance, in milliseconds
	// since 1970. Clocks that differ by some seconds make an entry last a little longer or
	// shorter. That does no harm, since the list is only a hint.
	UntilMS int64 `json:"until_ms"`
}

// removeExpiredAfter is how long after its expiry an entry is removed from the store by the next
// instance that reads the list.
const removeExpiredAfter = time.Minute

// Instances implements [Client].
func (o *Objects) Instances(ctx context.Context) ([]Listed, error) {
	page, err := o.store.List(ctx, kindListed)
	if err != nil {
		return nil, o.convertError(err)
	}
	o.recordSuccess()
	o.Unusable.Listed(kindListed, page.Objects)
	var out []Listed
	for i := range page.Objects {
		raw := &page.Objects[i]
		var l listEntry
		if err := json.Unmarshal(raw.Spec, &l); err != nil {
			o.Unusable.Found(kindListed, raw, err, "the instance is left out")
			continue
		}
		o.Unusable.Gone(kindListed, raw.Name)
		until := time.UnixMilli(l.UntilMS)
		if time.Now().Before(until) {
			out = append(out, l.Listed)
		} else if time.Since(until) > removeExpiredAfter {
			_ = o.store.Delete(ctx, kindListed, raw.Name, raw.Position()) // the next reader tries again
		}
	}
	return out, nil
}

// Register implements [Client].
func (o *Objects) Register(ctx context.Context, l Listed, ttl time.Duration) error {
	raw, err := json.Marshal(listEntry{l, time.Now().Add(ttl).UnixMilli()})
	if err != nil {
		return ErrUnavailable.Wrap(err, "can't encode")
	}
	_, err = o.writeResult(o.store.Replace(ctx, kindListed, l.ID, raw, revision.Position{}))
	if errorx.IsOfType(err, ErrNotFound) {
		_, err = o.writeResult(o.store.Create(ctx, kindListed, l.ID, raw))
	}
	return err
}

func (o *Objects) recordSuccess() {
	o.lastSuccessMS.Store(time.Now().UnixMilli())
	o.noteEra()
}

// noteEra tells if the store's era has risen.
func (o *Objects) noteEra() {
	era := o.store.Era()
	if before := o.era.Swap(era); before > 0 && era > before && o.onReturn != nil {
		o.onReturn()
	}
}

// OnReturn sets a function that is called when the store has returned from an older copy, before the call that
// found that out returns. It must be set before the first call.
func (o *Objects) OnReturn(call func()) { o.onReturn = call }

// convertError converts the errors of the store's client into those of this package.
func (o *Objects) convertError(err error) error {
	o.noteEra()
	switch {
	case errorx.IsOfType(err, store.ErrNotFound):
		return ErrNotFound.Wrap(err, "no such object")
	case errorx.IsOfType(err, store.ErrConflict):
		return ErrConflict.Wrap(err, "the object has another version")
	case errorx.IsOfType(err, store.ErrUncertain):
		return ErrUncertain.Wrap(err, "the answer to a write was lost")
	case errorx.IsOfType(err, store.ErrHistoryGone):
		return ErrHistoryGone.Wrap(err, "the changes asked for are gone")
	}
	return ErrUnavailable.Wrap(err, "no answer")
}
