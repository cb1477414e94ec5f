package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["brittle"] = brittle }

// span is a time in which a front is not in touch, as seen by the rules.
type span struct{ from, to time.Time }

// directory asks a front which fronts to use, as clients do; nil if it does not answer.
func (w *world) directory(front int) []string {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + w.frontIP(front) + ":8746/resolve?name=ficu95.example&region=kz-south&zone=zone-a")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct{ Addresses []string }
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

// frontOf returns the number of the front with an address.
func (w *world) frontOf(address string) int {
	ip, _, _ := strings.Cut(address, ":")
	n, _ := strconv.Atoi(strings.TrimPrefix(ip, w.net))
	return n - 10
}

// brittle: the workers of a service say that they are brittle, while all fronts are stopped (SIGTERM) and
// started in turn.
func brittle(w *world) (broken []string, err error) {
	const workers, fronts, slots, rounds = 6, 3, 6, 4
	const maxRefusals, clients = 12, 104
	const settle = 3 * time.Second
	zones := []string{"zone-a", "zone-b", "zone-c"}
	conf := configuration(1, []string{key}, []map[string]any{route("r-read", "/puxa403/", "safe", "app", false, 2, 1500), route("r-log", "/pule252/", "unsafe", "app", false, 1, 1500)}, []map[string]any{plainService("app")})
	brittleAt := time.Now().Add(5 * time.Second)
	var mu sync.Mutex
	generation, stopping := 0, false
	var keepUp func(i int) error
	keepUp = func(i int) error {
		mu.Lock()
		generation++
		id := fmt.Sprintf("i-app%d-%d", i, generation)
		mu.Unlock()
		p, err := w.startWorker(i, id, "app", zones[i%3], "--slots", fmt.Sprint(slots), "--queue", "24", "--brittle-queue", "2", "--max-refusals", fmt.Sprint(maxRefusals), "--brittle-at", fmt.Sprint(brittleAt.UnixMilli()),
			"--first", "60ms", "--pieces", "1", "--piece-bytes", "800")
		if err != nil {
			return err
		}
		go func() {
			<-p.done
			time.Sleep(3 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			if !stopping {
				go func() { _ = keepUp(i) }()
				time.AfterFunc(600*time.Millisecond, func() { w.store.remove("servers", id, 0) }) // after three heartbeat intervals
			}
		}()
		return nil
	}
	if err := w.setUp(conf, fronts, zones, func() error {
		for i := range workers {
			if err := keepUp(i); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return nil, err
	}
	sentTo := map[string]int{}
	served, refused, other := 0, 0, 0
	end := time.Now().Add(72 * time.Second)
	var wg sync.WaitGroup
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			front, asked := rand.IntN(fronts), time.Time{}
			var list []string
			for time.Now().Before(end) {
				r := request{id: w.newID(), method: "GET", path: "/puxa403/2f", key: key, deadlineMS: 3000}
				if rand.IntN(2) == 0 {
					r.method, r.path, r.body = "POST", "/pule252/2f", 600
				}
				if time.Since(asked) >= time.Second {
					if addresses := w.directory(rand.IntN(fronts)); len(addresses) > 0 {
						list, asked = addresses, time.Now()
					}
				}
				if len(list) > 0 {
					front = w.frontOf(list[rand.IntN(len(list))])
				}
				mu.Lock()
				sentTo[r.id] = front
				mu.Unlock()
				got := w.send(front, r)
				mu.Lock()
				pause := 20 * time.Millisecond
				switch {
				case got.status == 200 && got.whole:
					served++
				case got.status == 503:
					refused++
					pause = got.retryAfter
				default:
					other++
					asked = time.Time{}
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		}()
	}
	outOf := make([][]span, fronts)
	time.Sleep(time.Until(brittleAt.Add(settle + 3*time.Second)))
	if w.trouble {
		for n := range rounds * fronts {
			f := n % fronts
			p := w.frontProcess(f)
			w.note("stops front %d (SIGTERM)", f)
			from := time.Now()
			p.signal(syscall.SIGTERM)
			select {
			case <-p.done:
			case <-time.After(8 * time.Second):
				p.kill()
			}
			w.note("front %d has ended", f)
			time.Sleep(500 * time.Millisecond)
			if _, err := w.startFront(f, zones[f%3], nil); err != nil {
				return nil, err
			}
			outOf[f] = append(outOf[f], span{from, time.Now().Add(settle)})
			time.Sleep(1500 * time.Millisecond)
		}
	}
	wg.Wait()
	mu.Lock()
	stopping = true
	mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	falls := 0
	for _, l := range w.lines {
		if l.Ev != "falls over" {
			continue
		}
		byFront, inTouch, all := map[int]int{}, 0, 0
		for _, o := range w.lines {
			if o.Ev != "refuses" || o.Worker != l.Worker || o.At <= l.At-1000 || o.At > l.At {
				continue
			}
			f, at := sentTo[o.ID], time.UnixMilli(o.At)
			out := false
			for _, s := range outOf[f] {
				out = out || at.After(s.from) && at.Before(s.to)
			}
			byFront[f]++
			all++
			if !out {
				inTouch++
			}
		}
		counts := 2*inTouch > all
		if counts {
			falls++
		}
		text := fmt.Sprintf("worker %s falls over at %.3f s; it had refused requests of fronts %v, %d of %d of machines in touch; counts: %t", l.Worker, float64(l.At-w.began.UnixMilli())/1000, byFront, inTouch, all, counts)
		w.note("%s", text)
		fmt.Println(text)
	}
	summary := fmt.Sprintf("%d falls count, allowed %.1f; %d served, %d refused, %d others", falls, 2+0.1*workers, served, refused, other)
	w.note("%s", summary)
	fmt.Println(summary)
	if float64(falls) > 2+0.1*workers {
		broken = append(broken, "workers that said that they are brittle fell over too often: "+summary)
	}
	if served == 0 {
		return broken, errSetUp
	}
	return broken, nil
}
