package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// stopped returns how many times an instance noted that a request was stopped.
func (w *world) stopped() int { return strings.Count(w.logs.String(), `"msg":"request stopped"`) }

// steady sends streams of a team, each with a content of its own, one each while, at all instances in turn, until it
// is told to end; it returns their answers.
func (w *world) steady(team, name string, every time.Duration) (end func() []standin.Answer) {
	var mu sync.Mutex
	var all []standin.Answer
	var work sync.WaitGroup
	done := make(chan struct{})
	work.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			work.Go(func() {
				r := brief(fmt.Sprintf("%x", 0xc0000+i))
				r.Key, r.Body, r.PromptTokens = team, fmt.Sprint(name, " ", i), 2000
				a, err := w.do(i%len(w.fronts), r)
				if err != nil {
					a.Body = err.Error()
				}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, a)
			})
		}
	})
	return func() []standin.Answer {
		close(done)
		work.Wait()
		return all
	}
}

func served(answers []standin.Answer) int {
	n := 0
	for i := range answers {
		if answers[i].Status == http.StatusOK && answers[i].Complete && len(answers[i].Events) == events {
			n++
		}
	}
	return n
}

// TestBystandersAreServed: each engine that ends takes all its streams with it. They go on elsewhere, none of them is held
// responsible, and all are served.
func TestBystandersAreServed(t *testing.T) {
	run(t, 9, 24, 1, func(w *world) {
		w.outbreak(standin.FatalRequest{}, func(o *outbreak) {
			end := w.steady(key, "bystander", 40*time.Millisecond)
			time.Sleep(4 * time.Second) // some 85 are in progress
			o.insist(fatalBrief(), 20, 700*time.Millisecond)
			answers := end()
			assert.Equal(w.t, served(answers), len(answers))
			assert.Assert(w.t, len(answers) > 400)
			assert.Equal(w.t, o.after(settle), 0)
			assert.Equal(w.t, w.stopped(), len(w.fronts), "one request, at each instance")
		})
	})
}

// TestEngineEndsInPrefill: engines end while they read the prompt, before any answer begins, so that an end says less. Their
// other requests have begun long ago, so this one is still found out within the settling time.
func TestEngineEndsInPrefill(t *testing.T) {
	run(t, 9, 24, 1, func(w *world) {
		w.outbreak(standin.FatalRequest{DuringPrefill: true}, func(o *outbreak) {
			end := w.steady(key, "bystander", 40*time.Millisecond)
			time.Sleep(4 * time.Second)
			o.insist(fatalBrief(), 20, 700*time.Millisecond)
			answers := end()
			w.t.Logf("%d engines ended, %d of %d bystanders served", len(o.ended()), served(answers), len(answers))
			assert.Assert(w.t, len(o.ended()) >= 3)
			assert.Equal(w.t, o.after(settle), 0)
			assert.Equal(w.t, w.stopped(), len(w.fronts))
		})
	})
}

// TestRequestThatEndsPlainEndpoints: a plain service has endpoints that a request may end as well, also one that may run only
// once and is tried at one endpoint by each attempt.
func TestRequestThatEndsPlainEndpoints(t *testing.T) {
	for name, r := range map[string]standin.Request{"once": logLift(), "idempotent": ping()} {
		r.Path, r.Body, r.Method = strings.Replace(r.Path, "/1", "/2", 1), fatalBody, http.MethodPost
		t.Run(name, func(t *testing.T) {
			run(t, 9, 1, 12, func(w *world) {
				w.outbreak(standin.FatalRequest{}, func(o *outbreak) {
					o.insist(r, 20, 700*time.Millisecond)
					w.t.Logf("%d endpoints ended", len(o.ended()))
					assert.Assert(w.t, len(o.ended()) >= 3)
					assert.Equal(w.t, o.after(settle), 0)
					a, err := w.do(0, logLift())
					assert.NilError(w.t, err)
					assert.Equal(w.t, a.Status, http.StatusOK, a.Body)
				})
			})
		})
	}
}

// TestPopularRequestsAreNotStopped: the pattern is one request that many callers send at once, while a data centre loses all its
// engines again and again. Some of its copies are at engines that end each time; others are served, so nobody stops it.
func TestPopularRequestsAreNotStopped(t *testing.T) {
	t.Run("engines crash", func(t *testing.T) { popularUnderLosses(t, (*world).crashEngine) })
	t.Run("engines fall silent", func(t *testing.T) { popularUnderLosses(t, (*world).darken) })
}

