package settings

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

const validSettings = `
[instance]
id = entry-1
data_centre = alm-hall-a
[platform]
url = http://10.0.0.1:80
[keys]
cursor = 0123456789abcdef
peer = 0123456789abcdef
operator_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
`

func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Instance.Callers, "127.0.0.1:8080")
	assert.Equal(t, s.Recovery.SilenceFloor, 200*time.Millisecond)
	assert.Equal(t, s.Recovery.Policy, "latency")
	assert.Equal(t, len(s.Peers.Seeds), 0)
	assert.Assert(t, s.Instance.Register)
}

func TestErrorsNameSectionAndKey(t *testing.T) {
	for change, want := range map[string]string{
		"[instance]\nid =":                   "[instance] id: is required",
		"[platform]\nurl = ftp://x":          "[platform] url: ",
		"[platform]\ntimeout = 2":            `[platform] timeout: "2" is no duration`,
		"[platform]\ntimeout = 1ms":          "[platform] timeout: must be at least 10ms",
		"[keys]\npeer = short":               "[keys] peer: must have at least 16 characters",
		"[keys]\noperator_sha256 = xyz":      "[keys] operator_sha256: ",
		"[instance]\ncallers = localhost:80": "[instance] callers: ",
		"[instance]\ncallers = 1":            "[instance] callers: ",
		"[recovery]\npolicy = hope":          `[recovery] policy: "hope" is none of`,
		"[recovery]\nmax_attempts = many":    "[recovery] max_attempts: ",
		"[recovery]\nsilence_factor = NaN":   "[recovery] silence_factor: must be at least 1",
		"[logs]\nlevel = loud":               "[logs] level: ",
		"[logs]\nlevle = info":               "[logs] levle: unknown key",
		"[log]\nlevel = info":                "[log]: unknown section",
		"[instance]\nregister = maybe":       "[instance] register: ",
		"[callers]\nbody_limit = -1":         "[callers] body_limit: must be at least 1",
		"[traces]\nsample = much":            "[traces] sample: ",
		"[recovery]\nsilence_floor = 5s":     "[recovery] silence_floor: must not exceed silence_ceiling",
		"[traces]\nexporter = otlp":          "[traces] endpoint: is required",
	} {
		_, err := Parse([]byte(validSettings + change))
		assert.Assert(t, errorx.IsOfType(err, ErrInvalid), "%q: %v", change, err)
		assert.ErrorContains(t, err, want)
	}
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	_, err := Parse([]byte("[instance]\nid = x\n[logs]\nlevel = loud\n"))
	for _, want := range []string{"[instance] data_centre", "[platform] url", "[keys] cursor", "[logs] level"} {
		assert.ErrorContains(t, err, want)
	}
}

func TestUnreadableFile(t *testing.T) {
	_, err := Load("no-such-file.ini")
	assert.Assert(t, errorx.IsOfType(err, ErrUnreadable))
	_, err = Parse([]byte("[broken"))
	assert.Assert(t, errorx.IsOfType(err, ErrUnreadable))
}

// TestPrintedSettingsParse parses what Print writes, with the required keys filled in.
func TestPrintedSettingsParse(t *testing.T) {
	var b bytes.Buffer
	Print(&b)
	text := b.String()
	for line := range strings.Lines(validSettings) {
		if key, _, ok := strings.Cut(line, " = "); ok {
			text = strings.Replace(text, "\n"+key+" = \n", "\n"+line, 1)
		}
	}
	s, err := Parse([]byte(text))
	assert.NilError(t, err)
	want, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.DeepEqual(t, s, want)
}

// TestDocsHoldAllKeys checks that docs/SETTINGS.md holds the current output of Print.
func TestDocsHoldAllKeys(t *testing.T) {
	docs, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	var b bytes.Buffer
	Print(&b)
	assert.Assert(t, strings.Contains(string(docs), b.String()), "run: agatewayd config print")
}

const validFrontSettings = `
[instance]
id = f1
data_centre = dc0
region = r
[listen]
callers = 10.0.0.1:80
ready = 10.0.0.1:81
directory = 10.0.0.1:82
peers = 10.0.0.1:83
[store]
address = 10.0.9.1:80
`

func TestFrontDefaults(t *testing.T) {
	s, err := ParseFront([]byte(validFrontSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.WatchWait(), 900*time.Millisecond)
	assert.Equal(t, s.Listen.Metrics, "")
}

// TestFrontErrorsAreReportedAtOnce checks that one error names every key that is wrong, missing or
// unknown.
func TestFrontErrorsAreReportedAtOnce(t *testing.T) {
	text := strings.Replace(validFrontSettings, "10.0.0.1:81", "ready.example:81", 1)
	text = strings.Replace(text, "region = r", "zone = r", 1)
	_, err := ParseFront([]byte(text + "watch = 5s\n[stream]\n"))
	assert.Assert(t, errorx.IsOfType(err, ErrInvalid))
	for _, want := range []string{
		"[instance] region: is required", "[instance] zone: unknown key", "[listen] ready: ", "[stream]: unknown section",
		"[store] watch: has to be less than [bounds] apply",
	} {
		assert.ErrorContains(t, err, want)
	}
}

// TestShares: weights of teams are read from one key. A weight that would exclude a team, or let it
// take everything, is refused, and so is a list that names a team twice.
func TestShares(t *testing.T) {
	s, err := ParseFront([]byte(validFrontSettings + "[overload]\nshares = desk:2, the field: 0.5,a:b:3\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Overload.TeamWeights(), map[string]float64{"desk": 2, "the field": 0.5, "a:b": 3})
	for _, text := range []string{"desk", "desk:", ":2", "desk:0", "desk:-1", "desk:NaN", "desk:1000", "desk:1,desk:2"} {
		_, err := ParseFront([]byte(validFrontSettings + "[overload]\nshares = " + text + "\n"))
		assert.ErrorContains(t, err, "[overload] shares: ", text)
	}
}
