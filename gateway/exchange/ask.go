package exchange

import (
	"context"
	"net"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/routing"
)

// Times of a question to the owners of engines. A round trip takes 3 ms, and a prompt a second to be read: a choice of an
// engine that is reading another prompt costs a thousand times what it takes to know.
const (
	// askSecond is when the second owners are asked about engines of which the first have said nothing.
	askSecond = 10 * time.Millisecond
	// askTimeout is when a choice is made without them.
	askTimeout = 25 * time.Millisecond
)

// askWaits are how long each of an endpoint's owners is waited for, the first one first.
var askWaits = [owners]time.Duration{askSecond, askTimeout - askSecond}

// inquiry is a question that is out.
type inquiry struct {
	prompt uint64
	open   map[string]bool // endpoints of which nothing was heard yet; nil once all are known
	done   chan struct{}
}

// Ask brings what this instance knows of some endpoints up to date, for a prompt that is to be placed at one of them. It
// returns when their owners have answered, or after askTimeout.
func (x *Exchange) Ask(ctx context.Context, prompt uint64, endpoints []string) {
	r := x.roster()
	if r.direct() {
		return
	}
	q := &inquiry{prompt: prompt, open: map[string]bool{}, done: make(chan struct{})}
	for _, id := range endpoints {
		if !r.owned(id) {
			q.open[id] = true
		}
	}
	if len(q.open) == 0 {
		return
	}
	began := time.Now()
	number := x.begin(q)
	defer x.end(number)
	for rank, wait := range askWaits {
		x.question(r, number, q, rank)
		if q.await(ctx, wait) {
			break
		}
	}
	x.metrics.question.RecordDuration(time.Since(began))
}

// begin remembers a question, and returns its number.
func (x *Exchange) begin(q *inquiry) uint64 {
	x.askMu.Lock()
	defer x.askMu.Unlock()
	x.number++
	x.asked[x.number] = q
	return x.number
}

// end forgets a question.
func (x *Exchange) end(number uint64) {
	x.askMu.Lock()
	defer x.askMu.Unlock()
	x.metrics.unanswered.Inc(int64(len(x.asked[number].open)))
	delete(x.asked, number)
}

// await waits for all answers; false when they did not come in time.
func (q *inquiry) await(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-q.done:
		return true
	case <-ctx.Done():
		return true
	case <-t.C:
		return false
	}
}

// question asks the owners of a rank about the endpoints of which nothing was heard yet.
func (x *Exchange) question(r *roster, number uint64, q *inquiry, rank int) {
	by := map[string][]string{}
	x.askMu.Lock()
	for id := range q.open {
		owner := r.owners(id)[rank]
		by[owner] = append(by[owner], id)
	}
	x.askMu.Unlock()
	for owner, ids := range by {
		x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Question{Question: &peerv1.Question{
			Instance: x.Self.ID, Number: number, Endpoints: ids, Prompt: q.prompt,
		}}}, r.to(owner)...)
	}
}

// askedMost bounds the endpoints of one question that are answered: a choice compares ten.
const askedMost = 32

// answer answers a question of another instance.
func (x *Exchange) answer(q *peerv1.Question, from net.Addr) {
	out := &peerv1.Summaries{Number: q.Number}
	for _, id := range q.Endpoints[:min(len(q.Endpoints), askedMost)] {
		if s, ok := x.Endpoints.Summary(id, q.Instance, q.Prompt); ok {
			out.Summaries = append(out.Summaries, encodeSummary(&s))
		}
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Summaries{Summaries: out}}, from)
}

// answered takes what an owner says.
func (x *Exchange) answered(a *peerv1.Summaries) {
	x.askMu.Lock()
	defer x.askMu.Unlock()
	q := x.asked[a.Number]
	if q == nil || q.open == nil {
		return // it comes too late
	}
	for _, s := range a.Summaries {
		summary := decodeSummary(s)
		if q.open[summary.Endpoint] {
			delete(q.open, summary.Endpoint)
			x.Endpoints.Learn(&summary, q.prompt)
		}
	}
	if len(q.open) == 0 {
		close(q.done)
		q.open = nil
	}
}

func encodeSummary(s *routing.Summary) *peerv1.Summary {
	return &peerv1.Summary{
		Placed:   encodePlaced(s.Endpoint, &s.Placed),
		Suspects: uint32(max(s.SuspectedBy, 0)), Outcomes: &peerv1.OutcomesAt{Good: tenths(s.Outcomes.Good), Bad: tenths(s.Outcomes.Bad)},
		Pace: tenths(s.Pace), Ended: s.Ended, Read: s.Prefilled,
	}
}

func decodeSummary(s *peerv1.Summary) routing.Summary {
	return routing.Summary{
		Endpoint: s.GetPlaced().GetEndpoint(), Placed: decodePlaced(s.GetPlaced()), SuspectedBy: int(s.Suspects),
		Outcomes: health.Counts{Good: ofTenths(s.GetOutcomes().GetGood()), Bad: ofTenths(s.GetOutcomes().GetBad())},
		Pace:     ofTenths(s.Pace), Ended: s.Ended, Prefilled: s.Read,
	}
}
