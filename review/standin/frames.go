package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["unsafe-stream"] = unsafeStream
	cases["plain"] = plainAnswers
	cases["leaving"] = func(w *world) ([]string, error) { return leavingWorker(w, false, syscall.SIGTERM) }
	cases["leaving-silent"] = func(w *world) ([]string, error) { return leavingWorker(w, true, syscall.SIGTERM) }
	cases["killed"] = func(w *world) ([]string, error) { return leavingWorker(w, false, syscall.SIGKILL) }
}

// unsafeStream: streams that may not be resumed, without a length and without chunks, while one of six workers
// crashes.
func unsafeStream(w *world) (broken []string, err error) {
	conf := configuration(1, []string{key}, []map[string]any{route("r-memo", "/memo12/", "stream", "memo", false, 1, 25000)}, []map[string]any{plainService("memo")})
	var first *process
	err = w.setUp(conf, 1, []string{"zone-a"}, func() error {
		for i := range 6 {
			p, err := w.startWorker(i, fmt.Sprintf("i-memo%d", i), "memo", "zone-a", "--frame", "none", "--split", "--pieces", "60", "--gap", "40ms")
			if err != nil {
				return err
			}
			if i == 0 {
				first = p
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	all := make([]request, 24)
	for i := range all {
		all[i] = request{id: w.newID(), method: "POST", path: "/memo12/2f", key: key, stream: true, prompt: fmt.Sprintf("5c1e07a2:800,%x:660", 100+i), body: 600, deadlineMS: 25000}
	}
	if w.trouble {
		time.AfterFunc(time.Second, func() {
			w.note("kills worker i-memo0 (SIGKILL)")
			first.signal(syscall.SIGKILL)
		})
	}
	got := w.sendAll(0, all)
	served := 0
	for i := range all {
		if b := judge(all[i], got[i], whole(all[i].id, true, 60, 0, 0)); b != "" && !strings.HasSuffix(got[i].body, "\n\n") {
			broken = append(broken, b+fmt.Sprintf("; it ends inside an event: %q", got[i].body[max(0, len(got[i].body)-40):]))
		} else if got[i].status == 200 && got[i].whole {
			served++
		}
	}
	if served == 0 || !w.trouble && served != len(all) {
		return broken, fmt.Errorf("%w: %d of %d streams served", errSetUp, served, len(all))
	}
	return broken, nil
}

// plainAnswers: answers to safe and unsafe requests, without a length and without chunks, while a worker is
// killed.
func plainAnswers(w *world) (broken []string, err error) {
	conf := configuration(1, []string{key}, []map[string]any{
		route("r-log", "/pule252/", "unsafe", "app", false, 1, 5000), route("r-read", "/puxa403/", "safe", "app", false, 2, 5000),
	}, []map[string]any{plainService("app")})
	var first *process
	err = w.setUp(conf, 1, []string{"zone-a"}, func() error {
		for i := range 2 {
			p, err := w.startWorker(i, fmt.Sprintf("i-app%d", i), "app", "zone-a", "--frame", "none", "--pieces", "20", "--gap", "50ms", "--piece-bytes", "1000")
			if err != nil {
				return err
			}
			if i == 0 {
				first = p
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	all := make([]request, 12)
	for i := range all {
		all[i] = request{id: w.newID(), method: "POST", path: "/pule252/2f", key: key, body: 600, deadlineMS: 5000}
		if i%2 == 1 {
			all[i].method, all[i].path, all[i].body = "GET", "/puxa403/2f", 0
		}
	}
	if w.trouble {
		time.AfterFunc(600*time.Millisecond, func() {
			w.note("kills worker i-app0 (SIGKILL)")
			first.signal(syscall.SIGKILL)
		})
	}
	got := w.sendAll(0, all)
	served := 0
	for i := range all {
		if b := judge(all[i], got[i], whole(all[i].id, false, 20, 1000, 0)); b != "" {
			broken = append(broken, b)
		} else if got[i].status == 200 && got[i].whole {
			served++
		}
	}
	if served == 0 || !w.trouble && served != len(all) {
		return broken, fmt.Errorf("%w: %d of %d requests served", errSetUp, served, len(all))
	}
	return broken, nil
}

// leavingWorker: streams that may be resumed, without a length and without chunks, while a worker leaves as
// planned and exits with streams in progress. With SIGKILL it crashes instead.
func leavingWorker(w *world, silent bool, how syscall.Signal) (broken []string, err error) {
	conf := configuration(1, []string{key}, []map[string]any{route("r-brief", "/lohu930/", "stream", "brief", true, 5, 25000)}, []map[string]any{engineService("brief")})
	var first *process
	const pieces = 140
	err = w.setUp(conf, 3, []string{"zone-a", "zone-b", "zone-c"}, func() error {
		for i := range 6 {
			args := []string{"--frame", "none", "--pieces", fmt.Sprint(pieces), "--gap", "40ms"}
			if silent {
				args = append(args, "--silent-exit")
			}
			p, err := w.startWorker(i, fmt.Sprintf("i-brief%d", i), "brief", []string{"zone-a", "zone-b", "zone-c"}[i%3], args...)
			if err != nil {
				return err
			}
			if i == 0 {
				first = p
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	all := make([]request, 30)
	got := make([]result, len(all))
	for i := range all {
		all[i] = request{id: w.newID(), method: "POST", path: "/lohu930/2f", key: key, stream: true, prompt: fmt.Sprintf("5c1e07a2:800,%x:660", 100+i), body: 600, deadlineMS: 25000}
	}
	if w.trouble {
		time.AfterFunc(2*time.Second, func() {
			w.note("sends worker i-brief0 the signal %v", how)
			first.signal(how)
		})
	}
	var wg sync.WaitGroup
	for i := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got[i] = w.send(i%3, all[i])
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	served := 0
	for i := range all {
		if b := judge(all[i], got[i], whole(all[i].id, true, pieces, 0, 0)); b != "" {
			broken = append(broken, b)
		} else if got[i].status == 200 && got[i].whole {
			served++
		}
	}
	if served == 0 || !w.trouble && served != len(all) {
		return broken, fmt.Errorf("%w: %d of %d streams served", errSetUp, served, len(all))
	}
	return broken, nil
}
