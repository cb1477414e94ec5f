package front_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReload checks that a valid file sets the log level, and that an invalid one changes nothing
// and logs what is wrong.
func TestReload(t *testing.T) {
	run(t, 1, 1, 1, func(w *world) {
		file := filepath.Join(t.TempDir(), "front.ini")
		assert.NilError(t, os.WriteFile(file, []byte(frontSettings(0)+"[logs]\nlevel = warning\n"), 0o600))
		w.fronts[0].Reload(file)
		_, err := w.send(0, pingRequest())
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Assert(t, !strings.Contains(w.logs.String(), `"msg":"answered"`))
		assert.NilError(t, os.WriteFile(file, []byte("[instance]\nid =\n"), 0o600))
		w.fronts[0].Reload(file)
		time.Sleep(time.Second)
		assert.Assert(t, strings.Contains(w.logs.String(), "[instance] id: is required"))
		a, err := w.send(0, pingRequest())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
	})
}

// TestReloadShares: the weights of teams take effect without a restart, while other changes need one.
func TestReloadShares(t *testing.T) {
	runQueue(t, 1, 1, func(w *queueWorld) {
		file := filepath.Join(t.TempDir(), "front.ini")
		reload := func(overload string) {
			assert.NilError(t, os.WriteFile(file, []byte(frontSettings(0)+"[overload]\n"+overload), 0o600))
			w.fronts[0].Reload(file)
			time.Sleep(time.Second)
		}
		reload("shared_queue = true\nshares = desk:5\n")
		assert.Equal(t, strings.Count(w.logs.String(), `"needs_restart":false`), 1)
		assert.Equal(t, strings.Count(w.logs.String(), `"msg":"shares of teams in force"`), 1)
		reload("shared_queue = true\nshares = desk:0\n")
		assert.Equal(t, strings.Count(w.logs.String(), `"msg":"shares of teams in force"`), 1)
		reload("shares = desk:5\n")
		assert.Equal(t, strings.Count(w.logs.String(), `"needs_restart":true`), 1)
	})
}
