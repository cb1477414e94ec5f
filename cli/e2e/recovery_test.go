package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/standin/engine"
)

// engineFaults are brought about on the engine that serves, after some tokens.
var engineFaults = map[string]func(w *world, i int){
	"kill":   func(w *world, i int) { w.killEngine(i) },
	"freeze": func(w *world, i int) { w.engines[i].SetFault(engine.Fault{Freeze: true}) },
	"silent": func(w *world, i int) { w.engines[i].SetFault(engine.Fault{Silent: true}) },
	"silent connection": func(w *world, i int) {
		for g := range w.gateways {
			w.net.Silence(fmt.Sprint("g", g), fmt.Sprint("e", i))
		}
	},
	"cut off": func(w *world, i int) {
		w.net.Partition(func(name string) int {
			if name == fmt.Sprint("e", i) {
				return 1
			}
			return 0
		})
	},
	"cross": func(w *world, i int) { w.engines[i].SetFault(engine.Fault{Cross: true}) },
	"skip":  func(w *world, i int) { w.engines[i].SetFault(engine.Fault{Skip: 25}) },
	"late":  func(w *world, i int) { w.engines[i].SetFault(engine.Fault{DelayMS: 700}) },
	"pause, return": func(w *world, i int) {
		w.engines[i].SetFault(engine.Fault{Freeze: true})
		time.AfterFunc(time.Second, func() { w.engines[i].SetFault(engine.Fault{}) })
	},
	"leaving": func(w *world, i int) { w.engines[i].SetFault(engine.Fault{Leaving: true}) },
}

// TestEngineFaults brings each fault about under each policy, with engines whose texts are
// the same and with engines whose texts differ from try to try.
func TestEngineFaults(t *testing.T) {
	for name, fault := range engineFaults {
		for _, policy := range []string{"latency", "frugal"} {
			for _, salt := range []uint64{0, 1} {
				t.Run(fmt.Sprintf("%s/%s/salt %d", name, policy, salt), func(t *testing.T) {
					run(t, shape{gateways: 1, engines: 4, policy: policy, salt: salt}, func(w *world) {
						r := w.request(60)
						go func() {
							time.Sleep(20 * token)
							fault(w, w.serving())
						}()
						a, err := w.client(0).Generate(w.ctx(), r)
						w.check(r, a, err)
						assert.Assert(t, a.LongestGap < 3*time.Second, "%v", a.LongestGap)
					})
				})
			}
		}
	}
}

// TestFaultsTwice brings two faults about, the second on the engine that took over.
func TestFaultsTwice(t *testing.T) {
	for first, f := range engineFaults {
		for second, g := range engineFaults {
			t.Run(first+"/"+second, func(t *testing.T) {
				run(t, shape{gateways: 1, engines: 4, policy: "latency", salt: 1}, func(w *world) {
					r := w.request(80)
					go func() {
						time.Sleep(20 * token)
						i := w.serving()
						f(w, i)
						time.Sleep(time.Second)
						for j, e := range w.engines {
							if j != i && e.OpenStreams() > 0 {
								g(w, j)
								return
							}
						}
					}()
					a, err := w.client(0).Generate(w.ctx(), r)
					w.check(r, a, err)
				})
			})
		}
	}
}

func TestCleanRunCostsNothing(t *testing.T) {
	for _, policy := range []string{"latency", "frugal"} {
		t.Run(policy, func(t *testing.T) {
			run(t, shape{gateways: 2, engines: 3, policy: policy}, func(w *world) {
				before := w.total()
				var wg sync.WaitGroup
				for i := range 20 {
					wg.Go(func() {
						r := w.request(50)
						r.Prompt = fmt.Sprintf("%d %s", i, prompt)
						a, err := w.client(i%2).Generate(w.ctx(), r)
						w.check(r, a, err)
					})
				}
				wg.Wait()
				after := w.total()
				assert.Equal(t, after.Streams-before.Streams, int64(20))
				assert.Equal(t, after.Generated-before.Generated, int64(20*50))
				assert.Equal(t, after.Cancelled, int64(0))
			})
		})
	}
}

