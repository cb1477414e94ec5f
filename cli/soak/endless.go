package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/agateway/agateway/platform/standin"
)

// maxEndlessTaken is how many bytes of an endless answer may be taken from a worker. Most of them are in the
// buffers of two loopback connections, since a proxy is between the daemon and the worker.
const maxEndlessTaken = 24 << 20

// endless makes a worker answer without end.
func endless(w *environment, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	names := slices.Sorted(maps.Keys(standin.EndlessKinds))
	name := names[r.IntN(len(names))]
	end := w.disruptions.start(k.name)
	k.setFault(standin.WorkerFault{Endless: standin.EndlessKinds[name]})
	return fmt.Sprintf("%s answers with a %s without end", k.name, name), func() { k.setFault(standin.WorkerFault{}); end() }
}

// checkEndless checks that endless answers were given up.
func (s *soak) checkEndless() {
	for _, k := range s.env.workers {
		for _, w := range k.incarnations() {
			if most := w.LongestEndless(); most > maxEndlessTaken {
				s.addFinding("%d bytes of an endless answer were taken from %s", most, w.Config().ID)
			}
		}
	}
}
