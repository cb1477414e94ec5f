package e2e

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	standin "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/config"
)

// deploymentVersions returns the version of the deployment in force at each instance, 0 where there
// is none.
func (w *cluster) deploymentVersions() []uint64 {
	out := make([]uint64, len(w.gateways))
	for i, g := range w.gateways {
		if d, ok := g.Config.Deployment("brief-llm"); ok {
			out[i] = d.Version
		}
	}
	return out
}

// waitInForce waits until a version is in force at the given instances, and returns how long it took.
func (w *cluster) waitInForce(version uint64, instances ...int) time.Duration {
	w.t.Helper()
	began := time.Now()
	for time.Since(began) < 30*time.Second {
		got, all := w.deploymentVersions(), true
		for _, i := range instances {
			all = all && got[i] >= version
		}
		if all {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.t.Fatalf("version %d is not in force: %v", version, w.deploymentVersions())
	return 0
}

// updateDeadline changes the deadline of the deployment through instance i.
func (w *cluster) updateDeadline(i int, version uint64, deadline uint32, operation string) (uint64, error) {
	d := proto.Clone(w.generationDeployment).(*operatorv1.Deployment)
	d.Contract.DeadlineMs = deadline
	return w.gateways[i].Config.PutDeployment(w.ctx(), d, version, operation)
}

// TestChangeIsInForceEverywhere checks that an accepted change is in force at all instances within
// seconds. The faults of the platform and of the network leave some path to each instance.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for name, c := range map[string]struct {
		after func(*cluster) // injects a fault right after the change was accepted
	}{
		"clean":                           {nil},
		"platform down at once":           {func(w *cluster) { w.platform.SetFault(standin.Fault{Down: true}) }},
		"platform slow":                   {func(w *cluster) { w.platform.SetFault(standin.Fault{SlowMS: 1500}) }},
		"two cut off from the platform":   {func(w *cluster) { w.cutLink("platform", "g1", "g2") }},
		"accepting instance dies":         {func(w *cluster) { w.killGateway(0) }},
		"one cut off, back after a while": {func(w *cluster) { w.isolate("g2"); time.Sleep(3 * time.Second); w.heal() }},
		"platform down, one back later": {func(w *cluster) {
			w.platform.SetFault(standin.Fault{Down: true})
			w.isolate("g2")
			time.Sleep(3 * time.Second)
			w.heal()
		}},
		"instances cut off from each other": {func(w *cluster) { w.cutLink("g0", "g1", "g2"); w.cutLink("g1", "g2") }},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 3, engines: 1}, func(w *cluster) {
				version, err := w.updateDeadline(0, 1, 30000, "op")
				assert.NilError(t, err)
				assert.Equal(t, version, uint64(2))
				if c.after != nil {
					c.after(w)
				}
				took := w.waitInForce(2, 1, 2)
				assert.Assert(t, took < 5*time.Second, "%v", took)
			})
		})
	}
}

// cutLink cuts the links between a and others, in addition to links cut before.
func (w *cluster) cutLink(a string, others ...string) {
	w.net.AddCut(func(x, y string) bool {
		for _, b := range others {
			if x == a && y == b || x == b && y == a {
				return true
			}
		}
		return false
	})
}

// TestRacingOperators sends concurrent changes of one version. Exactly one must be accepted, and
// the others must be refused with the version in force.
func TestRacingOperators(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 3, engines: 1}, func(w *cluster) {
		for round := uint64(1); round <= 5; round++ {
			var mu sync.Mutex
			won := 0
			var wg sync.WaitGroup
			for i := range 9 {
				wg.Go(func() {
					_, err := w.updateDeadline(i%3, round, uint32(10000+i), fmt.Sprint("op", round, "-", i))
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						won++
						return
					}
					assert.Assert(t, errorx.IsOfType(err, config.ErrConflict), "%v", err)
					assert.Equal(t, config.CurrentVersion(err), round+1)
				})
			}
			wg.Wait()
			assert.Equal(t, won, 1)
		}
		w.waitInForce(6, 0, 1, 2)
	})
}

// TestLostPlatformAnswer loses the answer to a write that took effect. The change must be accepted
// once, and a retry with the same operation id must count as the same change.
func TestLostPlatformAnswer(t *testing.T) {
	for name, f := range map[string]standin.Fault{"lost": {LoseWrites: 1}, "lost, then slow": {LoseWrites: 1, SlowMS: 200}} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 2, engines: 1}, func(w *cluster) {
				w.platform.SetFault(f)
				version, err := w.updateDeadline(0, 1, 30000, "op")
				assert.NilError(t, err)
				assert.Equal(t, version, uint64(2))
				version, err = w.updateDeadline(1, 1, 30000, "op") // a retry by the operator's tool
				assert.NilError(t, err)
				assert.Equal(t, version, uint64(2))
				_, err = w.updateDeadline(1, 1, 30000, "another op")
				assert.Assert(t, errorx.IsOfType(err, config.ErrConflict))
			})
		})
	}
}

