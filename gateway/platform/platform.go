// Package platform is the interface to the platform's object API. It offers versioned objects,
// conditional updates, watches, and a list of live and leaving instances that lags.
//
// Failure modes, as typed errors: the platform can be down or slow ([ErrUnavailable]). A write can
// take effect although its answer is lost ([ErrUncertain]); the caller has to read the object
// again to find out. A conditional write can lose against another one ([ErrConflict]).
package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/revision"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("platform")
	// ErrUnavailable means that the call certainly had no effect, or was a read.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrUncertain means that the answer to a write was lost; the write may have taken effect.
	ErrUncertain = namespace.NewType("uncertain", errorx.Temporary())
	// ErrConflict means that the object has another version than the write expected.
	ErrConflict = namespace.NewType("conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrHistoryGone means that the store does not have all changes since a position. The caller has to list
	// again.
	ErrHistoryGone = namespace.NewType("history_gone")
)

// Object is a versioned object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the number of writes of this object, from 1.
	Version uint64 `json:"version"`
	// Revision orders the writes of all objects. A watch continues from a revision.
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	// position is that of the stored object, for conditional writes.
	position revision.Position
}

// Role is the role of a listed instance.
type Role string

// Roles of listed instances.
const (
	RoleGateway Role = "gateway"
	RoleEngine  Role = "engine"
	RolePlain   Role = "plain"
)

// Listed is an entry of the platform's list of instances. The list lags behind their real state.
type Listed struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Service is the endpoint's group; empty for gateways.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// ChecksFencing reports that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// WatchedKinds are the kinds of objects that can be watched.
var WatchedKinds = []string{"deployment", "team"}

// Client is the platform's object API. Implementations are safe for concurrent use.
type Client interface {
	// Era returns the newest era of the store that an answer has stated; 0 if none has. It rises when the
	// store returns from an older copy.
	Era() uint64
	// Get returns an object, even if it is marked deleted.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind, including those marked deleted, and the position to
	// watch from.
	List(ctx context.Context, kind string) ([]Object, revision.Position, error)
	// Put writes an object if its version is ifVersion; 0 creates it.
	Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion uint64) (Object, error)
	// Delete deletes an object if its version is ifVersion. It marks objects of [WatchedKinds] as
	// deleted, and removes others.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (Object, error)
	// Restore writes an object with the version that it has, unless the store has one that is not lower. It is for
	// objects that the store has lost by returning from an older copy.
	Restore(ctx context.Context, object Object) error
	// Watch returns the objects of the kinds that changed after a position, and the position to
	// watch from next. It waits up to wait for a change. The kinds have to be among
	// [WatchedKinds]. It returns [ErrHistoryGone] if the store does not have the changes since then.
	Watch(ctx context.Context, kinds []string, since revision.Position, wait time.Duration) ([]Object, revision.Position, error)
	// Instances returns the list of instances.
	Instances(ctx context.Context) ([]Listed, error)
	// Register adds an instance to the list, or renews its entry. The entry expires after ttl.
	Register(ctx context.Context, l Listed, ttl time.Duration) error
}
