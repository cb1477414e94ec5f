package e2e

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/cli/standin/engine"
	standin "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/endpoint"
)

// leaseHolders returns the instances that hold the orders lease.
func (w *cluster) leaseHolders() []int {
	var out []int
	for i, g := range w.gateways {
		if g.Orders.HoldsLease() {
			out = append(out, i)
		}
	}
	return out
}

// rollOut changes the deployment to a model version on a number of engines, through the first
// instance that accepts the change.
func (w *cluster) rollOut(version string, replicas uint32) {
	w.t.Helper()
	d := proto.Clone(w.generationDeployment).(*operatorv1.Deployment)
	d.Version, d.Replicas = version, replicas
	for i, g := range w.gateways {
		current, _ := g.Config.Deployment("brief-llm")
		if _, err := w.gateways[i].Config.PutDeployment(w.ctx(), d, current.Version, "roll "+version); err == nil {
			w.generationDeployment = d
			return
		}
	}
	w.t.Fatal("the change was not accepted")
}

// countLoaded counts the engines that have loaded a version of the model.
func (w *cluster) countLoaded(version string) int {
	n := 0
	for _, e := range w.engines {
		for _, m := range e.Models() {
			if m.Name == model && m.Version == version {
				n++
			}
		}
	}
	return n
}

// TestRollOut checks that a new model version is loaded on as many engines as the deployment asks
// for, also with engines that ignore fencing numbers.
func TestRollOut(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		t.Run(fmt.Sprint("engines ignore fencing ", ignore), func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 3, engines: 6, ignoreFencing: ignore}, func(w *cluster) {
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(w.leaseHolders()), 1)
				w.rollOut("2", 4)
				time.Sleep(30 * time.Second)
				assert.Equal(t, w.countLoaded("2"), 4)
				r := w.request(20)
				a, err := w.callerOfAll(0).Generate(w.ctx(), r)
				w.checkAnswer(r, a, err)
			})
		})
	}
}

// TestRoleOrders checks that engines take the role of their deployment together with its model.
func TestRoleOrders(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 2, engines: 4}, func(w *cluster) {
		time.Sleep(5 * time.Second)
		w.generationDeployment.Role = "decode"
		w.rollOut("2", 3)
		time.Sleep(20 * time.Second)
		roles := 0
		for _, e := range w.engines {
			if e.Role() == "decode" {
				roles++
			}
		}
		assert.Equal(t, roles, 3)
		assert.Equal(t, w.countLoaded("2"), 3)
	})
}

// TestRollOutUnderFaults injects a fault in the middle of a roll-out. Two instances must never hold
// the lease, and the roll-out must complete after the fault.
func TestRollOutUnderFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(w *cluster, holder int)
		heal  func(w *cluster)
	}{
		"holder dies":         {func(w *cluster, h int) { w.killGateway(h) }, nil},
		"holder cut off":      {func(w *cluster, h int) { w.isolate(fmt.Sprint("g", h)) }, func(w *cluster) { w.heal() }},
		"holder off platform": {func(w *cluster, h int) { w.cutLink("platform", fmt.Sprint("g", h)) }, func(w *cluster) { w.heal() }},
		"holder drains":       {func(w *cluster, h int) { w.gateways[h].Drain(w.ctx()) }, nil},
		"platform down":       {func(w *cluster, _ int) { w.platform.SetFault(standin.Fault{Down: true}) }, func(w *cluster) { w.platform.SetFault(standin.Fault{}) }},
		"platform slow":       {func(w *cluster, _ int) { w.platform.SetFault(standin.Fault{SlowMS: 1500}) }, func(w *cluster) { w.platform.SetFault(standin.Fault{}) }},
		"answers lost":        {func(w *cluster, _ int) { w.platform.SetFault(standin.Fault{LoseWrites: 3}) }, nil},
		"an engine is frozen": {func(w *cluster, _ int) { w.engines[0].SetFault(engine.Fault{Freeze: true}) }, func(w *cluster) { w.engines[0].SetFault(engine.Fault{}) }},
	} {
		for _, ignore := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/ignore ", ignore), func(t *testing.T) {
				runCluster(t, clusterConfig{gateways: 3, engines: 6, ignoreFencing: ignore}, func(w *cluster) {
					time.Sleep(5 * time.Second)
					h := w.leaseHolders()
					assert.Equal(t, len(h), 1)
					w.rollOut("2", 6)
					time.Sleep(1500 * time.Millisecond)
					c.fault(w, h[0])
					for range 40 {
						time.Sleep(time.Second)
						assert.Assert(t, len(w.leaseHolders()) <= 1, "%v hold the lease", w.leaseHolders())
					}
					if c.heal != nil {
						c.heal(w)
					}
					time.Sleep(40 * time.Second)
					assert.Equal(t, len(w.leaseHolders()), 1)
					assert.Equal(t, w.countLoaded("2"), 6)
				})
			})
		}
	}
}

// TestOrderWithOldFencingNumber sends an order as an instance does that was paused while it held
// the lease. Engines that check fencing numbers must refuse it. For engines that ignore them, the
// lease holder must read the state back and correct it.
func TestOrderWithOldFencingNumber(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		t.Run(fmt.Sprint("ignore ", ignore), func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 3, engines: 3, ignoreFencing: ignore}, func(w *cluster) {
				time.Sleep(5 * time.Second)
				w.rollOut("2", 3)
				time.Sleep(20 * time.Second)
				assert.Equal(t, w.countLoaded("2"), 3)
				client := endpoint.NewClient(time.Second, w.net.Node("old holder"))
				old := &endpoint.Order{Fence: 1, Models: []endpoint.LoadedModel{{Name: model, Version: "1"}}}
				err := client.Order(w.ctx(), w.engines[1].Addr, old)
				assert.Equal(t, err == nil, ignore)
				time.Sleep(20 * time.Second)
				assert.Equal(t, w.countLoaded("2"), 3)
				assert.Equal(t, w.countLoaded("1"), 0)
			})
		})
	}
}
