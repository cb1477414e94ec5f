package routing

import (
	"time"

	"github.com/agateway/agateway/core/health"
)

// Placed is what one instance, or all others together, have placed at an endpoint.
type Placed struct {
	// Open is the number of requests in progress.
	Open int
	// Tokens is the memory that these requests and copies for others will need at their largest.
	Tokens int
	// Unread is how many prompt tokens of them are still to be read.
	Unread int
}

func (p *Placed) add(o Placed) {
	p.Open += o.Open
	p.Tokens += o.Tokens
	p.Unread += o.Unread
}

func (p *Placed) subtract(o Placed) {
	p.Open = max(p.Open-o.Open, 0)
	p.Tokens = max(p.Tokens-o.Tokens, 0)
	p.Unread = max(p.Unread-o.Unread, 0)
}

// used is the memory that is believed to be taken, in tokens.
func (n *node) used() int { return n.own.Tokens + n.others.Tokens }

// Unread returns how many prompt tokens are believed to be still to be read at an endpoint.
func (v *View) Unread(id string) int {
	if n := v.nodes[id]; n != nil {
		return n.unread()
	}
	return 0
}

func (n *node) unread() int { return n.own.Unread + n.others.Unread }

// Place records what this instance has placed at an endpoint, besides the number of requests
// ([View.Sent] counts those).
func (v *View) Place(id string, w Placed) {
	if n := v.nodes[id]; n != nil {
		n.own.add(w)
	}
}

// Release takes back what [View.Place] recorded, or a part of it.
func (v *View) Release(id string, w Placed) {
	if n := v.nodes[id]; n != nil {
		n.own.subtract(w)
	}
}

// Own returns what this instance has placed, by endpoint; endpoints without any are left out.
func (v *View) Own() map[string]Placed {
	out := map[string]Placed{}
	for id, n := range v.nodes {
		p := n.own
		p.Open = n.open
		if p != (Placed{}) {
			out[id] = p
		}
	}
	return out
}

// Told is what another instance told of endpoints.
type Told struct {
	// Placed is what it has placed, by endpoint.
	Placed map[string]Placed
	// Suspects are the endpoints that failed it a short while ago.
	Suspects []string
	// Ended are the endpoints that it found replaced at their address.
	Ended []string
	// Outcomes is how its requests ended lately, of endpoints with bad ones.
	Outcomes map[string]health.Counts
	// Paces is how many times as long as usual slow engines take.
	Paces map[string]float64
	// Read are the prompts of its requests in progress that endpoints have read.
	Read []Read
}

// empty tells that nothing of it has to be remembered.
func (t *Told) empty() bool {
	return len(t.Placed)+len(t.Suspects)+len(t.Outcomes)+len(t.Paces) == 0
}

// Read says that an endpoint has read a prompt.
type Read struct {
	Endpoint string
	Prompt   uint64
}

// SetPeer takes what another instance told; it replaces what that instance told before. The zero
// value forgets the instance.
func (v *View) SetPeer(now time.Time, peer string, t Told) {
	for _, r := range t.Read {
		if v.nodes[r.Endpoint] != nil {
			v.CacheStored(now, r.Endpoint, r.Prompt)
		}
	}
	for _, id := range t.Ended {
		if n := v.nodes[id]; n != nil {
			n.ended = true
		}
	}
	old := v.peers[peer]
	delete(v.peers, peer)
	v.unsay(&old)
	if !t.empty() {
		v.peers[peer] = t
	}
	v.say(&t)
	v.repace(&old, &t)
	if len(old.Suspects)+len(t.Suspects) > 0 {
		v.doubt.stale = true
	}
}

// say counts what an instance told.
func (v *View) say(t *Told) {
	for id, p := range t.Placed {
		if n := v.nodes[id]; n != nil {
			n.others.add(p)
		}
	}
	for _, id := range t.Suspects {
		if n := v.nodes[id]; n != nil {
			n.doubters++
		}
	}
	for id, c := range t.Outcomes {
		if n := v.nodes[id]; n != nil {
			n.othersOutcomes = n.othersOutcomes.Add(c)
		}
	}
}

// unsay takes back what an instance told before.
func (v *View) unsay(t *Told) {
	for id, p := range t.Placed {
		if n := v.nodes[id]; n != nil {
			n.others.subtract(p)
		}
	}
	for _, id := range t.Suspects {
		if n := v.nodes[id]; n != nil {
			n.doubters--
		}
	}
	for id, c := range t.Outcomes {
		if n := v.nodes[id]; n != nil {
			n.othersOutcomes = n.othersOutcomes.Sub(c)
		}
	}
}

// repace finds the slowest pace that others tell, of the endpoints that an instance spoke of before or now.
func (v *View) repace(before, now *Told) {
	for _, paces := range []map[string]float64{before.Paces, now.Paces} {
		for id := range paces {
			if n := v.nodes[id]; n != nil {
				n.othersPace = v.slowest(id)
			}
		}
	}
}

func (v *View) slowest(id string) float64 {
	most := 0.0
	for _, t := range v.peers {
		most = max(most, t.Paces[id])
	}
	return most
}

// recall takes what the others told about an endpoint before it was listed.
func (v *View) recall(n *node, id string) {
	for _, t := range v.peers {
		n.others.add(t.Placed[id])
		n.othersOutcomes = n.othersOutcomes.Add(t.Outcomes[id])
		for _, s := range t.Suspects {
			if s == id {
				n.doubters++
			}
		}
	}
	n.othersPace = v.slowest(id)
}