// TestChangeDuringPlatformOutageIsRefused checks that the configuration in force stays in force
// when a change is refused because the platform is down.
func TestChangeDuringPlatformOutageIsRefused(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 2, engines: 1}, func(w *cluster) {
		w.platform.SetFault(standin.Fault{Down: true})
		_, err := w.updateDeadline(0, 1, 30000, "op")
		assert.Assert(t, errorx.IsOfType(err, config.ErrUnavailable), "%v", err)
		assert.DeepEqual(t, w.deploymentVersions(), []uint64{1, 1})
		r := w.request(20)
		a, err := w.callerOfAll(0).Generate(w.ctx(), r) // the old configuration still serves
		w.checkAnswer(r, a, err)
	})
}

// TestStartDuringPlatformOutage starts an instance while the platform is down. It must take the
// configuration from its peers, and no instance may return to an older version.
func TestStartDuringPlatformOutage(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 3, engines: 1}, func(w *cluster) {
		old := w.gateways[0].Config.Differing(nil)
		_, err := w.updateDeadline(0, 1, 30000, "op")
		assert.NilError(t, err)
		w.waitInForce(2, 0, 1, 2)
		w.platform.SetFault(standin.Fault{Down: true})
		w.killGateway(2)
		w.net.SetCrashed("g2", false)
		w.config.extraSettings = "[peers]\nseeds = " + w.gateways[0].Peers + "\n"
		w.gateways[2] = w.startGateway(2)
		w.waitInForce(2, 2)
		for _, g := range w.gateways {
			g.Config.Apply(old) // as if a peer with an old configuration had sent it
		}
		assert.DeepEqual(t, w.deploymentVersions(), []uint64{2, 2, 2})
		w.platform.SetFault(standin.Fault{})
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, w.deploymentVersions(), []uint64{2, 2, 2})
	})
}

// TestDeleteAndCreateAgain checks that versions of a deleted deployment continue when it is created
// again.
func TestDeleteAndCreateAgain(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 2, engines: 1}, func(w *cluster) {
		c := w.gateways[0].Config
		version, err := c.Delete(w.ctx(), config.KindDeployment, "brief-llm", 1, "op1")
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(2))
		time.Sleep(time.Second)
		assert.DeepEqual(t, w.deploymentVersions(), []uint64{0, 0})
		version, err = c.PutDeployment(w.ctx(), w.generationDeployment, 0, "op2")
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(3))
		w.waitInForce(3, 0, 1)
		_, err = c.PutDeployment(w.ctx(), w.generationDeployment, 0, "op3")
		assert.Assert(t, errorx.IsOfType(err, config.ErrConflict))
		_, err = c.Delete(w.ctx(), config.KindTeam, teamName, 1, "op4")
		assert.Equal(t, config.Field(err), "name")
	})
}

// TestBadChangesNameTheField makes one field of a valid deployment invalid at a time. The error
// must name the field.
func TestBadChangesNameTheField(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 1, engines: 1}, func(w *cluster) {
		_, err := w.platformClient("operator").Put(w.ctx(), config.KindModel, model, []byte("{}"), 0)
		assert.NilError(t, err)
		for field, change := range map[string]func(*operatorv1.Deployment){
			"deployment.name":                    func(d *operatorv1.Deployment) { d.Name = "Brief LLM" },
			"deployment.kind":                    func(d *operatorv1.Deployment) { d.Kind = 0 },
			"deployment.service":                 func(d *operatorv1.Deployment) { d.Service = "" },
			"deployment.model":                   func(d *operatorv1.Deployment) { d.Model = "unknown" },
			"deployment.adapters[0]":             func(d *operatorv1.Deployment) { d.Adapters = []string{"unknown"} },
			"deployment.teams":                   func(d *operatorv1.Deployment) { d.Teams = nil },
			"deployment.teams[1]":                func(d *operatorv1.Deployment) { d.Teams = append(d.Teams, "nobody") },
			"deployment.routing.cache_weight":    func(d *operatorv1.Deployment) { d.Routing = &operatorv1.Routing{CacheWeight: -1} },
			"deployment.recovery.policy":         func(d *operatorv1.Deployment) { d.Recovery.Policy = "hope" },
			"deployment.recovery.silence_factor": func(d *operatorv1.Deployment) { d.Recovery.SilenceFactor = 0.5 },
			"deployment.contract.class":          func(d *operatorv1.Deployment) { d.Contract.Class = "soon" },
			"deployment.contract.deadline_ms":    func(d *operatorv1.Deployment) { d.Contract.DeadlineMs = 1 << 31 },
			"deployment.contract.queue_ms":       func(d *operatorv1.Deployment) { d.Contract.QueueMs = d.Contract.DeadlineMs },
			"deployment.replicas":                func(d *operatorv1.Deployment) { d.Replicas = 1 << 30 },
			"deployment.role":                    func(d *operatorv1.Deployment) { d.Role = "decode" },
			"deployment.version":                 func(d *operatorv1.Deployment) { d.Replicas, d.Version = 1, "" },
		} {
			d := proto.Clone(w.generationDeployment).(*operatorv1.Deployment)
			change(d)
			_, err := w.gateways[0].Config.PutDeployment(w.ctx(), d, 1, "op")
			assert.Assert(t, errorx.IsOfType(err, config.ErrInvalid), "%s: %v", field, err)
			assert.Equal(t, config.Field(err), field)
			assert.Assert(t, strings.Contains(err.Error(), field))
		}
		assert.DeepEqual(t, w.deploymentVersions(), []uint64{1})
	})
}
