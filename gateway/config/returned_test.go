package config_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/gateway/config"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// returnWorld is two instances that follow a store, which returns from a copy that lacks the second version of
// the team a, the team b and that the team gone was deleted.
type returnWorld struct {
	ctx       context.Context
	t         *testing.T
	net       *memnet.Net
	instances []*config.Config
}

func withReturnedStore(t *testing.T, test func(w *returnWorld)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &returnWorld{ctx: ctx, t: t, net: memnet.New()}
		l, err := w.net.Node("store").Listen("10.0.9.1:80")
		assert.NilError(t, err)
		store := standin.NewStore(0)
		stop := standin.Serve(l, store)
		defer func() {
			cancel()
			stop()
			w.net.CloseAll()
		}()
		for range 2 {
			c := w.newConfig()
			go c.Follow(ctx, config.FollowOptions{WatchTimeout: 5 * time.Second, RetryPause: 200 * time.Millisecond, Watches: func() bool { return true }})
			w.instances = append(w.instances, c)
		}
		w.putTeam("a", 0, 1)
		w.putTeam("gone", 0, 1)
		time.Sleep(time.Second)
		from := store.Copy()
		w.putTeam("a", 1, 2)
		w.putTeam("b", 0, 1)
		_, err = w.instances[0].Delete(ctx, config.KindTeam, "gone", 1, "")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		store.Return(from)
		time.Sleep(12 * time.Second)
		test(w)
	})
}

func (w *returnWorld) newConfig() *config.Config {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := platform.NewObjects("http://10.0.9.1:80", 2*time.Second, w.net.Node("instance"))
	return config.New(p, logrus.NewEntry(log), tally.NoopScope, nil)
}

func (w *returnWorld) putTeam(name string, expected, want uint64) {
	version, err := w.instances[0].PutTeam(w.ctx, &operatorv1.Team{Name: name, Rate: 10, Burst: 10, Concurrent: 10}, expected, "")
	assert.NilError(w.t, err)
	assert.Equal(w.t, version, want)
}

// TestTeamsAfterStoreReturned: changes that are made after the store has returned from an older copy reach the
// other instances that watch it.
func TestTeamsAfterStoreReturned(t *testing.T) {
	withReturnedStore(t, func(w *returnWorld) {
		w.putTeam("c", 0, 1)
		time.Sleep(2 * time.Second)
		_, known := w.instances[1].Team("c")
		assert.Assert(t, known)
	})
}

// TestTeamsKeptAcrossReturn: what was in force before the store returned from an older copy can be changed by
// its version, and an instance that starts later has it.
func TestTeamsKeptAcrossReturn(t *testing.T) {
	withReturnedStore(t, func(w *returnWorld) {
		w.putTeam("a", 2, 3)
		late := w.newConfig()
		assert.NilError(t, late.Load(w.ctx))
		a, _ := late.Team("a")
		assert.Equal(t, a.Version, uint64(3))
		_, known := late.Team("b")
		assert.Assert(t, known, "a team that was created is lost")
		_, known = late.Team("gone")
		assert.Assert(t, !known, "a team that was deleted is back")
		_, err := w.instances[0].PutTeam(w.ctx, &operatorv1.Team{Name: "a", Rate: 10, Burst: 10, Concurrent: 10}, 1, "")
		assert.Equal(t, config.CurrentVersion(err), uint64(3))
	})
}

// TestChangeSentAgainKeepsItsVersion: a change or a deletion that is sent again with its operation id is the one in
// force.
func TestChangeSentAgainKeepsItsVersion(t *testing.T) {
	withReturnedStore(t, func(w *returnWorld) {
		team := &operatorv1.Team{Name: "d", Rate: 10, Burst: 10, Concurrent: 10}
		for range 2 {
			version, err := w.instances[0].PutTeam(w.ctx, team, 0, "create")
			assert.NilError(t, err)
			assert.Equal(t, version, uint64(1))
		}
		for range 2 {
			version, err := w.instances[0].Delete(w.ctx, config.KindTeam, "d", 1, "delete")
			assert.NilError(t, err)
			assert.Equal(t, version, uint64(2))
		}
	})
}
