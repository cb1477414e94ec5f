package forward

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/gateway/shed"
	"github.com/agateway/agateway/platform"
)

// TestIdentity checks which parts of a request make up its identity. A request sent again with
// another id or header keeps its identity, and different requests must not share one.
func TestIdentity(t *testing.T) {
	type parts struct {
		team, method, host, target, body, id, prompt string
		large                                        int64 // stated length of a body that is not all in memory; -1 for chunks, 0 for a buffered body
	}
	identityOf := func(p parts) crashers.Subject {
		r, err := http.NewRequest(p.method, "http://x", nil)
		assert.NilError(t, err)
		r.Host, r.RequestURI = p.host, p.target
		r.Header.Set("Prompt", p.prompt)
		req := &request{httpRequest: r, body: shed.NewBody([]byte(p.body)), replayable: p.large == 0, contentLength: p.large}
		req.ID = p.id
		if p.team != "" {
			req.team = &route.Team{Name: p.team}
		}
		req.identify(true)
		return req.identity.Whole
	}
	base := parts{team: "desk", method: http.MethodPost, host: "a.example", target: "/brief/1?x=1", body: "case", id: "1"}
	change := func(f func(*parts)) parts {
		p := base
		f(&p)
		return p
	}
	for name, p := range map[string]parts{
		"another id":     change(func(p *parts) { p.id = "2" }),
		"another header": change(func(p *parts) { p.prompt = "b1" }),
	} {
		assert.Equal(t, identityOf(p), identityOf(base), name)
	}
	seen := map[crashers.ContentHash]string{identityOf(base).Content: "one"}
	for name, p := range map[string]parts{
		"another team":                  change(func(p *parts) { p.team = "field" }),
		"no team":                       change(func(p *parts) { p.team = "" }),
		"another method":                change(func(p *parts) { p.method = http.MethodPut }),
		"another host":                  change(func(p *parts) { p.host = "b.example" }),
		"another path":                  change(func(p *parts) { p.target = "/brief/2?x=1" }),
		"another query":                 change(func(p *parts) { p.target = "/brief/1?x=2" }),
		"another body":                  change(func(p *parts) { p.body = "cases" }),
		"no body":                       change(func(p *parts) { p.body = "" }),
		"a part that moved":             change(func(p *parts) { p.host, p.target = "a.example/", "brief/1?x=1" }),
		"a long body":                   change(func(p *parts) { p.body, p.large = strings.Repeat("x", maxBufferedBody), 1<<20 }),
		"a longer one with that start":  change(func(p *parts) { p.body, p.large = strings.Repeat("x", maxBufferedBody), 2<<20 }),
		"one in chunks with that start": change(func(p *parts) { p.body, p.large = strings.Repeat("x", maxBufferedBody), -1 }),
		"a long one with another start": change(func(p *parts) { p.body, p.large = strings.Repeat("y", maxBufferedBody), 1<<20 }),
	} {
		c := identityOf(p).Content
		assert.Equal(t, seen[c], "", name)
		seen[c] = name
	}
}

// TestLogLinesNamePromptParts guards against crashes whose log lines can't be compared by the parts of their
// prompts, and against long lines for prompts of many parts.
func TestLogLinesNamePromptParts(t *testing.T) {
	req := &request{}
	for i := range 2 * maxLoggedParts {
		req.PromptParts = append(req.PromptParts, platform.PromptPart{ID: uint64(0xa0 + i)})
	}
	parts := req.partsText()
	assert.Equal(t, len(parts), maxLoggedParts)
	assert.DeepEqual(t, parts[:2], []string{"a0", "a1"})
}
