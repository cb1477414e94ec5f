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

// engineFaults inject a fault into engine i while it serves a stream.
var engineFaults = map[string]func(w *cluster, i int){
	"kill":   func(w *cluster, i int) { w.killEngine(i) },
	"freeze": func(w *cluster, i int) { w.engines[i].SetFault(engine.Fault{Freeze: true}) },
	"silent": func(w *cluster, i int) { w.engines[i].SetFault(engine.Fault{Silent: true}) },
	"silent connection": func(w *cluster, i int) {
		for g := range w.gateways {
			w.net.Silence(fmt.Sprint("g", g), fmt.Sprint("e", i))
		}
	},
	"cut off": func(w *cluster, i int) {
		w.net.Partition(func(name string) int {
			if name == fmt.Sprint("e", i) {
				return 1
			}
			return 0
		})
	},
	"cross": func(w *cluster, i int) { w.engines[i].SetFault(engine.Fault{Cross: true}) },
	"skip":  func(w *cluster, i int) { w.engines[i].SetFault(engine.Fault{Skip: 25}) },
	"late":  func(w *cluster, i int) { w.engines[i].SetFault(engine.Fault{DelayMS: 700}) },
	"pause, return": func(w *cluster, i int) {
		w.engines[i].SetFault(engine.Fault{Freeze: true})
		time.AfterFunc(time.Second, func() { w.engines[i].SetFault(engine.Fault{}) })
	},
	"leaving": func(w *cluster, i int) { w.engines[i].SetFault(engine.Fault{Leaving: true}) },
}

// TestEngineFaults injects each fault under each policy, with engines that generate the same text
// in each attempt (salt 0) and with engines whose text differs (salt 1).
func TestEngineFaults(t *testing.T) {
	for name, fault := range engineFaults {
		for _, policy := range []string{"latency", "frugal"} {
			for _, salt := range []uint64{0, 1} {
				t.Run(fmt.Sprintf("%s/%s/salt %d", name, policy, salt), func(t *testing.T) {
					runCluster(t, clusterConfig{gateways: 1, engines: 4, policy: policy, textSalt: salt}, func(w *cluster) {
						r := w.request(60)
						go func() {
							time.Sleep(20 * tokenInterval)
							fault(w, w.servingEngine())
						}()
						a, err := w.callerOfAll(0).Generate(w.ctx(), r)
						w.checkAnswer(r, a, err)
						assert.Assert(t, a.LongestGap < 3*time.Second, "%v", a.LongestGap)
					})
				})
			}
		}
	}
}

// TestTwoEngineFaults injects two faults, the second into the engine that took over.
func TestTwoEngineFaults(t *testing.T) {
	for first, f := range engineFaults {
		for second, g := range engineFaults {
			t.Run(first+"/"+second, func(t *testing.T) {
				runCluster(t, clusterConfig{gateways: 1, engines: 4, policy: "latency", textSalt: 1}, func(w *cluster) {
					r := w.request(80)
					go func() {
						time.Sleep(20 * tokenInterval)
						i := w.servingEngine()
						f(w, i)
						time.Sleep(time.Second)
						for j, e := range w.engines {
							if j != i && e.OpenStreams() > 0 {
								g(w, j)
								return
							}
						}
					}()
					a, err := w.callerOfAll(0).Generate(w.ctx(), r)
					w.checkAnswer(r, a, err)
				})
			})
		}
	}
}

// TestNoExtraWorkWithoutFaults checks that without faults each request takes one stream, each token
// is generated once and nothing is cancelled.
func TestNoExtraWorkWithoutFaults(t *testing.T) {
	for _, policy := range []string{"latency", "frugal"} {
		t.Run(policy, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 2, engines: 3, policy: policy}, func(w *cluster) {
				before := w.totalStats()
				var wg sync.WaitGroup
				for i := range 20 {
					wg.Go(func() {
						r := w.request(50)
						r.Prompt = fmt.Sprintf("%d %s", i, prompt)
						a, err := w.callerOfAll(i%2).Generate(w.ctx(), r)
						w.checkAnswer(r, a, err)
					})
				}
				wg.Wait()
				after := w.totalStats()
				assert.Equal(t, after.Streams-before.Streams, int64(20))
				assert.Equal(t, after.Generated-before.Generated, int64(20*50))
				assert.Equal(t, after.Cancelled, int64(0))
			})
		})
	}
}

