package explain

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testLogs = `
   4.1000 front-a {"endpoint":"e1","instance":"a","level":"info","msg":"endpoint listed","time":"2026-01-01T00:00:01Z"}
{"endpoint":"e9","instance":"a","level":"info","msg":"endpoint listed","time":"2026-01-01T00:00:01Z"}
{"instance":"b","level":"warning","msg":"store lost","time":"2026-01-01T00:00:02Z"}
{"attempt":1,"endpoint":"e1","instance":"a","level":"info","msg":"placed","request":"r1","time":"2026-01-01T00:00:03Z"}
not a log line
{"age_ms":3900,"instance":"b","level":"warning","msg":"configuration too old for keys","request":"r1","status":503,"time":"2026-01-01T00:00:03.5Z"}
{"instance":"b","level":"warning","lines":7,"msg":"decisions left out of the log","time":"2026-01-01T00:00:03.2Z"}
{"endpoint":"e1","instance":"a","level":"info","msg":"attempt failed","request":"r1","error":"reset","time":"2026-01-01T00:00:03.25Z"}
{"instance":"a","level":"info","msg":"answered","request":"r2","time":"2026-01-01T00:00:03.1Z"}
{"instance":"c","level":"warning","msg":"store lost","time":"2026-01-01T00:00:03Z"}
`

// TestTimeline reads the logs of three instances and checks the whole output for one request: its
// lines in order of time, the old configuration marked, the lines of the two instances that handled
// it, and the number of dropped lines. Lines of other requests, instances and endpoints must not
// appear.
func TestTimeline(t *testing.T) {
	var l Log
	assert.NilError(t, l.Read(strings.NewReader(testLogs)))
	assert.Equal(t, l.Unparsed, 2)
	timeline, ok := l.TimelineOf("r1")
	assert.Assert(t, ok)
	var out bytes.Buffer
	assert.NilError(t, timeline.Print(&out))
	assert.Equal(t, out.String(), `request r1, first seen 2026-01-01T00:00:03Z
   +0.000 s  a                    placed attempt=1 endpoint=e1
   +0.250 s  a                    attempt failed endpoint=e1 error=reset
   +0.500 s  b                    configuration too old for keys age_ms=3900 status=503
           ^ old: the configuration was known to be in force 3.9 s before
what these instances believed, from 5s before
   -2.000 s  a                    endpoint listed endpoint=e1
   -1.000 s  b                    store lost
7 lines were left out meanwhile: the story may have gaps
`)
	_, ok = l.TimelineOf("r3")
	assert.Assert(t, !ok)
}

// TestTimelineNamesWords checks that what an instance learned from the answers of an endpoint that a request
// used, and that the store has returned, is in the timeline of the request, with its source and age.
func TestTimelineNamesWords(t *testing.T) {
	const logs = `
{"instance":"a","kind":"endpoints","era":2,"era_before":1,"level":"warning","msg":"the store's era has changed","revision":40,"revision_before":44,"time":"2026-01-01T00:00:01Z"}
{"endpoint":"e1","instance":"a","level":"info","msg":"endpoint is leaving","source":"peer","age_ms":12,"sequence":3,"time":"2026-01-01T00:00:02Z"}
{"endpoint":"e2","instance":"a","level":"info","msg":"endpoint asks for a pause","status":429,"pause_ms":2000,"time":"2026-01-01T00:00:02.5Z"}
{"attempt":1,"endpoint":"e1","instance":"a","level":"info","msg":"placed","request":"r1","time":"2026-01-01T00:00:03Z"}
{"attempt":2,"endpoint":"e2","instance":"a","level":"info","msg":"placed","request":"r1","time":"2026-01-01T00:00:03.1Z"}
`
	var l Log
	assert.NilError(t, l.Read(strings.NewReader(logs)))
	timeline, ok := l.TimelineOf("r1")
	assert.Assert(t, ok)
	var out bytes.Buffer
	assert.NilError(t, timeline.Print(&out))
	for _, want := range []string{
		"the store's era has changed era=2 era_before=1", "endpoint is leaving age_ms=12 endpoint=e1 sequence=3 source=peer", "endpoint asks for a pause endpoint=e2 pause_ms=2000 status=429",
	} {
		assert.Check(t, strings.Contains(out.String(), want), "%q is missing in\n%s", want, out.String())
	}
}
