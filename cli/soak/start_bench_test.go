package soak

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// daemon returns the program to measure: the one that AGATEWAYD names, to compare builds, or this tree's.
func daemon(b *testing.B) string {
	b.Helper()
	if path := os.Getenv("AGATEWAYD"); path != "" {
		return path
	}
	path := filepath.Join(b.TempDir(), "agatewayd")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "github.com/agateway/agateway/gateway/cmd/agatewayd").CombinedOutput()
	assert.NilError(b, err, "%s", out)
	return path
}

// BenchmarkStart: from the start of a process to its first answer to a request that came meanwhile, and to the first event
// of a stream whose prompt an engine keeps that no instance remembers.
func BenchmarkStart(b *testing.B) {
	options := Options{Engines: 24, Plain: 3, Grace: DefaultGrace, Work: DefaultWork}
	w, err := newWorld(b.TempDir(), "", options)
	assert.NilError(b, err)
	defer w.close()
	store, err := newProxy(w.storeAddress)
	assert.NilError(b, err)
	p, err := newProcess(b.TempDir(), daemon(b), store.address(), 0, &w.ports, &w.harms, &options)
	assert.NilError(b, err)
	prompt := standin.Request{Method: http.MethodPost, Host: host, Path: "/brief/1", Key: keptKey, Body: "case", Timeout: streamWait, PromptID: "ab", PromptTokens: promptSize}
	var plain, stream time.Duration
	refused := 0
	for i := 0; b.Loop(); i++ {
		began := time.Now()
		assert.Assert(b, p.start())
		ping := standin.Request{Method: http.MethodGet, Host: host, Path: "/ping/1", Key: keptKey, Timeout: plainWait}
		for firstAnswer(b, p.callers, ping).Status != http.StatusOK {
			refused++
		}
		plain += time.Since(began)
		if i > 0 { // the first one lets an engine read the prompt
			prompt.LastEventID = 1
		}
		a := firstAnswer(b, p.callers, prompt)
		assert.Assert(b, len(a.Events) > 0)
		if i > 0 {
			stream += a.Events[0].At.Sub(began)
		}
		assert.NilError(b, p.cmd.Process.Kill())
		_ = p.cmd.Wait() // it was killed
	}
	b.ReportMetric(float64(plain.Microseconds())/1000/float64(b.N), "ms/answer")
	b.ReportMetric(float64(refused)/float64(b.N), "refused/start")
	b.ReportMetric(float64(stream.Microseconds())/1000/float64(max(b.N-1, 1)), "ms/event")
}

// firstAnswer asks until a process listens.
func firstAnswer(b *testing.B, address string, r standin.Request) standin.Answer {
	b.Helper()
	const patience, step = 5 * time.Second, 200 * time.Microsecond
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(step) {
		r.ID = time.Now().Format("150405.000000000")
		if a, err := standin.Do(context.Background(), dial, address, r); err == nil {
			return a
		}
	}
	b.Fatal("nobody listens")
	return standin.Answer{}
}
