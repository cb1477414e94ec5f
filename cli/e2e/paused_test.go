package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/standin/plain"
)

// TestCallThatMayHaveRunIsNotRefused guards against a call that is reported as not run after an endpoint may
// have run it. The service got it and was not heard of again, and no other endpoint takes it.
func TestCallThatMayHaveRunIsNotRefused(t *testing.T) {
	for name, refuse := range map[string]func(w *cluster){
		"no other endpoint": func(*cluster) {},
		"the other refuses": func(w *cluster) { w.services[1].SetFault(plain.Fault{NotRun: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			services := map[string]int{"no other endpoint": 1, "the other refuses": 2}[name]
			runCluster(t, clusterConfig{gateways: 1, engines: 1, services: services}, func(w *cluster) {
				w.services[0].SetFault(plain.Fault{DropAfterRun: true})
				refuse(w)
				for i := range 8 {
					c := caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: fmt.Sprint("/status/", i), Timeout: 5 * time.Second}
					_, err := w.callerOf(0).CallPlain(w.ctx(), c)
					ran := w.callRuns(fmt.Sprint(c.Method, " ", c.Path, " ", string(c.Body)))
					assert.Check(t, ran == 0 || !strings.HasSuffix(outcome(err), "/not_run"), "%d runs, %s", ran, outcome(err))
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}
