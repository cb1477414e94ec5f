package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// TestOddEntryHidesNoEndpoints guards against endpoints that no instance uses since another entry of the list can't be
// decoded: the whole answer of the store was refused, and with it each endpoint that came after the odd entry.
func TestOddEntryHidesNoEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		field string
		value any
	}{
		"nested in an unknown field": {"odd", standin.NestedLists(20000)},
		"nested at the limit":        {"odd", standin.NestedLists(9998)},
		"nested models":              {"models", standin.NestedLists(20000)},
		"number too large":           {"slots", 1e300},
		"port out of range":          {"address", "10.9.0.1:99999"},
	} {
		for _, before := range []bool{true, false} {
			t.Run(fmt.Sprint(name, "/before start ", before), func(t *testing.T) {
				put := func(w *world) {
					w.store.Put(platform.KindEndpoint, "odd", standin.RegistrationWith(standin.WorkerConfig{Service: "plain", Address: "10.9.0.1:80", DataCentre: "dc0", Slots: 6}, c.field, c.value))
				}
				prepare := func(w *world) {
					if before {
						put(w)
					}
				}
				runWith(t, 3, 1, 1, prepare, func(w *world) {
					if !before {
						put(w)
						time.Sleep(time.Second)
					}
					w.plains = append(w.plains, w.newPlain(1, ""))
					w.store.Remove(platform.KindEndpoint, w.plains[0].Config().ID)
					time.Sleep(3 * time.Second)
					for i := range 3 {
						for range 3 {
							assert.Equal(t, w.answer(i, pingRequest()).Status, http.StatusOK)
						}
					}
					assert.Equal(t, len(w.plains[1].Runs()), 9, "the endpoint that came after the odd entry")
					w.store.Remove(platform.KindEndpoint, "odd")
					time.Sleep(time.Second)
					assert.Equal(t, w.answer(0, pingRequest()).Status, http.StatusOK)
				})
			})
		}
	}
}
