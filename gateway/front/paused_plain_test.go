package front_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/agateway/agateway/platform/standin"
)

const (
	// routeTimeout is the timeout of the routes of plain requests.
	routeTimeout = 1500 * time.Millisecond
	// answerSlack is how much later than its timeout a request may be answered.
	answerSlack = 50 * time.Millisecond
	// backlogTime is how long endpoints work after a pause on requests whose callers were told that the
	// time was up. They may refuse others meanwhile.
	backlogTime = 200 * time.Millisecond
)

// pausedCall is a plain request whose endpoint may have been paused.
type pausedCall struct {
	request standin.Request
	// sentAfter is the time from the beginning of the pause.
	sentAfter, took time.Duration
	answer          standin.Answer
	err             error
}

// pauseWorkers pauses workers for some time.
func pauseWorkers(all []*standin.Worker, d time.Duration) {
	for _, e := range all {
		e.Pause(d)
	}
}

// callDuring sends requests at a rate for some time and returns them with their answers.
func (w *world) callDuring(perSecond float64, d time.Duration, request func() standin.Request, pick func(i int) int) []*pausedCall {
	began := time.Now()
	var open sync.WaitGroup
	var all []*pausedCall
	for i := 0; time.Since(began) < d; i++ {
		c := &pausedCall{request: request(), sentAfter: time.Since(began)}
		c.request.ID = w.newRequestID()
		all = append(all, c)
		open.Go(func() {
			sentAt := time.Now()
			c.answer, c.err = w.send(pick(i), c.request)
			c.took = time.Since(sentAt)
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	open.Wait()
	return all
}

// checkHonest checks what each caller was told against what ran: 503 only for a request that has not run,
// 502 and 504 not before the timeout, no answer long after it. Requests of routes that are not idempotent
// run at most once. It returns how many were served.
func (w *world) checkHonest(all []*pausedCall, timeout time.Duration, maxRuns int) (served int) {
	time.Sleep(6 * time.Second) // paused endpoints have gone on
	for _, c := range all {
		runs := w.plainRunCount(c.request.ID)
		what := fmt.Sprintf("%s after %v: %d in %v, %d runs, %v", c.request.Path, c.sentAfter, c.answer.Status, c.took, runs, c.err)
		assert.Check(w.t, c.err == nil && c.answer.Complete, what)
		assert.Check(w.t, runs <= maxRuns, what)
		assert.Check(w.t, c.took <= timeout+answerSlack, what)
		switch c.answer.Status {
		case http.StatusOK:
			served++
			assert.Check(w.t, c.answer.Body == "answer to "+c.request.ID, what)
		case http.StatusServiceUnavailable:
			assert.Check(w.t, runs == 0 && c.answer.RetryAfter != "", what)
		case http.StatusBadGateway, http.StatusGatewayTimeout:
			assert.Check(w.t, c.took >= timeout, what)
		default:
			assert.Check(w.t, false, what)
		}
	}
	return served
}

// watchSuspicions records which endpoints the instances suspect, until stop is called.
func (w *world) watchSuspicions() (stop func() []string) {
	done, ended := make(chan struct{}), make(chan struct{})
	var seen []string
	go func() {
		defer close(ended)
		for {
			for _, f := range w.fronts {
				s := f.State()
				for _, e := range s.Endpoints {
					if what := s.Instance + " suspects " + e.ID; e.Suspected && !slices.Contains(seen, what) {
						seen = append(seen, what)
					}
				}
			}
			select {
			case <-done:
				return
			case <-time.After(25 * time.Millisecond):
			}
		}
	}()
	return func() []string {
		close(done)
		<-ended
		return seen
	}
}

// TestPlainRequestsAtPausedEndpoints guards against plain requests that get a wrong refusal, are sent
// twice or end early, and endpoints that are suspected, because sound endpoints pause.
func TestPlainRequestsAtPausedEndpoints(t *testing.T) {
	for _, kind := range []struct {
		name    string
		request func() standin.Request
		maxRuns int
	}{
		{"at most once", logRequest, 1},
		{"idempotent", pingRequest, 2},
	} {
		for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second} {
			for _, paused := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s, %d for %v", kind.name, paused, pause), func(t *testing.T) {
					run(t, 2, 1, 3, func(w *world) {
						w.callDuring(12, time.Second, kind.request, func(i int) int { return i % 2 })
						stop := w.watchSuspicions()
						pauseWorkers(w.plains[:paused], pause)
						all := w.callDuring(12, pause+time.Second, kind.request, func(i int) int { return i % 2 })
						suspected := stop()
						served := w.checkHonest(all, routeTimeout, kind.maxRuns)
						t.Logf("%d of %d served", served, len(all))
						if paused == 3 {
							assert.Check(t, len(suspected) == 0, "%v", suspected)
						}
						if pause < routeTimeout {
							assert.Equal(t, served, len(all))
						}
						for _, c := range all {
							if c.sentAfter >= pause+backlogTime {
								assert.Check(t, c.answer.Status == http.StatusOK, "%d after the pause", c.answer.Status)
							}
						}
					})
				})
			}
		}
	}
}

