package routing

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/departure"
	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/route"
)

// Placed is what one instance, or all others together, have placed at an endpoint.
type Placed struct {
	// Open is the number of requests in progress.
	Open int
	// Tokens is the memory that these requests and copies for others will need at their largest.
	Tokens int
	// PendingPrefill is how many of their prompt tokens are still to be prefilled. PendingByLevel is
	// the part of it that belongs to ranked requests, by level.
	PendingPrefill int
	PendingByLevel [route.MaxLevels]int32
}

// SetPendingPrefill sets the prompt tokens of one request that are still to be prefilled.
func (p *Placed) SetPendingPrefill(tokens int, priority route.Priority) {
	p.PendingPrefill, p.PendingByLevel = tokens, [route.MaxLevels]int32{}
	if priority.Ranked() {
		p.PendingByLevel[min(max(priority.Level, 0), route.MaxLevels-1)] = int32(tokens)
	}
}

// Prefill returns the part of p that is released once the prompts are prefilled.
func (p *Placed) Prefill() Placed {
	return Placed{PendingPrefill: p.PendingPrefill, PendingByLevel: p.PendingByLevel}
}

// lessUrgent returns the prompt tokens still to be prefilled for requests of lower priority.
func (p *Placed) lessUrgent(priority route.Priority) int {
	sum := 0
	for level := priority.Level + 1; priority.Ranked() && level < route.MaxLevels; level++ {
		sum += int(p.PendingByLevel[level])
	}
	return sum
}

func (p *Placed) add(o Placed) {
	p.Open += o.Open
	p.Tokens += o.Tokens
	p.PendingPrefill += o.PendingPrefill
	for i, tokens := range o.PendingByLevel {
		p.PendingByLevel[i] += tokens
	}
}

func (p *Placed) subtract(o Placed) {
	p.Open = max(p.Open-o.Open, 0)
	p.Tokens = max(p.Tokens-o.Tokens, 0)
	p.PendingPrefill = max(p.PendingPrefill-o.PendingPrefill, 0)
	for i, tokens := range o.PendingByLevel {
		p.PendingByLevel[i] = max(p.PendingByLevel[i]-tokens, 0)
	}
}

// usedMemory returns the memory believed to be allocated, in tokens.
func (n *node) usedMemory(now time.Time) int { return n.own.Tokens + n.othersPlaced(now).Tokens }

// PendingPrefill returns how many prompt tokens are believed to be still to be prefilled at an
// endpoint; 0 if it is not listed.
func (v *View) PendingPrefill(now time.Time, id string) int {
	if n := v.nodes[id]; n != nil {
		return n.pendingPrefill(now)
	}
	return 0
}

func (n *node) pendingPrefill(now time.Time) int {
	return n.own.PendingPrefill + n.othersPlaced(now).PendingPrefill
}

// prefillAhead returns how many prompt tokens the engine prefills before those of the request.
// Prompts of lower priority are behind it, except for one that the engine may have begun.
func (n *node) prefillAhead(now time.Time, r *Request) int {
	others := n.othersPlaced(now)
	behind := n.own.lessUrgent(r.Priority) + others.lessUrgent(r.Priority)
	return n.own.PendingPrefill + others.PendingPrefill - behind + min(behind, r.PromptTokens)
}

// PlacedAt returns what all instances together are believed to have placed at an endpoint.
func (v *View) PlacedAt(now time.Time, id string) Placed {
	n := v.nodes[id]
	if n == nil {
		return Placed{}
	}
	sum := n.own
	sum.Open = n.open
	sum.add(n.othersPlaced(now))
	return sum
}

// Place records what this instance has placed at an endpoint, except for the number of requests,
// which [View.Sent] counts.
func (v *View) Place(id string, w Placed) {
	if n := v.observe(id); n != nil {
		n.own.add(w)
	}
}

// Release takes back what [View.Place] recorded, or a part of it.
func (v *View) Release(id string, w Placed) {
	if n := v.observe(id); n != nil {
		n.own.subtract(w)
		n.prefilled += int64(w.PendingPrefill)
	}
}

// InUse reports whether this instance has placed anything at an endpoint.
func (v *View) InUse(id string) bool {
	n := v.nodes[id]
	return n != nil && (n.open > 0 || n.own != Placed{})
}

// OwnPlacements returns what this instance has placed, by ID of the endpoint; endpoints without any
// are left out.
func (v *View) OwnPlacements() map[string]Placed {
	out := map[string]Placed{}
	for id, n := range v.observed {
		p := n.own
		p.Open = n.open
		if p != (Placed{}) {
			out[id] = p
		}
	}
	return out
}

