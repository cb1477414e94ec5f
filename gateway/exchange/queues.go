package exchange

import (
	"slices"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/fairqueue"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/gateway/sharedqueue"
)

// Queues are the queues that instances share. Both methods return false for a message that does not
// fit, which is counted.
type Queues interface {
	// ReceiveUpdate takes the waiting requests of another instance.
	ReceiveUpdate(u *sharedqueue.Update) bool
	// ReceiveState takes an owner's decisions about the requests of this instance.
	ReceiveState(s *sharedqueue.State) bool
}

// QueueOwners implements [sharedqueue.Network].
func (x *Exchange) QueueOwners(key string) []string { return x.roster().ownerIDs(key) }

// SendQueueUpdate implements [sharedqueue.Network].
func (x *Exchange) SendQueueUpdate(owner string, u *sharedqueue.Update) {
	d := &peerv1.Datagram{Body: &peerv1.Datagram_QueueUpdate{QueueUpdate: EncodeQueueUpdate(u, time.Now())}}
	x.send(d, x.roster().addressesOf(owner)...)
}

// SendQueueState implements [sharedqueue.Network].
func (x *Exchange) SendQueueState(instance string, s *sharedqueue.State) {
	to := x.roster().addressesOf(instance)
	for _, out := range EncodeQueueState(s) {
		x.send(&peerv1.Datagram{Body: &peerv1.Datagram_QueueState{QueueState: out}}, to...)
	}
}

func (x *Exchange) receiveQueueUpdate(sent *peerv1.QueueUpdate) {
	if x.Queues == nil {
		return
	}
	u, ok := DecodeQueueUpdate(sent, time.Now())
	if _, known := x.roster().located[u.Instance]; !ok || !known {
		x.metrics.malformed.Inc(1)
		return
	}
	if !x.Queues.ReceiveUpdate(u) {
		x.metrics.queueMessagesDropped.Inc(1)
	}
}

func (x *Exchange) receiveQueueState(sent *peerv1.QueueState) {
	if x.Queues == nil {
		return
	}
	s, ok := DecodeQueueState(sent)
	if !ok || s.Owner == x.Self.ID {
		x.metrics.malformed.Inc(1)
		return
	}
	if !x.Queues.ReceiveState(s) {
		x.metrics.queueMessagesDropped.Inc(1)
	}
}

// Bounds of what is taken from a message about queues. They are far above what instances send.
const (
	maxQueuedRequests = 256
	maxQueueIDs       = 1024
	maxQueueTokens    = 1 << 24
	maxQueueTime      = time.Hour
)

// encodeMilliseconds returns a duration as it is sent, between 0 and maxQueueTime.
func encodeMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxQueueTime).Milliseconds())
}

// decodeMilliseconds returns at most maxQueueTime.
func decodeMilliseconds(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxQueueTime)
}

// EncodeQueueUpdate returns an update as it is sent. It is exported, like the three functions below, so that the
// tests of sharedqueue measure and exchange real messages.
func EncodeQueueUpdate(u *sharedqueue.Update, now time.Time) *peerv1.QueueUpdate {
	out := &peerv1.QueueUpdate{
		Instance: u.Instance, Process: u.Process, Sequence: u.Sequence, Service: u.Service, Placed: u.Placed, Left: appendRenewed(u.Left, u.Renewed),
		Waiting: make([]*peerv1.QueuedRequest, len(u.Waiting)),
	}
	for i := range u.Waiting {
		r := &u.Waiting[i]
		out.Waiting[i] = &peerv1.QueuedRequest{
			Id: r.ID, Rank: uint32(max(r.Level, 0)), Team: r.Team, Tokens: uint32(min(max(r.Tokens, 0), maxQueueTokens)),
			LatestMs: encodeMilliseconds(r.Latest.Sub(now)), WaitedMs: encodeMilliseconds(now.Sub(r.Since)), Prompt: r.Prompt,
		}
	}
	return out
}

// No request has the id 0. In the ids that have left, it is followed by the requests renewed by id: the first one,
// and then the difference of each from the one before, so that most take one byte. An update has them only for an
// owner that has announced in a state that it takes them. If that was replaced since by an older build with the same
// name, it takes them for requests that have left, and gets all requests in full once its first state has arrived.
//
// In the turns of a state, 0 is the announcement, followed by the renewed requests that the owner does not hold.
// Older builds look for a request with the id 0, and never get unknown requests, since they renew none by id.

// appendRenewed returns the ids that have left, and the renewed ones in rising order.
func appendRenewed(left, renewed []uint64) []uint64 {
	if len(renewed) == 0 {
		return left
	}
	out := append(slices.Clone(left), 0)
	last := uint64(0)
	for _, id := range renewed {
		out = append(out, id-last)
		last = id
	}
	return out
}