// popularUnderLosses loses the engines of a data centre in a way, again and again, under a popular request.
func popularUnderLosses(t *testing.T, lose func(w *world, id string)) {
	const losses = 20
	run(t, 9, 24, 1, func(w *world) {
		popular := brief("b0b")
		popular.Body, popular.PromptTokens = "what everybody asks", 2000
		var work sync.WaitGroup
		stop := make(chan struct{})
		for i := range 24 {
			work.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
						a, err := w.do((i+n)%len(w.fronts), popular)
						if err != nil || a.Status != http.StatusOK {
							time.Sleep(100 * time.Millisecond)
						}
					}
				}
			})
		}
		for n := range losses {
			time.Sleep(time.Second + 70*time.Millisecond*time.Duration(n))
			for i := n % dataCentres; i < len(w.engines); i += dataCentres {
				lose(w, w.engines[i].Config().ID)
			}
			time.Sleep(1200 * time.Millisecond)
			w.net.SetCut(func(string, string) bool { return false })
			for i := n % dataCentres; i < len(w.engines); i += dataCentres {
				w.net.Crash(fmt.Sprint("e", i))
				w.engines[i] = w.engine(i, fmt.Sprint("-", n))
			}
		}
		close(stop)
		work.Wait()
		assert.Equal(t, w.stopped(), 0)
	})
}

// TestStopsOutlastAllInstances: all instances are killed at once, and know when they are back what had been stopped. The
// store was away when it was, and came back before they died.
func TestStopsOutlastAllInstances(t *testing.T) {
	run(t, 9, 24, 1, func(w *world) {
		w.outbreak(standin.FatalRequest{}, func(o *outbreak) {
			w.store.SetFault(standin.Fault{Outage: standin.Silent})
			o.insist(fatalBrief(), 3, 700*time.Millisecond)
			assert.Equal(w.t, len(o.ended()), 3)
			time.Sleep(2 * time.Second)
			w.store.SetFault(standin.Fault{})
			time.Sleep(6 * time.Second)
			before := w.store.Counts().Writes
			w.restartAll(500 * time.Millisecond)
			time.Sleep(time.Second)
			o.insist(fatalBrief(), 10, 700*time.Millisecond)
			assert.Equal(w.t, len(o.ended()), 3)
			assert.Equal(w.t, o.after(settle), 0)
			assert.Equal(w.t, w.store.Counts().Writes, before, "it is written once")
		})
	})
}

// TestLossOfAllBeforeTheStop: what is not decided yet is lost with all instances. It is found out anew, within the retries that are
// allowed after the third end.
func TestLossOfAllBeforeTheStop(t *testing.T) {
	const allowed = 3
	run(t, 9, 24, 1, func(w *world) {
		w.outbreak(standin.FatalRequest{}, func(o *outbreak) {
			for len(o.ended()) < 2 {
				go func() { _, _ = o.do(0, fatalBrief()) }()
				time.Sleep(600 * time.Millisecond)
			}
			w.restartAll(500 * time.Millisecond)
			time.Sleep(time.Second)
			o.insist(fatalBrief(), 15, 700*time.Millisecond)
			w.t.Logf("%d engines ended, %d sends later than %v", len(o.ended()), o.after(settle), settle)
			assert.Assert(w.t, o.after(settle) <= allowed, "%d", o.after(settle))
		})
	})
}

// TestInstancesThatWereAway: one that starts after a stop, and those of a data centre that was cut off while it was decided,
// know of it within the settling time.
func TestInstancesThatWereAway(t *testing.T) {
	run(t, 9, 24, 1, func(w *world) {
		w.outbreak(standin.FatalRequest{}, func(o *outbreak) {
			away := func(node string) bool { return node == "f1" || node == "f4" || node == "f7" || node == "f8" }
			w.net.SetCut(func(a, b string) bool {
				return away(a) && strings.HasPrefix(b, "f") && !away(b) || away(b) && strings.HasPrefix(a, "f") && !away(a)
			})
			w.killFront(8)
			time.Sleep(6 * time.Second)
			for range 2 {
				_, _ = o.do(0, fatalBrief())
			}
			assert.Equal(w.t, len(o.ended()), 3)
			w.net.SetCut(func(string, string) bool { return false })
			w.fronts[8] = w.front(8)
			time.Sleep(settle)
			for i := range w.fronts {
				a, err := o.do(i, fatalBrief())
				assert.NilError(w.t, err)
				assert.Equal(w.t, a.Status, http.StatusServiceUnavailable, "%d %s", i, a.Body)
				assert.Assert(w.t, a.RetryAfter != "")
			}
			assert.Equal(w.t, len(o.ended()), 3)
		})
	})
}

