// Package config holds the configuration in force at this instance: deployments and teams. It
// comes from the platform and from peers. No object ever goes back to an older version.
//
// A change by an operator is validated as a whole, written by a conditional update, and accepted
// only after the platform has stored it. Each object contains an operation id. If the answer to a
// write is lost, reading the object again shows whether the write took effect.
//
// Failure modes: if the platform is down, changes are refused as unavailable; the versions in
// force stay, and newer ones still come from peers. If the answer to a write is lost, the outcome
// is found by reading. If operators change an object at the same time, one change wins and the
// others get [ErrConflict] with the version in force.
package config

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/core/generation"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// Kinds of objects in the platform.
const (
	KindDeployment = "deployment"
	KindTeam       = "team"
	// KindModel is the catalogue of the weight store: it has one object for each model and adapter
	// that exists.
	KindModel = "model"
)

// envelope is the stored form of an object.
type envelope struct {
	// Operation is the id of the change that made this version. It may be empty.
	Operation string `json:"operation,omitempty"`
	// Deleted marks the object as deleted. A deletion is written like any other change, so that it
	// has a version and an operation id.
	Deleted bool            `json:"deleted,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// encodeEnvelope encodes an object for the platform; a nil message is a deletion.
func encodeEnvelope(operation string, m proto.Message) ([]byte, error) {
	e := envelope{Operation: operation, Deleted: m == nil}
	if m != nil {
		body, err := protojson.Marshal(m)
		if err != nil {
			return nil, ErrInvalid.Wrap(err, "can't encode")
		}
		e.Body = body
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "can't encode")
	}
	return raw, nil
}

func decodeEnvelope(raw []byte) envelope {
	var e envelope
	_ = json.Unmarshal(raw, &e) // an envelope that can't be decoded has no operation id
	return e
}

func decodeObject(raw []byte, m proto.Message) (operation string, err error) {
	var e envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return "", ErrInvalid.Wrap(err, "stored object")
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(e.Body, m); err != nil {
		return "", ErrInvalid.Wrap(err, "stored object")
	}
	return e.Operation, nil
}

// Deployment is a deployment in the form that the request pipeline uses.
type Deployment struct {
	Name    string
	Version uint64
	Plain   bool
	Service string
	Model   string
	// ModelVersion is the required version of the model; empty allows any.
	ModelVersion string
	adapters     map[string]bool
	teams        map[string]bool
	Weights      routing.Weights
	Class        limits.Class
	Deadline     time.Duration
	QueueWait    time.Duration
	idempotent   map[string]bool
	Replicas     int
	// Role is the role that engines take on with the order to load; empty leaves it unchanged.
	Role string
	// IgnoresFencing reports that not all engines of the deployment check fencing numbers.
	IgnoresFencing bool
	Recovery       *operatorv1.Recovery
}

// Serves reports whether a team may use the deployment.
func (d *Deployment) Serves(team string) bool { return d.teams[team] }

// HasAdapter reports whether the deployment offers an adapter. The empty adapter, which stands for
// none, is always offered.
func (d *Deployment) HasAdapter(adapter string) bool { return adapter == "" || d.adapters[adapter] }

// Adapters returns the adapters that the deployment offers, in no particular order.
func (d *Deployment) Adapters() []string {
	out := make([]string, 0, len(d.adapters))
	for a := range d.adapters {
		out = append(out, a)
	}
	return out
}

// Idempotent reports whether calls with an HTTP method may run twice without harm. GET and HEAD
// always may.
func (d *Deployment) Idempotent(method string) bool {
	return method == "GET" || method == "HEAD" || d.idempotent[method]
}

// RecoveryConfig returns c with the values that the deployment sets itself; a zero value in the
// deployment keeps the one of c.
func (d *Deployment) RecoveryConfig(c generation.Config) generation.Config {
	r := d.Recovery
	if p := r.GetPolicy(); p != "" {
		c.Policy = generation.Policy(p)
	}
	if f := r.GetSilenceFactor(); f > 0 {
		c.SilenceFactor = f
	}
	if ms := r.GetSilenceFloorMs(); ms > 0 {
		c.SilenceFloor = time.Duration(ms) * time.Millisecond
	}
	if ms := r.GetProbeTimeoutMs(); ms > 0 {
		c.ProbeTimeout = time.Duration(ms) * time.Millisecond
	}
	return c
}

// Defaults for the values that a deployment's contract leaves out.
const (
	defaultDeadline  = time.Minute
	defaultQueueWait = 2 * time.Second
)

var classByName = map[string]limits.Class{
	"": limits.Long, "urgent": limits.Urgent, "long": limits.Long, "background": limits.Background,
}

func newDeployment(p *operatorv1.Deployment, version uint64) *Deployment {
	d := &Deployment{
		Name: p.GetName(), Version: version, Plain: p.GetKind() == operatorv1.Kind_KIND_PLAIN,
		Service: p.GetService(), Model: p.GetModel(), ModelVersion: p.GetVersion(),
		adapters: newSet(p.GetAdapters()), teams: newSet(p.GetTeams()),
		Class: classByName[p.GetContract().GetClass()], Deadline: defaultDeadline, QueueWait: defaultQueueWait,
		idempotent: newSet(p.GetContract().GetIdempotentMethods()), Replicas: int(p.GetReplicas()), Role: p.GetRole(),
		IgnoresFencing: p.GetEnginesIgnoreFencing(), Recovery: p.GetRecovery(), Weights: weights(p.GetRouting()),
	}
	if ms := p.GetContract().GetDeadlineMs(); ms > 0 {
		d.Deadline = time.Duration(ms) * time.Millisecond
	}
	if ms := p.GetContract().GetQueueMs(); ms > 0 {
		d.QueueWait = time.Duration(ms) * time.Millisecond
	}
	return d
}

func weights(r *operatorv1.Routing) routing.Weights {
	w := routing.DefaultWeights()
	if v := r.GetLoadWeight(); v > 0 {
		w.Load = v
	}
	if v := r.GetCacheWeight(); v > 0 {
		w.Cache = v
	}
	if v := r.GetRemoteWeight(); v > 0 {
		w.Remote = v
	}
	return w
}

// Team is a team in the form that the request pipeline uses.
type Team struct {
	Name      string
	Version   uint64
	KeyHashes [][]byte
	Quota     limits.Quota
}

func newSet(items []string) map[string]bool {
	out := make(map[string]bool, len(items))
	for _, i := range items {
		out[i] = true
	}
	return out
}
