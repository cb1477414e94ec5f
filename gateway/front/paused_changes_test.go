package front_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform/standin"
)

const (
	// changeDelay is the time from the start of a pause to the change in it.
	changeDelay = 300 * time.Millisecond
	// changedEvents is the number of events of streams that run during changes.
	changedEvents = 120
)

// changeConfiguration writes the configuration that change makes of the one in force.
func (w *pausedWorld) changeConfiguration(change func(c *route.Configuration)) {
	c := w.config
	c.Version++
	c.Routes = append([]route.Route(nil), c.Routes...)
	c.Services = append([]route.Service(nil), c.Services...)
	c.Teams = append([]route.Team(nil), c.Teams...)
	change(&c)
	w.config = c
	w.store.PutConfiguration(&c)
}

// configurationChanges are changes that leave the streams in progress alone.
var configurationChanges = map[string]func(c *route.Configuration){
	"longer-timeout": func(c *route.Configuration) { c.Routes[0].Timeout += 30 * time.Second },
	// The streams have used less than this, and take longer.
	"shorter-timeout":        func(c *route.Configuration) { c.Routes[0].Timeout = 8 * time.Second },
	"shorter-idle-time":      func(c *route.Configuration) { c.Limits.IdleTimeout = time.Second },
	"longer-idle-time":       func(c *route.Configuration) { c.Limits.IdleTimeout = time.Minute },
	"shorter-header-timeout": func(c *route.Configuration) { c.Limits.HeaderTimeout = 500 * time.Millisecond },
	"targets-added": func(c *route.Configuration) {
		c.Routes[0].Targets = []route.Target{{Service: "engines", Weight: 1}, {Service: "spare", Weight: 3}}
	},
	"targets-replaced": func(c *route.Configuration) { c.Routes[0].Targets = []route.Target{{Service: "spare", Weight: 1}} },
	"fewer-attempts":   func(c *route.Configuration) { c.Routes[0].MaxAttempts = 1 },
	"shorter-targets": func(c *route.Configuration) {
		c.Routes[0].TargetLatency, c.Routes[0].TargetGap = time.Second, 300*time.Millisecond
	},
	"key-added":           func(c *route.Configuration) { c.Teams[0].Keys = append([]string{"new-key"}, c.Teams[0].Keys...) },
	"key-of-others-gone":  func(c *route.Configuration) { c.Teams[1].Keys = nil },
	"team-of-others-gone": func(c *route.Configuration) { c.Teams = c.Teams[:1] },
	"fewer-connections":   func(c *route.Configuration) { c.Services[0].MaxConnections = 2 },
	"more-connections":    func(c *route.Configuration) { c.Services[0].MaxConnections = 400 },
}

// TestConfigurationChangesMoveNoStream guards against changes of the configuration, alone and while all
// engines are silent, that end or move streams in progress.
func TestConfigurationChangesMoveNoStream(t *testing.T) {
	for name, change := range configurationChanges {
		testChange(t, name, func(w *pausedWorld) {
			w.changeConfiguration(change)
			time.Sleep(3 * time.Second)
			for i, f := range w.fronts {
				assert.Check(w.t, f.State().Configuration == w.config.Version, "instance %d does not have the change", i)
			}
		})
	}
}

// testChange makes a change, alone and while all engines pause, and checks that all streams go on where
// they are.
func testChange(t *testing.T, name string, change func(*pausedWorld)) {
	for pause, share := range map[string]float64{"alone": 0, "in-pause": 1} {
		t.Run(name+"-"+pause, func(t *testing.T) {
			runPaused(t, pausedCase{instances: 3, engines: 6, events: changedEvents, prepare: func(w *world) {
				w.settings = "[bounds]\ngrace = 30s\n"
				w.config.Services = append(w.config.Services, route.Service{Name: "spare", Engine: w.config.Services[0].Engine})
			}}, func(w *pausedWorld) {
				w.addSpareEngines()
				w.start(6*endpointSlots/2, 3)
				w.pause(share, enginePause, 1)
				time.Sleep(changeDelay)
				change(w)
				maxGap := longInterval + 50*time.Millisecond
				if share > 0 {
					maxGap = enginePause + pauseMargin
				}
				w.assertAllWhole(maxGap)
				w.assertUnmoved()
				w.drains.Wait()
			})
		})
	}
}