// TestTimeoutsInSharedPause guards against endpoints that are suspected, and refusals after the pause, as
// requests reach a short timeout while all endpoints, or most of them, pause.
func TestTimeoutsInSharedPause(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for name, c := range map[string]struct {
		pause         time.Duration
		paused, plain int
		rate          float64
	}{
		"all, 1.2 s":       {1200 * time.Millisecond, 3, 3, 24},
		"all, 5 s":         {5 * time.Second, 3, 3, 24},
		"all, few calls":   {5 * time.Second, 3, 3, 6},
		"two of three":     {5 * time.Second, 2, 3, 24},
		"six of ten":       {1200 * time.Millisecond, 6, 10, 80},
		"all of ten":       {1200 * time.Millisecond, 10, 10, 80},
		"all of ten, long": {5 * time.Second, 10, 10, 80},
	} {
		t.Run(name, func(t *testing.T) {
			runWith(t, 2, 1, c.plain, func(w *world) {
				for i := range w.config.Routes {
					if !w.config.Routes[i].Stream {
						w.config.Routes[i].Timeout = timeout
					}
				}
			}, func(w *world) {
				pick := func(i int) int { return i % 2 }
				w.callDuring(c.rate, time.Second, logRequest, pick)
				stop := w.watchSuspicions()
				pauseWorkers(w.plains[:c.paused], c.pause)
				all := w.callDuring(c.rate, c.pause+time.Second, logRequest, pick)
				suspected := stop()
				t.Logf("%s: %d of %d served", t.Name(), w.checkHonest(all, timeout, 1), len(all))
				assert.Check(t, len(suspected) == 0, "%v", suspected)
				for _, call := range all {
					if call.sentAfter >= c.pause+backlogTime {
						assert.Check(t, call.answer.Status == http.StatusOK, "%d at %v", call.answer.Status, call.sentAfter)
					}
				}
			})
		})
	}
}

// TestLonePauseIsNoticed guards against an endpoint that is silent by itself and keeps getting requests,
// because a silence that many share suspects no endpoint.
func TestLonePauseIsNoticed(t *testing.T) {
	runWith(t, 2, 1, 3, func(w *world) {
		w.config.Routes[logRouteIndex].Timeout = 400 * time.Millisecond
	}, func(w *world) {
		pick := func(i int) int { return i % 2 }
		w.callDuring(24, time.Second, logRequest, pick)
		pauseWorkers(w.plains[:1], 5*time.Second)
		all := w.callDuring(24, 5*time.Second, logRequest, pick)
		served := w.checkHonest(all, 400*time.Millisecond, 1)
		t.Logf("%s: %d of %d served", t.Name(), served, len(all))
		assert.Check(t, served >= len(all)*95/100, "%d of %d served", served, len(all))
	})
}

// TestChangesDuringPause guards against plain requests in progress at paused endpoints that are ended or
// sent again by a change of the configuration, a reload or a graceful shutdown.
func TestChangesDuringPause(t *testing.T) {
	const pause = 1200 * time.Millisecond
	setTimeout := func(w *world, d time.Duration) {
		c := w.config
		c.Version++
		c.Routes = slices.Clone(c.Routes)
		for i := range c.Routes {
			if !c.Routes[i].Stream {
				c.Routes[i].Timeout = d
			}
		}
		w.store.PutConfiguration(&c)
	}
	for name, change := range map[string]func(*world){
		"none":            func(*world) {},
		"shorter timeout": func(w *world) { setTimeout(w, 200*time.Millisecond) },
		"longer timeout":  func(w *world) { setTimeout(w, 3*time.Second) },
		"idle time": func(w *world) {
			c := w.config
			c.Version, c.Limits.IdleTimeout, c.Limits.HeaderTimeout = c.Version+1, time.Second, time.Second
			w.store.PutConfiguration(&c)
		},
		"weights": func(w *world) {
			c := w.config
			c.Version, c.Routes = c.Version+1, slices.Clone(c.Routes)
			for i := range c.Routes {
				c.Routes[i].Targets = slices.Clone(c.Routes[i].Targets)
				for j := range c.Routes[i].Targets {
					c.Routes[i].Targets[j].Weight = 7
				}
			}
			w.store.PutConfiguration(&c)
		},
		"route removed": func(w *world) {
			c := w.config
			c.Version, c.Routes = c.Version+1, c.Routes[:1]
			w.store.PutConfiguration(&c)
		},
		"key revoked": func(w *world) {
			c := w.config
			c.Version, c.Teams = c.Version+1, c.Teams[1:]
			w.store.PutConfiguration(&c)
		},
		"reload": func(w *world) {
			file := filepath.Join(w.outerT.TempDir(), "front.ini")
			assert.NilError(w.t, os.WriteFile(file, []byte(frontSettings(0)+"[logs]\nlevel = warning\n"), 0o600))
			w.fronts[0].Reload(file)
		},
		"drain": func(w *world) { w.fronts[0].Drain() },
	} {
		for _, paused := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d", name, paused), func(t *testing.T) {
				run(t, 2, 1, 3, func(w *world) {
					pauseWorkers(w.plains[:paused], pause)
					changed := make(chan struct{})
					time.AfterFunc(500*time.Millisecond, func() { defer close(changed); change(w) })
					var all []*pausedCall
					var open sync.WaitGroup
					for _, r := range []func() standin.Request{logRequest, pingRequest} {
						open.Go(func() {
							part := w.callDuring(12, 400*time.Millisecond, r, func(int) int { return 0 })
							w.mu.Lock()
							defer w.mu.Unlock()
							all = append(all, part...)
						})
					}
					slow := w.sendSlowBody(300<<10, pause)
					open.Wait()
					assert.Equal(t, w.checkHonest(all, routeTimeout, 1), len(all))
					// This one was not sent to an endpoint before the change.
					want := map[string]int{"route removed": http.StatusNotFound, "key revoked": http.StatusUnauthorized}[name]
					if want == 0 {
						want = http.StatusOK
					}
					assert.Check(t, is.Equal(<-slow, want))
					if <-changed; name == "drain" {
						w.fronts[0] = nil
					}
				})
			})
		}
	}
}