// splitRenewed is the reverse of appendRenewed.
func splitRenewed(ids []uint64) (left, renewed []uint64) {
	left, differences, _ := splitAtZero(ids)
	last := uint64(0)
	for _, d := range differences {
		last += d
		renewed = append(renewed, last)
	}
	return left, renewed
}

// splitAtZero returns the ids before and after the first 0, and whether there is one.
func splitAtZero(ids []uint64) (before, after []uint64, found bool) {
	i := slices.Index(ids, 0)
	if i < 0 {
		return ids, nil, false
	}
	return ids[:i:i], ids[i+1:], true
}

// DecodeQueueUpdate returns false for an update with a value that no instance sends.
func DecodeQueueUpdate(sent *peerv1.QueueUpdate, now time.Time) (*sharedqueue.Update, bool) {
	u := &sharedqueue.Update{Service: sent.Service, Report: fairqueue.Report{
		Instance: sent.Instance, Process: sent.Process, Sequence: sent.Sequence, Placed: sent.Placed,
	}}
	u.Left, u.Renewed = splitRenewed(sent.Left)
	if u.Instance == "" || u.Service == "" || u.Process == 0 || u.Sequence == 0 {
		return u, false
	}
	if len(sent.Waiting) > maxQueuedRequests || len(sent.Placed) > maxQueueIDs || len(sent.Left) > maxQueueIDs {
		return u, false
	}
	for _, r := range sent.Waiting {
		if r.GetId() == 0 || len(r.GetTeam()) > sharedqueue.MaxTeamBytes || r.GetTokens() > maxQueueTokens {
			return u, false
		}
		latest := now.Add(decodeMilliseconds(r.LatestMs))
		if r.LatestMs == 0 { // it is over
			latest = now.Add(-time.Millisecond)
		}
		u.Waiting = append(u.Waiting, fairqueue.Request{
			ID: r.Id, Level: int(min(r.Rank, route.MaxLevels-1)), Team: r.Team, Tokens: int(r.Tokens),
			Since: now.Add(-decodeMilliseconds(r.WaitedMs)), Latest: latest, Prompt: r.Prompt,
		})
	}
	return u, true
}

// Bounds of a state, so that it fits a datagram of 2,900 bytes. There are as many turns as a sixth
// of a queue's engines, 21.
const (
	maxTurnsPerState    = 64
	maxRefusalsPerState = 64
	maxUnknownPerState  = 64
)

// EncodeQueueState returns a state as one or more messages, each with all turns and a part of the
// refusals and unknown requests.
func EncodeQueueState(s *sharedqueue.State) []*peerv1.QueueState {
	refusals := slices.Collect(slices.Chunk(s.Refused, maxRefusalsPerState))
	unknown := slices.Collect(slices.Chunk(s.Unknown, maxUnknownPerState))
	out := make([]*peerv1.QueueState, max(len(refusals), len(unknown), 1))
	for i := range out {
		turns := s.Turns[:min(len(s.Turns), maxTurnsPerState)]
		if s.ShortRenewals {
			turns = append(slices.Clone(turns), 0)
			if i < len(unknown) {
				turns = append(turns, unknown[i]...)
			}
		}
		var refused []fairqueue.Refusal
		if i < len(refusals) {
			refused = refusals[i]
		}
		out[i] = &peerv1.QueueState{
			Owner: s.Owner, Process: s.Process, Sequence: s.Sequence, Service: s.Service, Turns: turns,
			ExpectedMs: encodeMilliseconds(s.Expected),
		}
		for j := range refused {
			out[i].Refused = append(out[i].Refused, &peerv1.RefusedRequest{
				Id: refused[j].ID, RetryMs: encodeMilliseconds(refused[j].RetryIn), ExpectedMs: encodeMilliseconds(refused[j].Expected),
			})
		}
	}
	return out
}

// DecodeQueueState returns false for a state with a value that no instance sends.
func DecodeQueueState(sent *peerv1.QueueState) (*sharedqueue.State, bool) {
	s := &sharedqueue.State{Owner: sent.Owner, Process: sent.Process, Sequence: sent.Sequence, Service: sent.Service, State: fairqueue.State{
		Expected: decodeMilliseconds(sent.ExpectedMs),
	}}
	s.Turns, s.Unknown, s.ShortRenewals = splitAtZero(sent.Turns)
	if s.Owner == "" || s.Service == "" || s.Process == 0 || s.Sequence == 0 || len(sent.Turns) > maxQueueIDs || len(sent.Refused) > maxQueueIDs {
		return s, false
	}
	for _, r := range sent.Refused {
		if r.GetId() == 0 {
			return s, false
		}
		s.Refused = append(s.Refused, fairqueue.Refusal{ID: r.Id, RetryIn: decodeMilliseconds(r.RetryMs), Expected: decodeMilliseconds(r.ExpectedMs)})
	}
	return s, true
}
