package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["part-teams"] = func(w *world) ([]string, error) { return crashingPart(w, "head", true, "chunked", 10, 63) }
	cases["part-once"] = func(w *world) ([]string, error) { return crashingPart(w, "head", false, "none", 1, 33) }
	cases["part-before"] = func(w *world) ([]string, error) { return crashingPart(w, "before", true, "chunked", 1, 33) }
}

// crashingPart: one part of prompts crashes each worker that begins to write an answer on it.
func crashingPart(w *world, how string, resume bool, frame string, teams, every int) (broken []string, err error) {
	const workers, fatal, pieces = 12, "bad0bad0", 30
	attempts := 5
	if !resume {
		attempts = 1
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	conf := configuration(1, []string{key}, []map[string]any{route("r-brief", "/lohu930/", "stream", "brief", resume, attempts, 25000)}, []map[string]any{engineService("brief")})
	keys := []string{key}
	tenants := []map[string]any{{"name": "huka270", "apiKeys": []string{key}, "priority": 1}}
	for i := 1; i < teams; i++ {
		keys = append(keys, fmt.Sprintf("%s%d", key, i))
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("huka27%d", i), "apiKeys": []string{keys[i]}, "priority": 1})
	}
	conf["tenants"] = tenants
	var mu sync.Mutex
	generation, stopping := 0, false
	var keepUp func(i int) error
	keepUp = func(i int) error {
		mu.Lock()
		generation++
		id := fmt.Sprintf("i-b%d-%d", i, generation)
		mu.Unlock()
		p, err := w.startWorker(i, id, "brief", zones[i%3], "--frame", frame, "--pieces", fmt.Sprint(pieces), "--gap", "25ms", "--first", "100ms", "--fatal", fatal, "--fatal-how", how)
		if err != nil {
			return err
		}
		go func() {
			<-p.done
			time.Sleep(3 * time.Second)
			w.store.remove("servers", id, 0) // after three heartbeat intervals of silence
			mu.Lock()
			defer mu.Unlock()
			if !stopping {
				go func() { _ = keepUp(i) }()
			}
		}()
		return nil
	}
	err = w.setUp(conf, 3, zones, func() error {
		for i := range workers {
			if err := keepUp(i); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	poisoned := map[string]bool{}
	served, sound := 0, 0
	end := time.Now().Add(20 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		parts := []string{"5c1e07a2:800"}
		bad := w.trouble && n%every == 2
		if bad {
			parts = append(parts, fatal+":120")
		}
		r := request{id: w.newID(), method: "POST", path: "/lohu930/2f", key: keys[(n/every)%len(keys)], stream: true, prompt: strings.Join(append(parts, fmt.Sprintf("%x:%d", 4096+n, 400+rand.IntN(300))), ","), body: 600, deadlineMS: 25000}
		mu.Lock()
		poisoned[r.id] = bad
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := w.send(rand.IntN(3), r)
			mu.Lock()
			defer mu.Unlock()
			if !bad {
				sound++
				if got.status == 200 && got.whole && got.body == whole(r.id, true, pieces, 0, 0) {
					served++
				} else {
					w.note("a sound request is not served: %s", r.id)
				}
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	stopping = true
	mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	var crashes, late []int64
	for _, l := range w.lines {
		if l.Ev == "crash" {
			crashes = append(crashes, l.At)
		}
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i] < crashes[j] })
	if len(crashes) >= 5 {
		for _, l := range w.lines {
			if l.Ev == "run" && poisoned[l.ID] && l.At > crashes[4]+3000 {
				late = append(late, l.At-crashes[4])
			}
		}
	}
	w.note("%d crashes; %d requests with the part reached workers later than 3 s after the fifth crash; %d of %d others served", len(crashes), len(late), served, sound)
	fmt.Printf("%d crashes; late %v; %d of %d others served\n", len(crashes), late, served, sound)
	if len(late) > 3 {
		broken = append(broken, fmt.Sprintf("requests with one part in their prompts reached workers %d times more, later than 3 s after the fifth crash; %d crashes in all", len(late), len(crashes)))
	}
	if !w.trouble && served != sound {
		return broken, fmt.Errorf("%w: %d of %d streams served", errSetUp, served, sound)
	}
	return broken, nil
}