// sendSlowBody sends a request with a body of some bytes that takes a time to be sent, and returns a
// channel for the status of the answer.
func (w *world) sendSlowBody(size int, d time.Duration) chan int {
	r := logRequest()
	r.Host, r.Method, r.ID, r.Body = routeHost, http.MethodPost, w.newRequestID(), strings.Repeat("x", size)
	text := r.Encode()
	conn, status := w.openRequest(0)
	go func() {
		const parts = 10
		for i := range parts {
			if _, err := conn.Write([]byte(text[i*len(text)/parts : (i+1)*len(text)/parts])); err != nil {
				return // the test sees the status
			}
			time.Sleep(d / parts)
		}
	}()
	return status
}

// metric returns the value of a counter or gauge of an instance; 0 if it has not been set.
func (w *world) metric(i int, name string) float64 {
	a, err := standin.Do(w.t.Context(), w.net.Node("operator").Dial, metricsAddress(i), standin.Request{Method: http.MethodGet, Path: "/metrics", Host: "x"})
	assert.NilError(w.t, err)
	assert.Equal(w.t, a.Status, http.StatusOK)
	for line := range strings.Lines(a.Body) {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] == name {
			value, err := strconv.ParseFloat(fields[1], 64)
			assert.NilError(w.t, err)
			return value
		}
	}
	return 0
}

// TestTimeoutIsNoFailedConnection guards against endpoints that count as unreachable, and are probed, since
// requests reached their deadline while they were paused. The connection's deadline may pass before that
// of the request's context.
func TestTimeoutIsNoFailedConnection(t *testing.T) {
	runWith(t, 2, 1, 3, func(w *world) {
		w.config.Routes[logRouteIndex].Timeout = 400 * time.Millisecond
	}, func(w *world) {
		pauseWorkers(w.plains, 2*time.Second)
		all := w.callDuring(24, 1500*time.Millisecond, logRequest, func(i int) int { return i % 2 })
		w.checkHonest(all, 400*time.Millisecond, 1)
		for i := range w.fronts {
			assert.Check(t, is.Equal(w.metric(i, "agateway_endpoint_connects_failed_total"), 0.0))
			assert.Check(t, is.Equal(w.metric(i, "agateway_reach_probes_total"), 0.0))
		}
	})
}

// TestRefusalAfterRunAtEndpoint guards against a refusal that says that a request has not run, of a request
// that ran at an endpoint before its instance was cut off. The instance passed it on, and the other instance
// refused it.
func TestRefusalAfterRunAtEndpoint(t *testing.T) {
	runWith(t, 2, 1, 3, func(w *world) {
		w.plainWork = 4 * time.Second
		for i := range w.config.Routes {
			w.config.Routes[i].Timeout = 5 * time.Second
		}
	}, func(w *world) {
		request := func() standin.Request {
			r := pingRequest()
			r.Timeout = 5 * time.Second
			return r
		}
		time.AfterFunc(500*time.Millisecond, func() {
			w.setPlainFaults(standin.WorkerFault{RefuseAll: true}, 0)
			w.cutFromEndpoints(1, hang)
		})
		all := w.callDuring(10, time.Second, request, func(int) int { return 0 })
		ran := 0
		for _, c := range all {
			runs := w.plainRunCount(c.request.ID)
			ran += runs
			assert.Check(t, c.answer.Status != http.StatusOK && (c.answer.Status != http.StatusServiceUnavailable || runs == 0),
				"after %v: %d in %v, %d runs: %s", c.sentAfter, c.answer.Status, c.took, runs, c.answer.Body)
		}
		assert.Check(t, ran > 0)
		assert.Check(t, strings.Contains(w.logs.String(), "passed on to a peer"))
	})
}
