package config

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/platform"
)

// PutDeployment validates a deployment and creates it (expected version 0) or updates it. It
// returns the new version once the platform has stored it.
func (c *Config) PutDeployment(ctx context.Context, d *operatorv1.Deployment, expected uint64, operation string) (uint64, error) {
	cat, err := c.catalogue(ctx)
	if err != nil {
		return 0, err
	}
	if err := validateDeployment(d, cat); err != nil {
		return 0, err
	}
	return c.put(ctx, KindDeployment, d.GetName(), d, expected, operation)
}

// PutTeam validates a team and creates it (expected version 0) or updates it. It returns the new
// version once the platform has stored it.
func (c *Config) PutTeam(ctx context.Context, t *operatorv1.Team, expected uint64, operation string) (uint64, error) {
	if err := validateTeam(t); err != nil {
		return 0, err
	}
	return c.put(ctx, KindTeam, t.GetName(), t, expected, operation)
}

// Delete deletes a deployment or a team, and returns the version of the deletion. A team that a
// deployment names can't be deleted.
func (c *Config) Delete(ctx context.Context, kind, name string, expected uint64, operation string) (uint64, error) {
	if expected == 0 {
		return 0, invalid("expected_version", "is required")
	}
	if kind == KindTeam {
		if err := c.checkTeamUnused(ctx, name); err != nil {
			return 0, err
		}
	}
	return c.put(ctx, kind, name, nil, expected, operation)
}

func (c *Config) checkTeamUnused(ctx context.Context, team string) error {
	deployments, err := c.read(ctx, KindDeployment)
	if err != nil {
		return err
	}
	for _, o := range deployments {
		var d operatorv1.Deployment
		if _, err := decodeObject(o.Value, &d); err == nil && newSet(d.GetTeams())[team] {
			return invalid("name", "deployment %q serves the team %q", d.GetName(), team)
		}
	}
	return nil
}

// catalogue reads the teams and models that a deployment may refer to. It reads them from the
// platform, so that references are checked against what is durable.
func (c *Config) catalogue(ctx context.Context) (catalogue, error) {
	teams, err := c.read(ctx, KindTeam)
	if err != nil {
		return catalogue{}, err
	}
	models, err := c.read(ctx, KindModel)
	if err != nil {
		return catalogue{}, err
	}
	out := catalogue{team: func(n string) bool { return teams[n].Version > 0 }}
	if len(models) > 0 {
		out.model = func(n string) bool { return models[n].Version > 0 }
	}
	return out, nil
}

// read returns the objects of a kind that are not deleted, by name.
func (c *Config) read(ctx context.Context, kind string) (map[string]platform.Object, error) {
	objects, _, err := c.platform.List(ctx, kind)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "the platform can't be read")
	}
	out := make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		if !recordOf(o).Deleted {
			out[o.Name] = o
		}
	}
	return out, nil
}

func (c *Config) put(ctx context.Context, kind, name string, m proto.Message, expected uint64, operation string) (uint64, error) {
	raw, err := encodeEnvelope(operation, m)
	if err != nil {
		return 0, err
	}
	w := write{kind: kind, name: name, raw: raw, expected: expected, operation: operation}
	if err := c.checkInForce(&w); err != nil {
		return 0, err
	}
	o, err := c.platform.Put(ctx, kind, name, raw, expected)
	version, err := c.finishWrite(ctx, &w, o, err)
	if expected == 0 && w.deletedVersion > 0 {
		// The name belongs to a deleted object. The new object continues from the deleted one's
		// version.
		w.expected = w.deletedVersion
		o, err = c.platform.Put(ctx, kind, name, raw, w.expected)
		return c.finishWrite(ctx, &w, o, err)
	}
	return version, err
}

// write is a conditional write in progress.
type write struct {
	kind, name, operation string
	raw                   []byte
	expected              uint64
	deletedVersion        uint64 // version of a deleted object of the same name; 0 for none
}