// TestGatewayDeath kills the caller's instance in the middle of an answer.
func TestGatewayDeath(t *testing.T) {
	for name, c := range map[string]struct {
		key      string
		noCursor bool
		also     func(w *world)
		salt     uint64
	}{
		"cursor":                         {"", false, nil, 1},
		"cursor and key":                 {"k1", false, nil, 1},
		"key only":                       {"k2", true, nil, 1},
		"cursor, engine dies too":        {"", false, func(w *world) { w.killEngine(w.serving()) }, 0},
		"cursor and tokens, engine dies": {"", false, func(w *world) { w.killEngine(w.serving()) }, 1},
		"key, engine freezes too":        {"k3", false, func(w *world) { w.engines[w.serving()].SetFault(engine.Fault{Freeze: true}) }, 0},
		"key only, engine is dead":       {"k4", true, func(w *world) { w.killEngine(w.serving()) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, shape{gateways: 3, engines: 4, policy: "latency", salt: c.salt}, func(w *world) {
				r := w.request(100)
				r.SendTokens = name == "cursor and tokens, engine dies"
				r.IdempotencyKey, r.NoCursor = c.key, c.noCursor
				before := w.total()
				go func() {
					time.Sleep(30 * token)
					if c.also != nil {
						c.also(w)
					}
					w.killServingGateway()
				}()
				a, err := w.client(0).Generate(w.ctx(), r)
				w.check(r, a, err)
				assert.Assert(t, a.Resumes >= 1)
				if c.also == nil { // the running stream was taken over: no work is done again
					assert.Equal(t, w.total().Generated-before.Generated, int64(100))
					assert.Equal(t, w.total().Streams-before.Streams, int64(1))
				}
			})
		})
	}
}

// killServingGateway kills the instance that has a request in progress.
func (w *world) killServingGateway() {
	for i, g := range w.gateways {
		if g.Pipeline.OpenRequests() > 0 {
			w.killGateway(i)
			return
		}
	}
	w.t.Error("no gateway serves")
}

// TestTwoReasksAtOnce asks twice with the key of a running request: one of them gets the
// whole answer, the other is told so, and one generation runs.
func TestTwoReasksAtOnce(t *testing.T) {
	run(t, shape{gateways: 3, engines: 4, policy: "latency"}, func(w *world) {
		before := w.total()
		r := w.request(100)
		r.IdempotencyKey, r.NoCursor = "key", true
		complete, refused := 0, 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 10 * token)
				c := caller.New(caller.Options{Entries: []string{w.gateways[i].Callers}, Key: teamKey, Network: w.net.Node("caller")})
				a, err := c.Generate(w.ctx(), r)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					w.check(r, a, err)
					complete++
					return
				}
				refused++
				assert.ErrorContains(t, err, "superseded")
			})
		}
		wg.Wait()
		assert.Equal(t, complete, 1)
		assert.Equal(t, refused, 2)
		assert.Equal(t, w.total().Generated-before.Generated, int64(100))
	})
}

// TestOrphansAreCancelled kills the instance of a caller that does not come back.
func TestOrphansAreCancelled(t *testing.T) {
	for _, key := range []string{"", "k"} {
		t.Run("key "+key, func(t *testing.T) {
			run(t, shape{gateways: 3, engines: 2, policy: "frugal"}, func(w *world) {
				ctx, cancel := context.WithCancel(w.ctx())
				go func() { // it asks once, and goes
					r := w.request(5000)
					r.IdempotencyKey = key
					_, _ = w.client(0).Generate(ctx, r)
				}()
				time.Sleep(3 * time.Second)
				assert.Equal(t, w.total().Streams, int64(1))
				w.net.SetCrashed("caller", true) // it can't connect any more
				w.killServingGateway()
				cancel()
				time.Sleep(40 * time.Second)
				for _, e := range w.engines {
					assert.Equal(t, e.OpenStreams(), 0)
				}
			})
		})
	}
}