// addSpareEngines starts engines of another service, which no route uses yet.
func (w *pausedWorld) addSpareEngines() {
	for i := range 2 {
		w.newWorker(fmt.Sprint("s", i), "", standin.WorkerConfig{
			Service: "spare", Address: fmt.Sprintf("10.3.0.%d:80", i+1), DataCentre: dc(i), Slots: endpointSlots, PrefillTokensPerMS: 8, EventInterval: longInterval, Events: changedEvents,
		})
	}
	time.Sleep(time.Second)
}

// assertUnmoved checks that each stream ran once, at one engine.
func (w *pausedWorld) assertUnmoved() {
	w.t.Helper()
	runs, moved := w.runsByID(), 0
	for _, s := range w.streams {
		if len(runs[s.id]) != 1 {
			moved++
		}
	}
	assert.Check(w.t, moved == 0, "%d of %d streams were moved", moved, len(w.streams))
}

// TestReloadMovesNoStream guards against a reload of the settings, alone and while all engines are
// silent, that ends or moves streams in progress.
func TestReloadMovesNoStream(t *testing.T) {
	for name, text := range map[string]string{
		"valid":   "[logs]\nlevel = warning\n[bounds]\ngrace = 5s\n",
		"invalid": "[instance]\nid =\n",
	} {
		testChange(t, name, func(w *pausedWorld) {
			for i, f := range w.fronts {
				file := filepath.Join(w.outerT.TempDir(), "front.ini")
				assert.NilError(w.t, os.WriteFile(file, []byte(frontSettings(i)+text), 0o600))
				f.Reload(file)
			}
		})
	}
}

// TestDrainMovesNoStream guards against an instance that ends or moves streams in progress when it is
// asked to end, alone and while all engines are silent. Its streams end within the grace time.
func TestDrainMovesNoStream(t *testing.T) {
	for name, count := range map[string]int{"one": 1, "all": 3} {
		testChange(t, name, func(w *pausedWorld) {
			for i := range count {
				w.drains.Go(func() { w.drain(i) })
			}
		})
	}
}

// drain shuts an instance down gracefully.
func (w *pausedWorld) drain(i int) {
	w.fronts[i].Drain()
	w.frontsMu.Lock()
	defer w.frontsMu.Unlock()
	w.fronts[i] = nil
}

// TestLostSourceMovesNoStream guards against streams that end or move since the instance that others
// follow, or the store, is gone, alone and while all engines are silent.
func TestLostSourceMovesNoStream(t *testing.T) {
	for name, lose := range map[string]func(*pausedWorld, int){
		"followed-instance-killed": func(w *pausedWorld, followed int) { w.killFront(followed) },
		"store-resets":             func(w *pausedWorld, _ int) { w.store.SetFault(standin.Fault{Outage: standin.Reset}) },
		"store-silent":             func(w *pausedWorld, _ int) { w.store.SetFault(standin.Fault{Outage: standin.Silent}) },
	} {
		for pause, share := range map[string]float64{"alone": 0, "in-pause": 1} {
			t.Run(name+"-"+pause, func(t *testing.T) {
				const instances = 6
				runPaused(t, pausedCase{instances: instances, engines: 6, events: changedEvents}, func(w *pausedWorld) {
					followed, followers := w.followed()
					assert.Assert(t, len(followers) > 0)
					w.start(6*endpointSlots/2, instances)
					w.streams = w.streamsNotOf(followed)
					w.pause(share, enginePause, 1)
					time.Sleep(changeDelay)
					lose(w, followed)
					maxGap := longInterval + 50*time.Millisecond
					if share > 0 {
						maxGap = enginePause + pauseMargin
					}
					w.assertAllWhole(maxGap)
					w.assertUnmoved()
				})
			})
		}
	}
}

// followed returns an instance that others follow in place of the store, and those that do.
func (w *pausedWorld) followed() (instance int, followers []int) {
	all := map[string][]int{}
	for i, f := range w.fronts {
		if id := f.State().Follows; id != "" {
			all[id] = append(all[id], i)
		}
	}
	for i, f := range w.fronts {
		if n := all[f.State().Instance]; len(n) > len(followers) {
			instance, followers = i, n
		}
	}
	return instance, followers
}

// streamsNotOf returns the streams whose callers use another instance.
func (w *pausedWorld) streamsNotOf(instance int) []*callerStream {
	var out []*callerStream
	for _, s := range w.streams {
		if s.instance != instance {
			out = append(out, s)
		}
	}
	return out
}