// finishWrite turns the platform's answer to a write into the result of the change. After a
// conflict or a lost answer, the stored version may be this write itself, which the operation id
// in the object shows.
func (c *Config) finishWrite(ctx context.Context, w *write, o platform.Object, err error) (uint64, error) {
	switch {
	case err == nil:
		c.Apply([]revision.Record{recordOf(o)})
		return o.Version, nil
	case errorx.IsOfType(err, platform.ErrConflict):
		return c.resolveWrite(ctx, w, false)
	case errorx.IsOfType(err, platform.ErrUncertain):
		return c.resolveWrite(ctx, w, true)
	}
	return 0, ErrUnavailable.Wrap(err, "the platform did not take the change")
}

const (
	maxResolveReads = 5
	resolvePause    = 50 * time.Millisecond
)

// resolveWrite reads the object again to find out whether a write took effect. uncertain says that
// the answer to the write was lost.
func (c *Config) resolveWrite(ctx context.Context, w *write, uncertain bool) (uint64, error) {
	o, err := c.readAgain(ctx, w)
	switch {
	case errorx.IsOfType(err, platform.ErrNotFound) && !c.lostByStore(w, 0):
		return w.notApplied(0, uncertain)
	case errorx.IsOfType(err, platform.ErrNotFound), err == nil && c.lostByStore(w, o.Version):
		return 0, ErrUnavailable.New("the platform has lost the object's version in force, which is written again")
	case err != nil:
		return 0, ErrUncertain.Wrap(err, "not known whether the change was made; send it again with the same operation id")
	}
	c.Apply([]revision.Record{recordOf(o)})
	e := decodeEnvelope(o.Value)
	if o.Version == w.expected+1 && w.operation != "" && e.Operation == w.operation {
		return o.Version, nil
	}
	if e.Deleted && w.expected == 0 {
		w.deletedVersion = o.Version
	}
	return w.notApplied(o.Version, uncertain)
}

func (c *Config) readAgain(ctx context.Context, w *write) (platform.Object, error) {
	for try := 1; ; try++ {
		o, err := c.platform.Get(ctx, w.kind, w.name)
		if err == nil || errorx.IsOfType(err, platform.ErrNotFound) || try == maxResolveReads || ctx.Err() != nil {
			return o, err
		}
		pause.For(ctx, resolvePause)
	}
}

// notApplied returns the error for a write that had no effect: a conflict if another version than
// the expected one is in force. If the version is still the expected one and the answer was lost,
// the platform did not take the change.
func (w *write) notApplied(current uint64, uncertain bool) (uint64, error) {
	if current != w.expected {
		return 0, conflict(current)
	}
	if uncertain {
		return 0, ErrUnavailable.New("the platform did not take the change")
	}
	return 0, ErrNotFound.New("there is no such object")
}

// StoredDeployment returns a deployment in the operator API's form, or [ErrNotFound].
func (c *Config) StoredDeployment(name string) (*operatorv1.StoredDeployment, error) {
	r, ok := c.record(KindDeployment, name)
	if !ok {
		return nil, ErrNotFound.New("there is no deployment %q", name)
	}
	return storedDeployment(r), nil
}

// StoredDeployments returns all deployments in the operator API's form.
func (c *Config) StoredDeployments() []*operatorv1.StoredDeployment {
	records := c.list(KindDeployment)
	out := make([]*operatorv1.StoredDeployment, len(records))
	for i, r := range records {
		out[i] = storedDeployment(r)
	}
	return out
}

func storedDeployment(r revision.Record) *operatorv1.StoredDeployment {
	d := &operatorv1.Deployment{Name: r.Name}
	if !r.Deleted {
		_, _ = decodeObject(r.Value, d) // what can't be read is shown by name only
	}
	return &operatorv1.StoredDeployment{Deployment: d, Version: r.Version, Deleted: r.Deleted}
}

// StoredTeams returns all teams in the operator API's form.
func (c *Config) StoredTeams() []*operatorv1.StoredTeam {
	records := c.list(KindTeam)
	out := make([]*operatorv1.StoredTeam, len(records))
	for i, r := range records {
		t := &operatorv1.Team{Name: r.Name}
		_, _ = decodeObject(r.Value, t) // what can't be read is shown by name only
		out[i] = &operatorv1.StoredTeam{Team: t, Version: r.Version}
	}
	return out
}