// PeerReport is what another instance reported about endpoints. They are named by their IDs.
type PeerReport struct {
	// Placed is what the instance has placed, by endpoint.
	Placed map[string]Placed
	// Suspects are the endpoints that recently failed it.
	Suspects []string
	// Ended are the endpoints that it found replaced at their address.
	Ended []string
	// Outcomes are the recent outcomes of its requests, for endpoints with failures.
	Outcomes map[string]health.Counts
	// Paces is how many times as long as usual slow engines take.
	Paces map[string]float64
	// Slacks are the shortest slacks of its streams, by endpoint. They are minima, so they are not part
	// of the sums of Placed.
	Slacks map[string]time.Duration
	// Speeds is how long a prompt token takes at engines, as the instance observed it.
	Speeds map[string]health.SpeedEstimate
	// Prefilled are the prompts of its requests in progress that endpoints have prefilled.
	Prefilled []PrefilledPrompt
	// Limits are the statements of limits that it received.
	Limits map[string]admission.Statement
	// Departures are the endpoints that said to it that they leave.
	Departures map[string]departure.Statement
}

// empty reports whether nothing of the report has to be kept. Ended, Prefilled, Limits and Departures
// are applied when the report arrives.
func (t *PeerReport) empty() bool {
	return len(t.Placed)+len(t.Suspects)+len(t.Outcomes)+len(t.Paces)+len(t.Slacks)+len(t.Speeds) == 0
}

// Filter returns the part of the report that is about some endpoints. It keeps all limits and
// departures.
func (t *PeerReport) Filter(keep func(id string) bool) PeerReport {
	dropped := func(id string) bool { return !keep(id) }
	out := PeerReport{
		Suspects: slices.DeleteFunc(slices.Clone(t.Suspects), dropped), Ended: slices.DeleteFunc(slices.Clone(t.Ended), dropped),
		Placed: maps.Clone(t.Placed), Outcomes: maps.Clone(t.Outcomes), Paces: maps.Clone(t.Paces), Slacks: maps.Clone(t.Slacks), Speeds: maps.Clone(t.Speeds), Limits: t.Limits, Departures: t.Departures,
	}
	maps.DeleteFunc(out.Placed, func(id string, _ Placed) bool { return dropped(id) })
	maps.DeleteFunc(out.Outcomes, func(id string, _ health.Counts) bool { return dropped(id) })
	maps.DeleteFunc(out.Paces, func(id string, _ float64) bool { return dropped(id) })
	maps.DeleteFunc(out.Slacks, func(id string, _ time.Duration) bool { return dropped(id) })
	maps.DeleteFunc(out.Speeds, func(id string, _ health.SpeedEstimate) bool { return dropped(id) })
	for _, r := range t.Prefilled {
		if keep(r.Endpoint) {
			out.Prefilled = append(out.Prefilled, r)
		}
	}
	return out
}

// Endpoints returns the endpoints that the report is about.
func (t *PeerReport) Endpoints() map[string]bool {
	out := map[string]bool{}
	for _, ids := range []iter.Seq[string]{
		slices.Values(t.Suspects), slices.Values(t.Ended), maps.Keys(t.Placed), maps.Keys(t.Outcomes), maps.Keys(t.Paces), maps.Keys(t.Slacks), maps.Keys(t.Speeds), maps.Keys(t.Departures),
	} {
		for id := range ids {
			out[id] = true
		}
	}
	for _, r := range t.Prefilled {
		out[r.Endpoint] = true
	}
	return out
}

