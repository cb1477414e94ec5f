package e2e

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/standin/engine"
	standin "github.com/agateway/agateway/cli/standin/platform"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/platform"
)

// TestPlatformContract checks to which errors the HTTP client maps faults of the platform, and
// whether the write took effect.
func TestPlatformContract(t *testing.T) {
	put := func(p *platform.Objects) error {
		_, err := p.Put(context.Background(), "k", "a", []byte("{}"), 0)
		return err
	}
	get := func(p *platform.Objects) error {
		_, err := p.Get(context.Background(), "k", "a")
		return err
	}
	for name, c := range map[string]struct {
		fault func(*cluster)
		call  func(*platform.Objects) error
		want  *errorx.Type
		took  bool // the write took effect
	}{
		"clean":             {func(*cluster) {}, put, nil, true},
		"read nothing":      {func(*cluster) {}, get, platform.ErrNotFound, false},
		"down":              {func(w *cluster) { w.platform.SetFault(standin.Fault{Down: true}) }, put, platform.ErrUnavailable, false},
		"down, read":        {func(w *cluster) { w.platform.SetFault(standin.Fault{Down: true}) }, get, platform.ErrUnavailable, false},
		"answer lost":       {func(w *cluster) { w.platform.SetFault(standin.Fault{LoseWrites: 1}) }, put, platform.ErrUncertain, true},
		"too slow":          {func(w *cluster) { w.platform.SetFault(standin.Fault{SlowMS: 5000}) }, put, platform.ErrUncertain, true},
		"too slow, read":    {func(w *cluster) { w.platform.SetFault(standin.Fault{SlowMS: 5000}) }, get, platform.ErrUnavailable, false},
		"cut off":           {func(w *cluster) { w.isolate("platform") }, put, platform.ErrUnavailable, false},
		"gone":              {func(w *cluster) { w.platform.Close(); w.net.Crash("platform") }, put, platform.ErrUnavailable, false},
		"version is not 0":  {func(w *cluster) { _ = put(w.platformClient("x")) }, put, platform.ErrConflict, true},
		"silent connection": {func(w *cluster) { w.net.Silence("test", "platform") }, put, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 1, engines: 1}, func(w *cluster) {
				p := w.platformClient("test")
				c.fault(w)
				err := c.call(p)
				assert.Assert(t, (err == nil) == (c.want == nil), "%v", err)
				assert.Assert(t, c.want == nil || errorx.IsOfType(err, c.want), "%v", err)
				time.Sleep(10 * time.Second)
				w.platform.SetFault(standin.Fault{})
				_, err = platform.NewObjects("http://"+w.platform.Addr, time.Second, w.net.Node("witness")).Get(w.ctx(), "k", "a")
				assert.Equal(t, err == nil, c.took)
			})
		})
	}
}

// collector is a receiver that stores what it receives.
type collector struct {
	ack    *endpoint.Ack
	tokens []string
	end    *endpoint.End
	alive  int
}

func (c *collector) Acked(a *endpoint.Ack)    { c.ack = a }
func (c *collector) Token(_ int, text []byte) { c.tokens = append(c.tokens, string(text)) }
func (c *collector) Keepalive()               { c.alive++ }
func (c *collector) Ended(e *endpoint.End)    { c.end = e }

