package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
)

// TestContractOrder checks that deployments that share engines are admitted in the order of their
// contract classes, not of arrival.
func TestContractOrder(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 1, engines: 1, slots: 4}, func(w *cluster) {
		plans := w.deployment()
		plans.Name, plans.Contract = "plan-writer", &operatorv1.Contract{Class: "background", DeadlineMs: 60000, QueueMs: 40000}
		_, err := w.gateways[0].Config.PutDeployment(w.ctx(), plans, 0, "plans")
		assert.NilError(t, err)
		briefs := w.deployment()
		briefs.Contract.QueueMs = 40000
		_, err = w.gateways[0].Config.PutDeployment(w.ctx(), briefs, 1, "briefs")
		assert.NilError(t, err)
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		ask := func(model string, n int) {
			for i := range n {
				wg.Go(func() {
					status, _, text := w.post(0, "/v1/completions", nil, fmt.Sprintf(`{"model":%q,"prompt":"%d","max_tokens":50,"seed":7}`, model, i))
					assert.Equal(t, status, 200, text)
					mu.Lock()
					defer mu.Unlock()
					order = append(order, model)
				})
			}
			time.Sleep(100 * time.Millisecond)
		}
		ask("plan-writer", 4) // these take all slots
		ask("plan-writer", 8) // these wait
		ask("brief-llm", 4)   // these are admitted before those that wait
		wg.Wait()
		for i, model := range order {
			assert.Equal(t, model == "brief-llm", i >= 4 && i < 8, "%v", order)
		}
	})
}

// TestLongWaitIsNotTakenForFailure guards against callers that take the instance for dead while their
// requests wait in the queue. Callers that received nothing retried until they gave up, so the
// instance must send them something while they wait.
func TestLongWaitIsNotTakenForFailure(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 1, engines: 1, slots: 2}, func(w *cluster) {
		d := w.deployment()
		d.Contract = &operatorv1.Contract{Class: "long", DeadlineMs: 600000, QueueMs: 300000}
		_, err := w.gateways[0].Config.PutDeployment(w.ctx(), d, 1, "long queue")
		assert.NilError(t, err)
		var wg sync.WaitGroup
		for i := range 8 { // each takes 6 s, and two run at a time
			wg.Go(func() {
				r := w.request(300)
				r.Prompt, r.Timeout = fmt.Sprint(i), 100*time.Second
				a, err := w.callerOfAll(0).Generate(w.ctx(), r)
				w.checkAnswer(r, a, err)
				assert.Equal(t, a.Resumes, 0)
			})
		}
		wg.Wait()
		assert.Equal(t, w.totalStats().Streams, int64(8))
	})
}