// Combine merges what several instances found out about endpoints, without what they have placed
// there and the speeds that they observed, which only owners need. An endpoint that failed several of
// them is listed among the suspects twice, since more reports make no difference.
func Combine(all []PeerReport) PeerReport {
	out := PeerReport{Outcomes: map[string]health.Counts{}, Paces: map[string]float64{}, Limits: map[string]admission.Statement{}, Departures: map[string]departure.Statement{}}
	suspectedBy, ended := map[string]int{}, map[string]bool{}
	for i := range all {
		for _, id := range all[i].Suspects {
			suspectedBy[id]++
		}
		for _, id := range all[i].Ended {
			ended[id] = true
		}
		for id, c := range all[i].Outcomes {
			out.Outcomes[id] = out.Outcomes[id].Add(c)
		}
		for id, f := range all[i].Paces {
			out.Paces[id] = max(out.Paces[id], f)
		}
		for id, st := range all[i].Limits {
			if st.At.After(out.Limits[id].At) {
				out.Limits[id] = st
			}
		}
		for id, st := range all[i].Departures {
			if st.At.After(out.Departures[id].At) {
				out.Departures[id] = st
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(suspectedBy)) {
		for range min(suspectedBy[id], maxSuspectingPeers+1) {
			out.Suspects = append(out.Suspects, id)
		}
	}
	out.Ended = slices.Sorted(maps.Keys(ended))
	return out
}

// PrefilledPrompt states that an endpoint has prefilled a prompt, given by its hash.
type PrefilledPrompt struct {
	Endpoint string
	Prompt   uint64
}

// SetPeerReport records the report of another instance; it replaces the former one. The zero value
// forgets the instance.
func (v *View) SetPeerReport(now time.Time, peer string, t PeerReport) {
	for _, r := range t.Prefilled {
		if v.nodes[r.Endpoint] != nil {
			v.CacheStored(now, r.Endpoint, r.Prompt)
		}
	}
	for _, id := range t.Ended {
		if n := v.observe(id); n != nil {
			n.ended = true
		}
	}
	v.ReportLimits(t.Limits)
	v.ReportDepartures(now, t.Departures)
	old := v.peerReports[peer]
	v.countEndedPrompts(now, peer, &old, &t)
	v.pruneClaims(now, peer)
	delete(v.peerReports, peer)
	v.subtractReport(&old)
	v.updatePeerSpeeds(now, &old, &t)
	if !t.empty() {
		v.peerReports[peer] = t
	}
	v.addReport(&t)
	v.notePeerSuspects(now, &old, &t)
	v.updatePeerPaces(&old, &t)
	v.updatePeerSlacks(peer, &old, &t)
	if len(old.Suspects)+len(t.Suspects) > 0 {
		v.degraded.stale = true
	}
}

// addReport adds the report of an instance to the sums that the endpoints keep.
func (v *View) addReport(t *PeerReport) {
	for id, p := range t.Placed {
		if n := v.observe(id); n != nil {
			n.peerPlaced.add(p)
		}
	}
	for _, id := range t.Suspects {
		if n := v.observe(id); n != nil {
			n.suspectedBy++
		}
	}
	for id, c := range t.Outcomes {
		if n := v.observe(id); n != nil {
			n.peerOutcomes = n.peerOutcomes.Add(c)
		}
	}
}

// subtractReport subtracts the former report of an instance from the sums that the endpoints keep.
func (v *View) subtractReport(t *PeerReport) {
	for id, p := range t.Placed {
		if n := v.observe(id); n != nil {
			n.peerPlaced.subtract(p)
		}
	}
	for _, id := range t.Suspects {
		if n := v.observe(id); n != nil {
			n.suspectedBy--
		}
	}
	for id, c := range t.Outcomes {
		if n := v.observe(id); n != nil {
			n.peerOutcomes = n.peerOutcomes.Sub(c)
		}
	}
}

// updatePeerPaces recomputes the slowest reported pace of the endpoints in the former or the new
// report.
func (v *View) updatePeerPaces(before, now *PeerReport) {
	for _, paces := range []map[string]float64{before.Paces, now.Paces} {
		for id := range paces {
			if n := v.observe(id); n != nil {
				n.peerPace = v.slowestPeerPace(id)
			}
		}
	}
}

func (v *View) slowestPeerPace(id string) float64 {
	most := 0.0
	for _, t := range v.peerReports {
		most = max(most, t.Paces[id])
	}
	return most
}

// applyPeerReports applies to a new endpoint what other instances reported before it was listed.
func (v *View) applyPeerReports(id string) {
	for peer, t := range v.peerReports {
		suspected := slices.Contains(t.Suspects, id)
		_, placed := t.Placed[id]
		_, counted := t.Outcomes[id]
		_, slow := t.Paces[id]
		slack, hasSlack := t.Slacks[id]
		speed, measured := t.Speeds[id]
		if !suspected && !placed && !counted && !slow && !hasSlack && !measured {
			continue
		}
		n := v.observe(id)
		n.peerPlaced.add(t.Placed[id])
		n.peerOutcomes = n.peerOutcomes.Add(t.Outcomes[id])
		n.peerPace = max(n.peerPace, t.Paces[id])
		if v.settings.Deadlines {
			n.setPeerSlack(peer, slack, hasSlack)
		}
		n.peerSpeed.add(speedSumOf(speed))
		for _, s := range t.Suspects {
			if s == id {
				n.suspectedBy++
			}
		}
	}
}
