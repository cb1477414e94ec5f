package routing

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

// SetPeer takes what another instance told that it has placed; it replaces what that instance told
// before. Nil forgets the instance.
func (v *View) SetPeer(peer string, placed map[string]Placed) {
	for id, p := range v.peers[peer] {
		if n := v.nodes[id]; n != nil {
			n.others.subtract(p)
		}
	}
	if placed == nil {
		delete(v.peers, peer)
		return
	}
	v.peers[peer] = placed
	for id, p := range placed {
		if n := v.nodes[id]; n != nil {
			n.others.add(p)
		}
	}
}

// told sums up what the others told about an endpoint.
func (v *View) told(id string) Placed {
	var sum Placed
	for _, placed := range v.peers {
		sum.add(placed[id])
	}
	return sum
}
