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

// holders returns the instances that hold the orders lease.
func (w *world) holders() []int {
	var out []int
	for i, g := range w.gateways {
		if g.Orders.HoldsLease() {
			out = append(out, i)
		}
	}
	return out
}

// ask changes the deployment to a model version on a number of engines.
func (w *world) roll(version string, replicas uint32) {
	w.t.Helper()
	d := proto.Clone(w.dep).(*operatorv1.Deployment)
	d.Version, d.Replicas = version, replicas
	for i, g := range w.gateways {
		current, _ := g.Config.Deployment("brief-llm")
		if _, err := w.gateways[i].Config.PutDeployment(w.ctx(), d, current.Version, "roll "+version); err == nil {
			w.dep = d
			return
		}
	}
	w.t.Fatal("the change was not accepted")
}

// loaded counts the engines that report a version of the model.
func (w *world) loaded(version string) int {
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

func TestRollOut(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		t.Run(fmt.Sprint("engines ignore fencing ", ignore), func(t *testing.T) {
			run(t, shape{gateways: 3, engines: 6, ignoreFencing: ignore}, func(w *world) {
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(w.holders()), 1)
				w.roll("2", 4)
				time.Sleep(30 * time.Second)
				assert.Equal(t, w.loaded("2"), 4)
				r := w.request(20)
				a, err := w.client(0).Generate(w.ctx(), r)
				w.check(r, a, err)
			})
		})
	}
}

// TestRoleOrders: engines take the role of their deployment along with its model.
func TestRoleOrders(t *testing.T) {
	run(t, shape{gateways: 2, engines: 4}, func(w *world) {
		time.Sleep(5 * time.Second)
		w.dep.Role = "decode"
		w.roll("2", 3)
		time.Sleep(20 * time.Second)
		roles := 0
		for _, e := range w.engines {
			if e.Role() == "decode" {
				roles++
			}
		}
		assert.Equal(t, roles, 3)
		assert.Equal(t, w.loaded("2"), 3)
	})
}

// TestRollOutUnderFaults brings a fault about in the middle of a roll-out. Running work goes
// on, never do two instances hold the lease, and the roll-out ends when the fault is over.
func TestRollOutUnderFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(w *world, holder int)
		heal  func(w *world)
	}{
		"holder dies":         {func(w *world, h int) { w.killGateway(h) }, nil},
		"holder cut off":      {func(w *world, h int) { w.cutOff(fmt.Sprint("g", h)) }, func(w *world) { w.heal() }},
		"holder off platform": {func(w *world, h int) { w.cutLink("platform", fmt.Sprint("g", h)) }, func(w *world) { w.heal() }},
		"holder drains":       {func(w *world, h int) { w.gateways[h].Drain(w.ctx()) }, nil},
		"platform down":       {func(w *world, _ int) { w.platform.SetFault(standin.Fault{Down: true}) }, func(w *world) { w.platform.SetFault(standin.Fault{}) }},
		"platform slow":       {func(w *world, _ int) { w.platform.SetFault(standin.Fault{SlowMS: 1500}) }, func(w *world) { w.platform.SetFault(standin.Fault{}) }},
		"answers lost":        {func(w *world, _ int) { w.platform.SetFault(standin.Fault{LoseWrites: 3}) }, nil},
		"an engine is frozen": {func(w *world, _ int) { w.engines[0].SetFault(engine.Fault{Freeze: true}) }, func(w *world) { w.engines[0].SetFault(engine.Fault{}) }},
	} {
		for _, ignore := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/ignore ", ignore), func(t *testing.T) {
				run(t, shape{gateways: 3, engines: 6, ignoreFencing: ignore}, func(w *world) {
					time.Sleep(5 * time.Second)
					h := w.holders()
					assert.Equal(t, len(h), 1)
					w.roll("2", 6)
					time.Sleep(1500 * time.Millisecond)
					c.fault(w, h[0])
					for range 40 {
						time.Sleep(time.Second)
						assert.Assert(t, len(w.holders()) <= 1, "%v hold the lease", w.holders())
					}
					if c.heal != nil {
						c.heal(w)
					}
					time.Sleep(40 * time.Second)
					assert.Equal(t, len(w.holders()), 1)
					assert.Equal(t, w.loaded("2"), 6)
				})
			})
		}
	}
}

// TestOldOrders: an order with an old fencing number, as a paused holder sends it. Engines
// that check refuse it; with those that ignore it the holder reads the state back and
// corrects it.
func TestOldOrders(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		t.Run(fmt.Sprint("ignore ", ignore), func(t *testing.T) {
			run(t, shape{gateways: 3, engines: 3, ignoreFencing: ignore}, func(w *world) {
				time.Sleep(5 * time.Second)
				w.roll("2", 3)
				time.Sleep(20 * time.Second)
				assert.Equal(t, w.loaded("2"), 3)
				client := endpoint.NewClient(time.Second, w.net.Node("old holder"))
				old := &endpoint.Order{Fence: 1, Models: []endpoint.LoadedModel{{Name: model, Version: "1"}}}
				err := client.Order(w.ctx(), w.engines[1].Addr, old)
				assert.Equal(t, err == nil, ignore)
				time.Sleep(20 * time.Second)
				assert.Equal(t, w.loaded("2"), 3)
				assert.Equal(t, w.loaded("1"), 0)
			})
		})
	}
}