// TestInstanceKilled kills the instance that serves a caller in the middle of an answer. The answer
// must continue at another instance, also when the engine fails at the same time.
func TestInstanceKilled(t *testing.T) {
	for name, c := range map[string]struct {
		key      string
		noCursor bool
		also     func(w *cluster)
		salt     uint64
	}{
		"cursor":                         {"", false, nil, 1},
		"cursor and key":                 {"k1", false, nil, 1},
		"key only":                       {"k2", true, nil, 1},
		"cursor, engine dies too":        {"", false, func(w *cluster) { w.killEngine(w.servingEngine()) }, 0},
		"cursor and tokens, engine dies": {"", false, func(w *cluster) { w.killEngine(w.servingEngine()) }, 1},
		"key, engine freezes too":        {"k3", false, func(w *cluster) { w.engines[w.servingEngine()].SetFault(engine.Fault{Freeze: true}) }, 0},
		"key only, engine is dead":       {"k4", true, func(w *cluster) { w.killEngine(w.servingEngine()) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 3, engines: 4, policy: "latency", textSalt: c.salt}, func(w *cluster) {
				r := w.request(100)
				r.SendTokens = name == "cursor and tokens, engine dies"
				r.IdempotencyKey, r.NoCursor = c.key, c.noCursor
				before := w.totalStats()
				go func() {
					time.Sleep(30 * tokenInterval)
					if c.also != nil {
						c.also(w)
					}
					w.killServingGateway()
				}()
				a, err := w.callerOfAll(0).Generate(w.ctx(), r)
				w.checkAnswer(r, a, err)
				assert.Assert(t, a.Resumes >= 1)
				if c.also == nil { // the running stream is taken over, so no work is repeated
					assert.Equal(t, w.totalStats().Generated-before.Generated, int64(100))
					assert.Equal(t, w.totalStats().Streams-before.Streams, int64(1))
				}
			})
		})
	}
}

// killServingGateway kills the instance that has a request in progress.
func (w *cluster) killServingGateway() {
	for i, g := range w.gateways {
		if g.Pipeline.OpenRequests() > 0 {
			w.killGateway(i)
			return
		}
	}
	w.t.Error("no gateway serves")
}

// TestConcurrentRetriesWithOneKey retries twice with the key of a running request. One of the three
// must get the whole answer, the others must be told that they are superseded, and only one
// generation may run.
func TestConcurrentRetriesWithOneKey(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 3, engines: 4, policy: "latency"}, func(w *cluster) {
		before := w.totalStats()
		r := w.request(100)
		r.IdempotencyKey, r.NoCursor = "key", true
		complete, refused := 0, 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 10 * tokenInterval)
				c := caller.New(caller.Options{Entries: []string{w.gateways[i].Callers}, Key: teamKey, Network: w.net.Node("caller")})
				a, err := c.Generate(w.ctx(), r)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					w.checkAnswer(r, a, err)
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
		assert.Equal(t, w.totalStats().Generated-before.Generated, int64(100))
	})
}

