package exchange

import (
	"context"
	"net"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/health"
	"github.com/agateway/agateway/core/routing"
)

// Timeouts of a question to the owners of engines. A round trip takes 3 ms and the prefill of a
// prompt one second: choosing an engine that is busy with another prefill costs a thousand times as
// much as asking.
const (
	// firstOwnerTimeout is when the second owners are asked about the engines for which the first
	// ones have not answered.
	firstOwnerTimeout = 10 * time.Millisecond
	// askTimeout is when a choice is made without an answer. It includes firstOwnerTimeout.
	askTimeout = 25 * time.Millisecond
)

// ownerTimeouts are how long each owner of an endpoint is waited for, by rank.
var ownerTimeouts = [ownersPerEndpoint]time.Duration{firstOwnerTimeout, askTimeout - firstOwnerTimeout}

// ownerQuery is a question to owners that is in progress.
type ownerQuery struct {
	prompt     uint64
	unanswered map[string]bool // endpoints without an answer; nil once all are answered
	done       chan struct{}
}

// Ask updates what this instance knows of some endpoints, before a prompt with the given hash is
// placed at one of them. It returns when the owners have answered, when ctx ends, or after
// askTimeout. In a full mesh it returns at once, since this instance receives all placements.
func (x *Exchange) Ask(ctx context.Context, prompt uint64, endpoints []string) {
	r := x.roster()
	if r.fullMesh() {
		return
	}
	q := &ownerQuery{prompt: prompt, unanswered: map[string]bool{}, done: make(chan struct{})}
	for _, id := range endpoints {
		if !r.owns(id) {
			q.unanswered[id] = true
		}
	}
	if len(q.unanswered) == 0 {
		return
	}
	began := time.Now()
	number := x.registerQuery(q)
	defer x.removeQuery(number)
	for rank, wait := range ownerTimeouts {
		x.sendQuestions(r, number, q, rank)
		if q.awaitAnswers(ctx, wait) {
			break
		}
	}
	x.metrics.askDuration.RecordDuration(time.Since(began))
}

// registerQuery adds a question to those in progress, and returns its number.
func (x *Exchange) registerQuery(q *ownerQuery) uint64 {
	x.requestMu.Lock()
	defer x.requestMu.Unlock()
	x.lastRequest++
	x.pendingQueries[x.lastRequest] = q
	return x.lastRequest
}

// removeQuery removes a question, and counts the endpoints without an answer.
func (x *Exchange) removeQuery(number uint64) {
	x.requestMu.Lock()
	defer x.requestMu.Unlock()
	x.metrics.enginesUnanswered.Inc(int64(len(x.pendingQueries[number].unanswered)))
	delete(x.pendingQueries, number)
}

// awaitAnswers waits until all endpoints are answered or ctx ends. It returns false after d.
func (q *ownerQuery) awaitAnswers(ctx context.Context, d time.Duration) bool {
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

// sendQuestions asks the owners of a rank about the endpoints without an answer.
func (x *Exchange) sendQuestions(r *roster, number uint64, q *ownerQuery, rank int) {
	byOwner := map[string][]string{}
	x.requestMu.Lock()
	for id := range q.unanswered {
		owner := r.owners(id)[rank]
		byOwner[owner] = append(byOwner[owner], id)
	}
	x.requestMu.Unlock()
	for owner, ids := range byOwner {
		x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Question{Question: &peerv1.Question{
			Instance: x.Self.ID, Number: number, Endpoints: ids, Prompt: q.prompt,
		}}}, r.addressesOf(owner)...)
	}
}

// maxAnsweredEndpoints bounds the endpoints of one question that are answered; a choice compares
// ten.
const maxAnsweredEndpoints = 32

// answerQuestion sends the summaries that another instance asks for.
func (x *Exchange) answerQuestion(q *peerv1.Question, from net.Addr) {
	out := &peerv1.Summaries{Number: q.Number}
	for _, id := range q.Endpoints[:min(len(q.Endpoints), maxAnsweredEndpoints)] {
		if s, ok := x.Endpoints.Summary(id, q.Instance, q.Prompt); ok {
			out.Summaries = append(out.Summaries, encodeSummary(&s))
		}
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Summaries{Summaries: out}}, from)
}

// receiveSummaries takes an owner's answer to a question.
func (x *Exchange) receiveSummaries(a *peerv1.Summaries) {
	x.requestMu.Lock()
	defer x.requestMu.Unlock()
	q := x.pendingQueries[a.Number]
	if q == nil || q.unanswered == nil {
		return // the answer came too late
	}
	for _, s := range a.Summaries {
		summary := decodeSummary(s)
		if q.unanswered[summary.Endpoint] {
			delete(q.unanswered, summary.Endpoint)
			x.Endpoints.ApplySummary(&summary, q.prompt)
		}
	}
	if len(q.unanswered) == 0 {
		close(q.done)
		q.unanswered = nil
	}
}

func encodeSummary(s *routing.Summary) *peerv1.Summary {
	out := &peerv1.Summary{
		Placed:   encodePlaced(s.Endpoint, &s.Placed),
		Suspects: uint32(max(s.SuspectedBy, 0)), Outcomes: &peerv1.OutcomesAt{Good: toTenths(s.Outcomes.Good), Bad: toTenths(s.Outcomes.Bad)},
		Pace: toTenths(s.Pace), Ended: s.Ended, Read: s.Prefilled,
		SpeedPercent: encodePerToken(s.Speed), SpeedSamples: toTenths(s.Speed.Weight),
	}
	out.Placed.SlackMs = encodeSlack(s.Slack, s.SlackKnown)
	return out
}

func decodeSummary(s *peerv1.Summary) routing.Summary {
	out := routing.Summary{
		Endpoint: s.GetPlaced().GetEndpoint(), Placed: decodePlaced(s.GetPlaced()), SuspectedBy: int(s.Suspects),
		Outcomes: health.Counts{Good: fromTenths(s.GetOutcomes().GetGood()), Bad: fromTenths(s.GetOutcomes().GetBad())},
		Pace:     fromTenths(s.Pace), Ended: s.Ended, Prefilled: s.Read,
		Speed: decodeSpeed(s.SpeedPercent, s.SpeedSamples),
	}
	out.Slack, out.SlackKnown = decodeSlack(s.GetPlaced().GetSlackMs())
	return out
}
