// Package config keeps the configuration in force at this instance: deployments and
// teams, from the platform and from peers, never going back to an older version.
//
// Operators' changes are validated whole, written by conditional update, and accepted
// only when the platform has them. An operation id inside each object lets a lost answer
// be resolved by reading the object again.
//
// Failure modes: the platform is down (changes are refused as unavailable; the versions
// in force stay, and follow the peers); a write's answer is lost (resolved by reading);
// racing operators (one wins, the others get [ErrConflict] with the version in force).
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
	// KindModel holds the weight store's catalogue: a name for each model that exists.
	KindModel = "model"
)

// envelope is how an object is stored.
type envelope struct {
	// Operation is the id of the change that made this version.
	Operation string `json:"operation,omitempty"`
	// Deleted marks the object as deleted. A deletion is written like any change, so
	// that it has a version and an operation id.
	Deleted bool            `json:"deleted,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// seal encodes an object for the platform; a nil message is a deletion.
func seal(operation string, m proto.Message) ([]byte, error) {
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

func openEnvelope(raw []byte) envelope {
	var e envelope
	_ = json.Unmarshal(raw, &e) // what can't be read has no operation id
	return e
}

func unseal(raw []byte, m proto.Message) (operation string, err error) {
	var e envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return "", ErrInvalid.Wrap(err, "stored object")
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(e.Body, m); err != nil {
		return "", ErrInvalid.Wrap(err, "stored object")
	}
	return e.Operation, nil
}

// Deployment is a deployment in the form that the pipeline uses.
type Deployment struct {
	Name    string
	Version uint64
	Plain   bool
	Service string
	Model   string
	// ModelVersion is empty for any.
	ModelVersion string
	adapters     map[string]bool
	teams        map[string]bool
	Weights      routing.Weights
	Class        limits.Class
	Deadline     time.Duration
	QueueWait    time.Duration
	idempotent   map[string]bool
	Replicas     int
	// Role that engines take along; empty leaves it.
	Role string
	// IgnoresFencing tells that not all engines check fencing numbers.
	IgnoresFencing bool
	Recovery       *operatorv1.Recovery
}

// Serves tells whether a team may use the deployment.
func (d *Deployment) Serves(team string) bool { return d.teams[team] }

// HasAdapter tells whether the deployment offers an adapter.
func (d *Deployment) HasAdapter(adapter string) bool { return adapter == "" || d.adapters[adapter] }

// Adapters returns the adapters offered.
func (d *Deployment) Adapters() []string {
	out := make([]string, 0, len(d.adapters))
	for a := range d.adapters {
		out = append(out, a)
	}
	return out
}

// Idempotent tells whether calls with an HTTP method may run twice without harm.
func (d *Deployment) Idempotent(method string) bool {
	return method == "GET" || method == "HEAD" || d.idempotent[method]
}

// RecoveryConfig returns the deployment's recovery settings over the defaults.
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

// Defaults of a contract, where a deployment names none.
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
		adapters: set(p.GetAdapters()), teams: set(p.GetTeams()),
		Class: classByName[p.GetContract().GetClass()], Deadline: defaultDeadline, QueueWait: defaultQueueWait,
		idempotent: set(p.GetContract().GetIdempotentMethods()), Replicas: int(p.GetReplicas()), Role: p.GetRole(),
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

// Team is a team in the form that the pipeline uses.
type Team struct {
	Name      string
	Version   uint64
	KeyHashes [][]byte
	Quota     limits.Quota
}

func set(items []string) map[string]bool {
	out := make(map[string]bool, len(items))
	for _, i := range items {
		out[i] = true
	}
	return out
}