// TestCallerGone cancels the stream of a caller that does not come back.
func TestCallerGone(t *testing.T) {
	run(t, shape{gateways: 1, engines: 2, policy: "frugal"}, func(w *world) {
		r := w.request(5000)
		r.Timeout = time.Second
		_, err := w.client(0).Generate(w.ctx(), r)
		assert.Assert(t, err != nil)
		time.Sleep(10 * time.Second)
		for _, e := range w.engines {
			assert.Equal(t, e.OpenStreams(), 0)
		}
	})
}

// TestAllEnginesGone: a refusal with the time to come back, in the caller's time.
func TestAllEnginesGone(t *testing.T) {
	run(t, shape{gateways: 1, engines: 2, policy: "latency"}, func(w *world) {
		w.killEngine(0)
		w.killEngine(1)
		began := time.Now()
		status, header, body := w.post(0, "/v1/completions", nil, `{"model":"brief-llm","prompt":"x","max_tokens":5}`)
		assert.Equal(t, status, 503, body)
		assert.Assert(t, header.Get("Retry-After") != "")
		assert.Equal(t, header.Get("Agateway-Ran"), "not_run")
		assert.Assert(t, time.Since(began) <= 4*time.Second)
		time.Sleep(30 * time.Second) // the platform's list has forgotten them
		began = time.Now()
		status, _, _ = w.post(0, "/v1/completions", nil, `{"model":"brief-llm","prompt":"x","max_tokens":5}`)
		assert.Equal(t, status, 503)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond, "%v", time.Since(began))
	})
}

// TestEngineReturnsWithinTheWait: a request waits in order while its contract allows.
func TestEngineReturnsWithinTheWait(t *testing.T) {
	run(t, shape{gateways: 1, engines: 2, policy: "latency"}, func(w *world) {
		r := w.request(60)
		go func() {
			time.Sleep(20 * token)
			for _, e := range w.engines {
				e.SetFault(engine.Fault{Freeze: true})
			}
			time.Sleep(2 * time.Second)
			for _, e := range w.engines {
				e.SetFault(engine.Fault{})
			}
		}()
		a, err := w.client(0).Generate(w.ctx(), r)
		w.check(r, a, err)
	})
}

// TestVersionsAreNotMixed: the deployment names no version, and its engines have loaded
// two. The engine that serves dies, with or without its gateway: the answer goes on with
// the same version or not at all.
func TestVersionsAreNotMixed(t *testing.T) {
	for name, c := range map[string]struct {
		ones    int // engines with version 1, of 4
		gateway bool
		whole   bool
	}{
		"another engine has it":              {2, false, true},
		"no other engine has it":             {1, false, false},
		"gateway too, another engine has it": {2, true, true},
		"gateway too, no other engine has":   {1, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := shape{gateways: 2, engines: 4, policy: "latency", anyVersion: true, versions: func(i int) string {
				if i < c.ones {
					return "1"
				}
				return "2"
			}}
			run(t, s, func(w *world) {
				r := w.request(60)
				r.SendTokens, r.Timeout = true, 8*time.Second
				for _, e := range w.engines[c.ones:] {
					e.SetFault(engine.Fault{Refuse: true}) // so that version 1 serves first
				}
				go func() {
					time.Sleep(20 * token)
					for _, e := range w.engines[c.ones:] {
						e.SetFault(engine.Fault{})
					}
					w.killEngine(w.serving())
					if c.gateway {
						w.killServingGateway()
					}
				}()
				a, err := w.client(0).Generate(w.ctx(), r)
				w.dep.Version = "1"
				want := engine.ExpectedText(startRequest(w, r.Prompt, r.MaxTokens))
				if c.whole {
					assert.NilError(t, err)
					assert.Equal(t, a.Text, want)
					return
				}
				assert.Assert(t, err != nil)
				assert.Assert(t, strings.HasPrefix(want, a.Text), "mixed: %s", a.Text)
			})
		})
	}
}
