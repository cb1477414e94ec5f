// Package platform is the interface to the platform's object API: versions, conditional
// updates, watches, and a list of live and leaving instances that lags.
//
// Failure modes, as typed errors: the platform can be down or slow ([ErrUnavailable]); a
// write can take effect although its answer is lost ([ErrUncertain]), which the caller has
// to resolve by reading the object again; a conditional write can lose ([ErrConflict]).
package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of this layer.
var (
	namespace = errorx.NewNamespace("platform")
	// ErrUnavailable: the call certainly had no effect, or was a read.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrUncertain: a write whose answer was lost; it may have taken effect.
	ErrUncertain = namespace.NewType("uncertain", errorx.Temporary())
	// ErrConflict: the object has another version than the write was made for.
	ErrConflict = namespace.NewType("conflict")
	// ErrNotFound: there is no such object.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
)

// Object is one versioned object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version counts the writes of this object, from 1.
	Version uint64 `json:"version"`
	// Revision orders writes over all objects; watches go on from one.
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Role of a listed instance.
type Role string

// Roles.
const (
	RoleGateway Role = "gateway"
	RoleEngine  Role = "engine"
	RolePlain   Role = "plain"
)

// Listed is one entry of the platform's list of instances. The list lags.
type Listed struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Service is the endpoint group; empty for gateways.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// ChecksFencing tells that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Watched are the kinds that can be watched.
var Watched = []string{"deployment", "team"}

// Client is the platform's object API. Implementations are safe for concurrent use.
type Client interface {
	// Get returns an object, deleted ones included.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind, deleted ones included, and the revision to
	// watch from.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put writes an object if its version is ifVersion; 0 creates.
	Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion uint64) (Object, error)
	// Delete marks an object deleted if its version is ifVersion.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (Object, error)
	// Watch returns the objects of the kinds, which are among [Watched], that changed after a revision, waiting for
	// a change as long as wait.
	Watch(ctx context.Context, kinds []string, since uint64, wait time.Duration) ([]Object, uint64, error)
	// Instances returns the list of instances.
	Instances(ctx context.Context) ([]Listed, error)
	// Register names an instance in the list until ttl has passed.
	Register(ctx context.Context, l Listed, ttl time.Duration) error
}
