package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Reports, decisions and questions in any order. Guards against requests that are in two states or in none, turns beyond
// their number, counts that do not match and panics.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		settings := DefaultSettings()
		settings.MinTurns = rapid.IntRange(1, 3).Draw(t, "turns")
		q := New(settings)
		now := time.Duration(0)
		type key struct {
			instance string
			id       uint64
		}
		type tracked struct {
			request Request
			renewed time.Duration
		}
		known := map[key]tracked{} // reported and without an end
		ends := map[key]string{}   // by the first end
		var sequences, ids [instances]uint64
		end := func(k key, how string) {
			if before, ok := ends[k]; ok {
				t.Fatalf("%v ended as %s and as %s", k, before, how)
			}
			if _, ok := known[k]; !ok {
				t.Fatalf("%v ended as %s but did not wait", k, how)
			}
			delete(known, k)
			ends[k] = how
		}
		nameOf := func(i int) string { return fmt.Sprint("i", i) }
		// ofInstance returns those of its requests that are known, by ID.
		ofInstance := func(i int) (of []uint64) {
			for id := range ids[i] + 1 {
				if _, ok := known[key{nameOf(i), id}]; ok {
					of = append(of, id)
				}
			}
			return of
		}
		expire := func() {
			for k, of := range known {
				if now-of.renewed >= settings.TTL {
					end(k, "expired")
				}
			}
		}
		collect := func(i int) {
			name := nameOf(i)
			s := q.State(at(now), name)
			states := map[uint64]bool{}
			for _, id := range s.Turns {
				assert.Assert(t, !states[id])
				states[id] = true
			}
			for _, r := range s.Refused {
				assert.Assert(t, !states[r.ID], "%d has two states", r.ID)
				states[r.ID] = true
				assert.Assert(t, r.RetryIn >= minRetryIn && r.RetryIn <= maxRetryIn && r.Position >= 1 && r.Expected >= 0)
				end(key{name, r.ID}, "refused")
			}
			for _, id := range s.Turns {
				_, ok := known[key{name, id}]
				assert.Assert(t, ok, "%d has a turn but does not wait", id)
			}
			assert.Assert(t, s.Expected >= 0)
		}
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				i := rapid.IntRange(0, instances-1).Draw(t, "instance")
				r := Report{Instance: nameOf(i), Process: 1}
				sequences[i]++
				r.Sequence = sequences[i]
				for range rapid.IntRange(0, 6).Draw(t, "new") {
					ids[i]++
					offset := rapid.OneOf(rapid.Int64Range(-3000, 8000), rapid.Int64Range(-1<<40, 1<<40)).Draw(t, "latest")
					w := Request{
						ID: ids[i], Level: rapid.IntRange(-1, 11).Draw(t, "level"), Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
						Tokens: rapid.IntRange(-1, 20_000).Draw(t, "tokens"), Since: at(now), Latest: at(now + time.Duration(offset)*time.Millisecond),
					}
					known[key{r.Instance, w.ID}] = tracked{w, now}
				}
				for _, id := range ofInstance(i) {
					k := key{r.Instance, id}
					of := known[k]
					isNew := of.renewed == now
					if what := rapid.IntRange(0, 9).Draw(t, "what"); what < 7 || isNew {
						of.renewed = now
						known[k] = of
						r.Waiting = append(r.Waiting, of.request)
					} else if now-of.renewed >= settings.TTL {
						continue
					} else if what == 7 {
						r.Placed = append(r.Placed, id)
						end(k, "placed")
					} else if what == 8 {
						r.Left = append(r.Left, id)
						end(k, "left")
					}
				}
				r.Placed = append(r.Placed, 1<<40) // not known
				q.Report(at(now), r)
				if rapid.Bool().Draw(t, "twice") {
					q.Report(at(now), r)
				}
			},
			"decide": func(t *rapid.T) {
				for _, name := range q.Decide(at(now)) {
					collect(int(name[1] - '0'))
				}
				expire()
			},
			"state": func(t *rapid.T) { collect(rapid.IntRange(0, instances-1).Draw(t, "instance")) },
			"drop": func(t *rapid.T) {
				i := rapid.IntRange(0, instances-1).Draw(t, "instance")
				if rapid.IntRange(0, 9).Draw(t, "chance") > 0 {
					return
				}
				q.Drop(nameOf(i))
				for _, id := range ofInstance(i) {
					end(key{nameOf(i), id}, "left")
				}
			},
			"pass time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond
			},
			"": func(t *rapid.T) {
				turns, refused, entries := 0, 0, 0
				for _, in := range q.instances {
					refused += len(in.refused)
					entries += len(in.entries)
					for _, e := range in.entries {
						assert.Assert(t, !e.gone)
						if e.turn {
							turns++
						}
					}
				}
				assert.Assert(t, turns <= settings.MinTurns, "%d turns", turns)
				assert.Equal(t, entries, q.Waiting())
				assert.Equal(t, refused, 0, "instances with refusals are named by Decide")
				assert.Equal(t, len(known), entries, "each request waits or has ended")
				ofTeams := 0
				for _, of := range q.teams {
					ofTeams += of.waiting
				}
				assert.Equal(t, ofTeams, entries)
			},
		})
	})
}
