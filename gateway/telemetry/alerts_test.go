package telemetry

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAlertRulesNameExistingMetrics guards against alert rules that never fire: each metric in the
// example's rules must occur as a metric name in the daemon's sources.
func TestAlertRulesNameExistingMetrics(t *testing.T) {
	const prefix = "agateway_"
	rules, err := os.ReadFile("../../examples/alerts.yml")
	assert.NilError(t, err)
	sources := allSources(t, "..")
	named := regexp.MustCompile(`\b`+prefix+`[a-z_]+`).FindAllString(string(rules), -1)
	assert.Assert(t, len(named) > 0)
	for _, name := range named {
		metric := strings.TrimSuffix(strings.TrimPrefix(name, prefix), "_bucket")
		assert.Assert(t, strings.Contains(sources, `"`+metric+`"`), "there is no metric %s", name)
	}
}

// allSources returns the concatenated Go sources of a folder, without tests.
func allSources(t *testing.T, dir string) string {
	var all strings.Builder
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		all.Write(raw)
		return err
	})
	assert.NilError(t, err)
	return all.String()
}
