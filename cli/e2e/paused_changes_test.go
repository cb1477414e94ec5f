package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/cli/caller"
)

// putServices changes the deployment of the services.
func (w *cluster) putServices(change func(*operatorv1.Deployment)) {
	d := &operatorv1.Deployment{
		Name: "queue-app", Kind: operatorv1.Kind_KIND_PLAIN, Service: "queue-app", Teams: []string{teamName},
		Contract: &operatorv1.Contract{Class: "background", DeadlineMs: 5000, QueueMs: 500},
	}
	change(d)
	_, err := w.gateways[0].Config.PutDeployment(w.ctx(), d, 1, "change")
	assert.NilError(w.t, err)
}

// TestChangesWhileServicesPause guards against calls in progress at paused services that are ended or
// repeated by a change of the configuration or a graceful shutdown.
func TestChangesWhileServicesPause(t *testing.T) {
	const pause = 1200 * time.Millisecond
	for name, change := range map[string]func(*cluster){
		"none": func(*cluster) {},
		"shorter deadline": func(w *cluster) {
			w.putServices(func(d *operatorv1.Deployment) { d.Contract.DeadlineMs, d.Contract.QueueMs = 300, 100 })
		},
		"longer deadline": func(w *cluster) { w.putServices(func(d *operatorv1.Deployment) { d.Contract.DeadlineMs = 9000 }) },
		"no queue":        func(w *cluster) { w.putServices(func(d *operatorv1.Deployment) { d.Contract.QueueMs = 1 }) },
		"other methods": func(w *cluster) {
			w.putServices(func(d *operatorv1.Deployment) { d.Contract.IdempotentMethods = []string{"POST"} })
		},
		"other service": func(w *cluster) { w.putServices(func(d *operatorv1.Deployment) { d.Service = "another" }) },
		"key removed": func(w *cluster) {
			_, err := w.gateways[0].Config.PutTeam(w.ctx(), &operatorv1.Team{Name: teamName, KeySha256: []string{fmt.Sprintf("%064x", 1)}}, 1, "change")
			assert.NilError(w.t, err)
		},
		"drain": func(w *cluster) { w.gateways[0].Drain(w.ctx()) },
	} {
		for _, paused := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/%d", name, paused), func(t *testing.T) {
				runCluster(t, clusterConfig{gateways: 2, engines: 1, services: 3}, func(w *cluster) {
					var tickets []string
					for range 4 {
						ticket, err := w.callerOf(0).Ticket(w.ctx())
						assert.NilError(w.t, err)
						tickets = append(tickets, ticket)
					}
					kinds := []func(i int) caller.PlainRequest{
						func(i int) caller.PlainRequest { return callKinds["read"].request(w, i) },
						func(i int) caller.PlainRequest { return callKinds["write"].request(w, i) },
						func(i int) caller.PlainRequest { return callKinds["write with a key"].request(w, i) },
						func(i int) caller.PlainRequest { return newLiftRequestOf(i, tickets[i/4]) },
					}
					w.pauseServices(paused, pause)
					changed := make(chan struct{})
					time.AfterFunc(500*time.Millisecond, func() { defer close(changed); change(w) })
					all := w.callDuring(25*time.Millisecond, 400*time.Millisecond, func(i int) caller.PlainRequest { return kinds[i%4](i) })
					<-changed
					time.Sleep(5 * time.Second)
					for _, c := range all {
						runs := w.callRuns(c.name)
						assert.Check(w.t, outcome(c.err) == "ok" && runs >= 1, "%s: %s in %v, %d runs", c.name, outcome(c.err), c.took, runs)
						assert.Check(w.t, runs == 1 || c.request.Method == "GET" && runs == 2, "%s: %d runs", c.name, runs)
					}
				})
			})
		}
	}
}

// newLiftRequestOf returns a write request with a body of its own.
func newLiftRequestOf(i int, ticket string) caller.PlainRequest {
	r := newLiftRequest(ticket, "")
	r.Body = fmt.Append(nil, "lift ", i)
	return r
}
