package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cutMode is what happens to the connections of a process that is cut off from all workers. New ones
// are reset in every mode.
type cutMode int

const (
	cutResets   cutMode = iota // open connections are reset
	cutSilences                // open connections go silent
	cutKeeps                   // open connections live on
)

func (m cutMode) String() string {
	return [...]string{"are reset", "go silent", "live on"}[m]
}

// Bounds of how callers of processes that are cut off are served: at least minCutShare as often as
// the others, unless few requests fail there.
const (
	minCutShare      = 2.0 / 3
	cutSlack         = 10
	cutSlackPerShare = 50
	// cutTime is how long a cut lasts.
	cutTime = settleTime + 4*time.Second
)

// cuts holds the processes that are cut off from all workers, and all cuts so far. It is safe for
// concurrent use; the zero value is empty.
type cuts struct {
	mu      sync.Mutex
	current map[string]cutMode // by process
	all     []cut
}

// cut is a time in which some processes were cut off.
type cut struct {
	processes map[string]bool
	from, to  time.Time
}

// mode returns how a process is cut off; false if it is not.
func (c *cuts) mode(process string) (cutMode, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.current[process]
	return m, ok
}

// affected reports whether a process was cut off between two times, or regained the workers.
func (c *cuts) affected(process string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.all, func(one cut) bool {
		return one.processes[process] && one.from.Before(to) && one.to.Add(timingMargin).After(from)
	})
}

func (c *cuts) active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.current) > 0
}

// cutOff cuts some processes off from all workers: one, those of a data centre, or all but one.
func cutOff(w *environment, r *rand.Rand) (string, func()) {
	c := &w.cuts
	if c.active() {
		return "some processes stay cut off", nil
	}
	chosen := map[string]bool{}
	spared, kind := r.IntN(len(w.processes)), r.IntN(3)
	for i, p := range w.processes {
		switch kind {
		case 0:
			chosen[p.name] = i == spared
		case 1:
			chosen[p.name] = i%dataCentres == spared%dataCentres
		default:
			chosen[p.name] = i != spared
		}
	}
	mode := cutMode(r.IntN(3))
	now := time.Now()
	c.mu.Lock()
	c.current = map[string]cutMode{}
	for name, cut := range chosen {
		if cut {
			c.current[name] = mode
		}
	}
	count := len(c.current)
	c.all = append(c.all, cut{processes: chosen, from: now, to: now.Add(cutTime)})
	c.mu.Unlock()
	w.applyCut()
	time.AfterFunc(cutTime, func() {
		c.mu.Lock()
		c.current = nil
		c.mu.Unlock()
		w.applyCut()
	})
	return fmt.Sprintf("%d processes are cut off from all workers, open connections %v", count, mode), nil
}

// applyCut applies the cuts to the open connections of all workers.
func (w *environment) applyCut() {
	w.mu.Lock()
	all := slices.Clone(w.workerProxies)
	w.mu.Unlock()
	for _, p := range all {
		p.applyCut()
	}
}

// newWorkerProxy starts a proxy in front of a worker, from which processes can be cut off.
func (w *environment) newWorkerProxy(server string) (*proxy, error) {
	p, err := newProxy(server)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.cutOf = func(caller net.Conn) (cutMode, bool) { return w.cuts.mode(owner(caller)) }
	p.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workerProxies = append(w.workerProxies, p)
	return p, nil
}

// processName returns the name of process i, and sourceIP the IP number from which it makes its
// connections. Workers tell the processes apart by that.
func processName(i int) string { return fmt.Sprint("front-", i) }
func sourceIP(i int) string    { return fmt.Sprint(sourcePrefix, i+1) }

const sourcePrefix = "127.0.1."

// owner returns the process that made a connection; empty for none.
func owner(c net.Conn) string {
	if i, ok := ownerNumber(c); ok {
		return processName(i)
	}
	return ""
}

// ownerNumber returns the number of the process that made a connection; false for none.
func ownerNumber(c net.Conn) (int, bool) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	number, err := strconv.Atoi(strings.TrimPrefix(host, sourcePrefix))
	return number - 1, err == nil
}

// checkCuts checks how callers of processes that were cut off were served, from settleTime after
// the cut began. Requests that no process may serve don't count.
func (s *soak) checkCuts() {
	s.env.cuts.mu.Lock()
	defer s.env.cuts.mu.Unlock()
	for _, c := range s.env.cuts.all {
		sent, served := map[bool]int{}, map[bool]int{}
		for _, a := range s.calls {
			if a.sent.Before(c.from.Add(settleTime)) || a.ended.After(c.to) || a.abandoned || strings.HasPrefix(a.body, fatalBody) ||
				!s.env.disruptions.undisturbed(a.sent, a.ended, a.process) {
				continue
			}
			if a.err == nil && (a.answer.Status == http.StatusUnauthorized || a.answer.Status == http.StatusNotFound) {
				continue
			}
			sent[c.processes[a.process]]++
			if a.err == nil && a.answer.Complete && a.answer.Status == http.StatusOK {
				served[c.processes[a.process]]++
			}
		}
		failed := sent[true] - served[true]
		share := float64(served[false]) / float64(max(sent[false], 1))
		if failed > cutSlack+(sent[true]+sent[false])/cutSlackPerShare && float64(served[true]) < minCutShare*share*float64(sent[true]) {
			s.addFinding("processes that were cut off from all workers served %d of %d, the others %d of %d", served[true], sent[true], served[false], sent[false])
		}
	}
}