// TestEngineContract checks to which errors the client of engines maps their answers and faults.
func TestEngineContract(t *testing.T) {
	start := endpoint.StartRequest{Generation: "g", Attempt: 1, Model: model, Version: "1", Prompt: prompt, MaxTokens: 30}
	for name, c := range map[string]struct {
		fault  func(w *cluster, e *engine.Engine)
		change func(*endpoint.StartRequest)
		want   *errorx.Type
	}{
		"clean":         {nil, nil, nil},
		"refuses":       {func(_ *cluster, e *engine.Engine) { e.SetFault(engine.Fault{Refuse: true}) }, nil, endpoint.ErrRefused},
		"leaving":       {func(_ *cluster, e *engine.Engine) { e.SetFault(engine.Fault{Leaving: true}) }, nil, nil},
		"dead":          {func(w *cluster, _ *engine.Engine) { w.killEngine(0) }, nil, endpoint.ErrRefused},
		"cut off":       {func(w *cluster, _ *engine.Engine) { w.isolate("e0") }, nil, endpoint.ErrRefused},
		"dies at token": {func(_ *cluster, e *engine.Engine) { e.SetFault(engine.Fault{DieAtToken: 10}) }, nil, endpoint.ErrBroken},
		"crossed":       {func(_ *cluster, e *engine.Engine) { e.SetFault(engine.Fault{Cross: true}) }, nil, endpoint.ErrWrongRequest},
		"no prefix":     {func(_ *cluster, e *engine.Engine) { e.SetFault(engine.Fault{RefusePrefix: true}) }, func(r *endpoint.StartRequest) { r.Prefix = []string{"a"} }, endpoint.ErrMismatch},
		"other model":   {nil, func(r *endpoint.StartRequest) { r.Model = "x" }, endpoint.ErrRefused},
		"bad request":   {nil, func(r *endpoint.StartRequest) { r.MaxTokens = 0 }, endpoint.ErrInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 1, engines: 1}, func(w *cluster) {
				client := endpoint.NewClient(250*time.Millisecond, w.net.Node("test"))
				r := start
				if c.fault != nil {
					c.fault(w, w.engines[0])
				}
				if c.change != nil {
					c.change(&r)
				}
				got := &collector{}
				s, err := client.Open(w.ctx(), w.engines[0].Addr, &r)
				if err == nil {
					err = s.Receive(got)
					s.Close()
				}
				if c.want != nil {
					assert.Assert(t, errorx.IsOfType(err, c.want), "%v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, len(got.tokens), 30)
				assert.Equal(t, got.end.Total, 30)
			})
		})
	}
}

// TestEngineStreams checks resume, fencing, probe and cancel of a stream.
func TestEngineStreams(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 1, engines: 1}, func(w *cluster) {
		client, e := endpoint.NewClient(250*time.Millisecond, w.net.Node("test")), w.engines[0]
		first := &collector{}
		s, err := client.Open(w.ctx(), e.Addr, &endpoint.StartRequest{Generation: "g", Attempt: 1, Model: model, Prompt: prompt, MaxTokens: 40})
		assert.NilError(t, err)
		fenced := make(chan error, 1)
		go func() { fenced <- s.Receive(first) }()
		time.Sleep(20*tokenInterval + tokenInterval/2)
		synctest.Wait()
		st, err := client.Probe(w.ctx(), e.Addr, first.ack.Stream)
		assert.NilError(t, err)
		assert.Assert(t, st.Running && st.Index > 10)
		_, err = client.Resume(w.ctx(), e.Addr, "g", first.ack.Stream, 0, 1)
		assert.Assert(t, errorx.IsOfType(err, endpoint.ErrFenced), "%v", err)
		second := &collector{}
		s, err = client.Resume(w.ctx(), e.Addr, "g", first.ack.Stream, 5, 2)
		assert.NilError(t, err)
		assert.NilError(t, s.Receive(second))
		assert.Assert(t, errorx.IsOfType(<-fenced, endpoint.ErrFenced))
		assert.Equal(t, second.ack.Index, 5)
		assert.Equal(t, len(second.tokens), 35)
		assert.NilError(t, client.Cancel(w.ctx(), e.Addr, first.ack.Stream, 1)) // an old attempt number cancels nothing
		_, err = client.Probe(w.ctx(), e.Addr, first.ack.Stream)
		assert.NilError(t, err)
		_, err = client.Probe(w.ctx(), e.Addr, "nothing")
		assert.Assert(t, errorx.IsOfType(err, endpoint.ErrRefused), fmt.Sprint(err))
	})
}
