package soak

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// TestRevocationCountsFromReadableWrite: a revocation that was lost with the store's return counts from when
// it was written again, unless an answer of the store held it before.
func TestRevocationCountsFromReadableWrite(t *testing.T) {
	for name, read := range map[string]bool{"nobody read it": false, "an answer held it": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &environment{store: standin.NewStore(0), revoked: map[string]revocation{}, routeAcceptedAt: map[uint64]time.Time{}}
				w.config = configuration()
				w.putConfiguration()
				from := w.store.Copy()
				w.replaceKey()
				revoked := time.Now()
				if read {
					w.store.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/objects/"+platform.KindConfiguration, nil))
				}
				time.Sleep(time.Second)
				w.returnStore(from)
				time.Sleep(time.Second)
				w.replaceRoute()
				written := time.Now()
				time.Sleep(time.Second)
				w.replaceRoute()
				at, known := w.revokedAt("key-0")
				assert.Assert(t, known)
				if read {
					written = revoked
				}
				assert.Equal(t, at, written)
			})
		})
	}
}