// TestOrphansAreCancelled kills the instance of a caller that does not come back. No stream may
// stay open.
func TestOrphansAreCancelled(t *testing.T) {
	for _, key := range []string{"", "k"} {
		t.Run("key "+key, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 3, engines: 2, policy: "frugal"}, func(w *cluster) {
				ctx, cancel := context.WithCancel(w.ctx())
				go func() { // sends one request and gives up when ctx is cancelled
					r := w.request(5000)
					r.IdempotencyKey = key
					_, _ = w.callerOfAll(0).Generate(ctx, r)
				}()
				time.Sleep(3 * time.Second)
				assert.Equal(t, w.totalStats().Streams, int64(1))
				w.net.SetCrashed("caller", true) // the caller can't connect any more
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

// TestCallerTimeoutCancelsStream checks that the stream of a caller that gives up at its deadline
// is cancelled.
func TestCallerTimeoutCancelsStream(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 1, engines: 2, policy: "frugal"}, func(w *cluster) {
		r := w.request(5000)
		r.Timeout = time.Second
		_, err := w.callerOfAll(0).Generate(w.ctx(), r)
		assert.Assert(t, err != nil)
		time.Sleep(10 * time.Second)
		for _, e := range w.engines {
			assert.Equal(t, e.OpenStreams(), 0)
		}
	})
}

// TestAllEnginesKilled checks that a request without any engine is refused within the time that it
// may wait, with a time to retry after, and at once when the platform lists no engine any more.
func TestAllEnginesKilled(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 1, engines: 2, policy: "latency"}, func(w *cluster) {
		w.killEngine(0)
		w.killEngine(1)
		began := time.Now()
		status, header, body := w.post(0, "/v1/completions", nil, `{"model":"brief-llm","prompt":"x","max_tokens":5}`)
		assert.Equal(t, status, 503, body)
		assert.Assert(t, header.Get("Retry-After") != "")
		assert.Equal(t, header.Get("Agateway-Ran"), "not_run")
		assert.Assert(t, time.Since(began) <= 4*time.Second)
		time.Sleep(30 * time.Second) // the engines are no longer in the platform's list
		began = time.Now()
		status, _, _ = w.post(0, "/v1/completions", nil, `{"model":"brief-llm","prompt":"x","max_tokens":5}`)
		assert.Equal(t, status, 503)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond, "%v", time.Since(began))
	})
}

// TestEngineReturnsWithinTheWait stops all engines during an answer and lets them continue within
// the time that the contract allows a request to wait. The answer must be complete.
func TestEngineReturnsWithinTheWait(t *testing.T) {
	runCluster(t, clusterConfig{gateways: 1, engines: 2, policy: "latency"}, func(w *cluster) {
		r := w.request(60)
		go func() {
			time.Sleep(20 * tokenInterval)
			for _, e := range w.engines {
				e.SetFault(engine.Fault{Freeze: true})
			}
			time.Sleep(2 * time.Second)
			for _, e := range w.engines {
				e.SetFault(engine.Fault{})
			}
		}()
		a, err := w.callerOfAll(0).Generate(w.ctx(), r)
		w.checkAnswer(r, a, err)
	})
}

// TestVersionsAreNotMixed uses a deployment without a model version, and engines with two versions.
// The serving engine is killed, with or without the instance. The answer must continue with the
// same version or end.
func TestVersionsAreNotMixed(t *testing.T) {
	for name, c := range map[string]struct {
		ones    int // number of engines with version 1, of 4
		gateway bool
		whole   bool
	}{
		"another engine has it":              {2, false, true},
		"no other engine has it":             {1, false, false},
		"gateway too, another engine has it": {2, true, true},
		"gateway too, no other engine has":   {1, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := clusterConfig{gateways: 2, engines: 4, policy: "latency", anyVersion: true, modelVersion: func(i int) string {
				if i < c.ones {
					return "1"
				}
				return "2"
			}}
			runCluster(t, s, func(w *cluster) {
				r := w.request(60)
				r.SendTokens, r.Timeout = true, 8*time.Second
				for _, e := range w.engines[c.ones:] {
					e.SetFault(engine.Fault{Refuse: true}) // so that an engine with version 1 serves
				}
				go func() {
					time.Sleep(20 * tokenInterval)
					for _, e := range w.engines[c.ones:] {
						e.SetFault(engine.Fault{})
					}
					w.killEngine(w.servingEngine())
					if c.gateway {
						w.killServingGateway()
					}
				}()
				a, err := w.callerOfAll(0).Generate(w.ctx(), r)
				w.generationDeployment.Version = "1"
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