// TestStoppedRequestIsTriedAgain: after its time a stopped request is tried once, at one engine, whoever asks for it; when it
// does no harm any more it is served to all.
func TestStoppedRequestIsTriedAgain(t *testing.T) {
	run(t, 3, 12, 1, func(w *world) {
		w.outbreak(standin.FatalRequest{}, func(o *outbreak) {
			o.insist(fatalBrief(), 3, 700*time.Millisecond)
			assert.Equal(w.t, len(o.ended()), 3)
			began := time.Now()
			for time.Since(began) < 12*time.Minute {
				_, _ = o.do(int(time.Since(began)/time.Second)%3, fatalBrief())
				time.Sleep(7 * time.Second)
			}
			assert.Equal(w.t, len(o.ended()), 4, "one more in twelve minutes")
			w.fleet.SetFatalRequest(nil)
			time.Sleep(20 * time.Minute)
			for i := range w.fronts {
				a, err := o.do(i, fatalBrief())
				assert.NilError(w.t, err)
				whole(w.t, a, "fa7a1", 0)
			}
		})
	})
}

// TestOperatorReleases: an operator sees at any instance what is stopped, and lets it go at all of them and in the store.
func TestOperatorReleases(t *testing.T) {
	run(t, 3, 12, 1, func(w *world) {
		w.outbreak(standin.FatalRequest{}, func(o *outbreak) {
			o.insist(fatalBrief(), 3, 700*time.Millisecond)
			time.Sleep(time.Second)
			s := w.fronts[1].State().Stopped
			assert.Equal(w.t, len(s), 1)
			assert.Equal(w.t, s[0].Verdict, "stopped")
			assert.Equal(w.t, s[0].Team, "desk")
			assert.Equal(w.t, len(s[0].Endpoints), 3)
			assert.Assert(w.t, s[0].Stored)
			w.fleet.SetFatalRequest(nil)
			release := standin.Request{Method: http.MethodPost, Host: "x", Path: "/stopped/" + s[0].Content + "/release"}
			call := func() standin.Answer {
				a, err := standin.Do(w.t.Context(), w.net.Node("operator").Dial, metricsAddress(2), release)
				assert.NilError(w.t, err)
				return a
			}
			assert.Equal(w.t, call().Status, http.StatusNoContent)
			assert.Equal(w.t, call().Status, http.StatusNotFound)
			time.Sleep(100 * time.Millisecond)
			a, err := o.do(0, fatalBrief())
			assert.NilError(w.t, err)
			whole(w.t, a, "fa7a1", 0)
			w.restartAll(500 * time.Millisecond)
			time.Sleep(2 * time.Second)
			assert.Equal(w.t, len(w.fronts[0].State().Stopped), 0)
		})
	})
}

// TestManyRequestsOfOneTeam: a team sends hundreds of different requests that end engines. After some of them its next ones
// are tried one at a time, and the streams of another team are served.
func TestManyRequestsOfOneTeam(t *testing.T) {
	const different = 300
	run(t, 9, 24, 1, func(w *world) {
		fatal := standin.FatalRequest{Matches: func(r *standin.Run) bool { return strings.HasPrefix(r.Body, fatalBody) }}
		w.outbreak(fatal, func(o *outbreak) {
			end := w.steady(keyOfField, "other", 100*time.Millisecond)
			var work sync.WaitGroup
			for n := range different {
				time.Sleep(200 * time.Millisecond)
				work.Go(func() {
					r := fatalBrief()
					r.Body, r.PromptID = fmt.Sprint(fatalBody, n), fmt.Sprintf("%x", 0xd0000+n)
					_, _ = o.do(n%len(w.fronts), r)
				})
			}
			work.Wait()
			answers := end()
			w.t.Logf("%d engines ended, %d of %d streams of the other team served", len(o.ended()), served(answers), len(answers))
			assert.Assert(w.t, 100*served(answers) >= 98*len(answers), "%d of %d", served(answers), len(answers))
			assert.Assert(w.t, len(o.ended()) < different, "%d", len(o.ended()))
		})
	})
}

// TestLargeBodiesAreRecognised: a body that is not all in memory is known by its beginning and its length.
func TestLargeBodiesAreRecognised(t *testing.T) {
	const size = 300 << 10
	run(t, 3, 12, 1, func(w *world) {
		same := func(r *standin.Run) bool { return strings.HasPrefix(r.Body, fatalBody) }
		w.outbreak(standin.FatalRequest{Matches: same}, func(o *outbreak) {
			r := fatalBrief()
			r.Body = fatalBody + strings.Repeat("x", size)
			o.insist(r, 10, 700*time.Millisecond)
			w.t.Logf("%d engines ended", len(o.ended()))
			assert.Assert(w.t, len(o.ended()) >= 3 && len(o.ended()) <= 6, "%d", len(o.ended()))
			r.Body = strings.Repeat("y", size)
			a, err := w.do(0, r)
			assert.NilError(w.t, err)
			whole(w.t, a, "fa7a1", 0)
		})
	})
}
