package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/gateway/unusable"
	"github.com/agateway/agateway/platform/standin"
)

var value = []byte(`{"a":1}`)

// TestObjects checks the contract of [platform.Client] for Objects, on the stand-in of the store:
// conditional writes, watches, reuse of a deleted name, and entries of the list that expire.
func TestObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New()
		l, err := net.Node("store").Listen("10.0.9.1:80")
		assert.NilError(t, err)
		stop := standin.Serve(l, standin.NewStore(0))
		checkContract(t, platform.NewObjects("http://10.0.9.1:80", 2*time.Second, net.Node("instance")))
		stop()
		net.CloseAll()
	})
}

// TestOddObjectsHideNoOthers guards against teams and instances that are not read since another object of their kind can't
// be decoded.
func TestOddObjectsHideNoOthers(t *testing.T) {
	for name, odd := range map[string]any{
		"nested":     map[string]any{"odd": standin.NestedLists(20000)},
		"other type": []string{"odd"},
		"bad field":  map[string]any{"version": "x", "until_ms": "x"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := memnet.New()
				l, err := net.Node("store").Listen("10.0.9.1:80")
				assert.NilError(t, err)
				store := standin.NewStore(0)
				stop := standin.Serve(l, store)
				ctx, scope := context.Background(), tally.NewTestScope("", nil)
				log, lines := logtest.NewNullLogger()
				p := platform.NewObjects("http://10.0.9.1:80", 2*time.Second, net.Node("instance"))
				p.Unusable = unusable.New(logrus.NewEntry(log), scope)
				store.Put("agateway-configuration", "team.odd", odd)
				store.Put("agateway-listed", "odd", odd)
				_, err = p.Put(ctx, "team", "a", value, 0)
				assert.NilError(t, err)
				assert.NilError(t, p.Register(ctx, platform.Listed{ID: "e1", Role: platform.RoleEngine}, 30*time.Second))

				for range 3 {
					teams, revision, err := p.List(ctx, "team")
					assert.NilError(t, err)
					assert.Equal(t, len(teams), 1)
					listed, err := p.Instances(ctx)
					assert.NilError(t, err)
					assert.Equal(t, len(listed), 1)
					revision.Revision = 1
					changed, _, err := p.Watch(ctx, []string{"team"}, revision, time.Second)
					assert.NilError(t, err)
					assert.Equal(t, len(changed), 1)
				}
				assert.Equal(t, len(lines.Entries), 2)
				store.Remove("agateway-listed", "odd")
				_, err = p.Instances(ctx)
				assert.NilError(t, err)
				assert.Equal(t, scope.Snapshot().Gauges()["unusable_objects+kind=agateway-listed"].Value(), 0.)
				stop()
				net.CloseAll()
			})
		})
	}
}

func checkContract(t *testing.T, p platform.Client) {
	ctx := context.Background()
	_, err := p.Get(ctx, "team", "a")
	assert.Assert(t, errorx.IsOfType(err, platform.ErrNotFound))
	o, err := p.Put(ctx, "team", "a", value, 0)
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(1))
	for _, wrong := range []uint64{0, 2} {
		_, err = p.Put(ctx, "team", "a", value, wrong)
		assert.Assert(t, errorx.IsOfType(err, platform.ErrConflict), "version %d: %v", wrong, err)
	}
	o, err = p.Put(ctx, "team", "a", value, 1)
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(2))
	_, revision, err := p.List(ctx, "team")
	assert.NilError(t, err)

	objects, next, err := p.Watch(ctx, []string{"team"}, revision, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 0)
	time.AfterFunc(500*time.Millisecond, func() { _, _ = p.Delete(ctx, "team", "a", 2) })
	objects, _, err = p.Watch(ctx, []string{"deployment", "team"}, next, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
	assert.Assert(t, objects[0].Deleted)
	o, err = p.Put(ctx, "team", "a", value, 0) // a deleted name may be used again
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(4))

	assert.NilError(t, p.Register(ctx, platform.Listed{ID: "e1", Role: platform.RoleEngine}, 3*time.Second))
	listed, err := p.Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(listed), 1)
	time.Sleep(5 * time.Second)
	listed, err = p.Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(listed), 0)
}
