package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["revoke"] = revoke }

// revoke: new configurations take all keys of the tenants away, one tenant after the other.
func revoke(w *world) (broken []string, err error) {
	const bound, slack = 5 * time.Second, 200 * time.Millisecond
	zones := []string{"zone-a", "zone-b", "zone-c"}
	keys := []string{"xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"}
	conf := func(version int, held ...string) map[string]any {
		c := configuration(version, nil, []map[string]any{
			route("r-log", "/pule252/", "unsafe", "app", false, 1, 1500), route("r-read", "/puxa403/", "safe", "app", false, 2, 1500),
		}, []map[string]any{plainService("app")})
		tenants := []map[string]any{}
		for i, name := range []string{"huka270", "puhu251"} {
			own := []string{}
			for _, k := range held {
				if k == keys[i] {
					own = append(own, k)
				}
			}
			tenants = append(tenants, map[string]any{"name": name, "apiKeys": own, "priority": 1})
		}
		c["tenants"] = tenants
		return c
	}
	if err := w.setUp(conf(1, keys...), 3, zones, func() error {
		for i := range 3 {
			if _, err := w.startWorker(i, fmt.Sprintf("i-app%d", i), "app", zones[i], "--pieces", "1", "--piece-bytes", "800"); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return nil, err
	}
	type sent struct {
		key string
		at  time.Time
	}
	var mu sync.Mutex
	sentAs, answers := map[string]sent{}, map[string]int{}
	began := time.Now()
	end := began.Add(18 * time.Second)
	var wg sync.WaitGroup
	for _, k := range append(keys, "never0held0by0any000") {
		for range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) {
					r := request{id: w.newID(), method: "GET", path: "/puxa403/2f", key: k, deadlineMS: 1500}
					if rand.IntN(2) == 0 {
						r.method, r.path, r.body = "POST", "/pule252/2f", 600
					}
					mu.Lock()
					sentAs[r.id] = sent{k, time.Now()}
					mu.Unlock()
					got := w.send(rand.IntN(3), r)
					mu.Lock()
					answers[fmt.Sprintf("%s %d", k[:6], got.status)]++
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}
	taken := map[string]time.Time{}
	if w.trouble {
		time.Sleep(3 * time.Second)
		w.store.put("config", "main", conf(4, keys[1]))
		taken[keys[0]] = time.Now()
		w.note("configuration 4 acknowledged: it takes the key of huka270 away")
		time.Sleep(2 * time.Second)
		w.store.put("config", "main", conf(9))
		taken[keys[1]] = time.Now()
		w.note("configuration 9 acknowledged: it takes the key of puhu251 away")
	}
	wg.Wait()
	late, never := map[string]int{}, 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.lines {
		s, ok := sentAs[l.ID]
		if l.Ev != "run" || !ok {
			continue
		}
		if at, was := taken[s.key]; was && s.at.Sub(at) > bound+slack {
			late[s.key]++
		}
		if s.key != keys[0] && s.key != keys[1] {
			never++
		}
	}
	w.note("answers by key: %v", answers)
	fmt.Println("answers by key:", answers)
	for k, n := range late {
		broken = append(broken, fmt.Sprintf("CONFIG: %d requests with the key %s ran that were sent later than %v after the configuration that took it away was acknowledged", n, k, bound))
	}
	if never > 0 {
		broken = append(broken, fmt.Sprintf("ROUTE: %d requests ran with a key that no configuration ever held", never))
	}
	if answers[keys[0][:6]+" 200"] == 0 || answers[keys[1][:6]+" 200"] == 0 {
		return broken, fmt.Errorf("%w: a tenant was never served: %v", errSetUp, answers)
	}
	return broken, nil
}
