package once

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/directory"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/peers"
)

// Fleet is what tickets need to know of the members.
type Fleet interface {
	Self() membership.Member
	Others() []membership.Member
}

// Options of tickets.
type Options struct {
	Key      []byte
	Entries  int
	Bytes    int
	BodyKept int
	TTL      time.Duration
	Fleet    Fleet
	Pool     *peers.Pool
	// Timeout bounds a question to an owner; a run may take as long as its caller has.
	Timeout time.Duration
	Run     Runner
	Scope   tally.Scope
}

// Tickets holds the tickets of this process, and those handed over by processes that
// have left. It is safe for concurrent use.
type Tickets struct {
	opt   Options
	epoch time.Time // the clock of this process's tickets starts here

	mu        sync.Mutex
	table     *ticket.Table
	waiting   map[ticket.ID]chan struct{} // closed when the call has ended
	inherited map[uint64]*heritage        // by process
}

type heritage struct {
	table *ticket.Table
	epoch time.Time
}

// NewTickets returns an empty table.
func NewTickets(opt Options) *Tickets {
	return &Tickets{
		opt: opt, epoch: time.Now(), table: ticket.NewTable(opt.Entries, opt.Bytes, opt.TTL),
		waiting: map[ticket.ID]chan struct{}{}, inherited: map[uint64]*heritage{},
	}
}

// Mint returns a new ticket for a team, and how long it is valid.
func (t *Tickets) Mint(team string) (string, time.Duration) {
	t.mu.Lock()
	id, expires := t.table.Mint(time.Now())
	t.mu.Unlock()
	self := t.opt.Fleet.Self()
	token := ticket.Token{
		Team: team, Instance: self.ID, Peer: self.PeerAddress, Process: self.Process, ID: id, Expires: expires.Sub(t.epoch),
	}
	return token.Encode(t.opt.Key), t.opt.TTL
}

// Open checks a ticket's text against the team that shows it.
func (t *Tickets) Open(text, team string) (ticket.Token, error) {
	token, err := ticket.Decode(t.opt.Key, text)
	if err != nil {
		return token, ErrBadTicket.Wrap(err, "no ticket of this fleet")
	}
	if token.Team != team {
		return token, ErrBadTicket.New("the ticket belongs to another team")
	}
	return token, nil
}

// Run runs a call under a ticket, here or at the ticket's owner.
func (t *Tickets) Run(ctx context.Context, text string, c *Call) (ticket.Outcome, error) {
	token, err := t.Open(text, c.Team)
	if err != nil {
		return ticket.Outcome{}, err
	}
	if token.Process == t.opt.Fleet.Self().Process {
		return t.runHere(ctx, token, c)
	}
	return t.forward(ctx, text, token, c)
}

// Ask tells what became of a ticket.
func (t *Tickets) Ask(ctx context.Context, text, team string) (ticket.Outcome, error) {
	token, err := t.Open(text, team)
	if err != nil {
		return ticket.Outcome{}, err
	}
	if table, epoch, ok := t.tableOf(token.Process); ok {
		t.mu.Lock()
		a, o := table.Ask(time.Now(), token.ID, epoch.Add(token.Expires))
		t.mu.Unlock()
		return o, answerError(a)
	}
	return t.askElsewhere(ctx, text, token)
}

func (t *Tickets) tableOf(process uint64) (*ticket.Table, time.Time, bool) {
	if process == t.opt.Fleet.Self().Process {
		return t.table, t.epoch, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.inherited[process]
	if h == nil {
		return nil, time.Time{}, false
	}
	return h.table, h.epoch, true
}

// runHere runs a call of this process's own tickets. The deadline is checked on the
// monotonic clock right before the run, so that a process that was paused does not run
// what its caller has given up on.
func (t *Tickets) runHere(ctx context.Context, token ticket.Token, c *Call) (ticket.Outcome, error) {
	hash := xxhash.Sum64String(strings.Join([]string{c.Deployment, c.Method, c.Path, string(c.Body)}, "\x00"))
	for {
		now := time.Now()
		t.mu.Lock()
		answer, outcome := t.table.Begin(now, token.ID, t.epoch.Add(token.Expires), hash)
		var ended chan struct{}
		switch answer {
		case ticket.Run:
			t.waiting[token.ID] = make(chan struct{})
		case ticket.Running:
			ended = t.waiting[token.ID]
		}
		t.mu.Unlock()
		if answer == ticket.Run {
			return t.execute(ctx, token.ID, c)
		}
		if answer != ticket.Running || ended == nil {
			return outcome, answerError(answer)
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return outcome, ErrInProgress.New("the call runs")
		}
	}
}

// execute runs the call. It goes on when its caller goes away: a call that has begun has
// an outcome, and somebody may ask for it.
func (t *Tickets) execute(ctx context.Context, id ticket.ID, c *Call) (ticket.Outcome, error) {
	r := Result{Ended: NotRun, Detail: "the deadline has passed"}
	if time.Now().Before(c.Deadline) {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
		r = t.opt.Run(ctx, c)
		cancel()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.waiting[id])
	delete(t.waiting, id)
	switch r.Ended {
	case NotRun:
		t.table.EndNotRun(id)
		return r.Outcome, ErrNotRun.New("%s", r.Detail)
	case Unknown:
		t.table.EndUnknown(id)
		return r.Outcome, ErrUnknown.New("%s", r.Detail)
	}
	kept := r.Outcome
	if len(kept.Body) > t.opt.BodyKept {
		kept.Body = nil
	}
	t.table.End(id, kept)
	return r.Outcome, nil
}

func (t *Tickets) forward(ctx context.Context, text string, token ticket.Token, c *Call) (ticket.Outcome, error) {
	remaining := time.Until(c.Deadline)
	if remaining <= 0 {
		return ticket.Outcome{}, ErrUnknown.New("the deadline has passed")
	}
	req := &peerv1.RunTicketRequest{
		Ticket: text, Team: c.Team, Deployment: c.Deployment, Method: c.Method, Path: c.Path,
		ContentType: c.ContentType, Body: c.Body, RemainingMs: uint32(remaining.Milliseconds()),
	}
	t.opt.Scope.Counter("tickets_forwarded").Inc(1)
	// Time is left to ask what became of it, and for the answer.
	within := max(remaining-2*heirs*t.opt.Timeout, remaining/2)
	resp, err := peers.Call(ctx, t.opt.Pool, token.Peer, within, runTicketMethod, req)
	if err != nil {
		return t.askElsewhere(ctx, text, token)
	}
	return ticket.Outcome{Status: int(resp.Status), ContentType: resp.ContentType, Body: resp.Body}, answerError(decodeAnswer(resp.Answer))
}

// askElsewhere asks the owner, and when it is gone those that it may have handed its
// outcomes over to.
func (t *Tickets) askElsewhere(ctx context.Context, text string, token ticket.Token) (ticket.Outcome, error) {
	req := &peerv1.AskTicketRequest{Ticket: text, Team: token.Team}
	for _, address := range append([]string{token.Peer}, t.successors(token.Process)...) {
		resp, err := peers.Call(ctx, t.opt.Pool, address, t.opt.Timeout, askTicketMethod, req)
		if err != nil || resp.Answer == peerv1.TicketAnswer_TICKET_ANSWER_UNSPECIFIED {
			continue
		}
		return ticket.Outcome{Status: int(resp.Status), ContentType: resp.ContentType, Body: resp.Body}, answerError(decodeAnswer(resp.Answer))
	}
	return ticket.Outcome{}, ErrUnknown.New("the instance that owns the ticket can't be reached")
}

// heirs is how many instances take over the outcomes of one that leaves.
const heirs = 2

func (t *Tickets) successors(process uint64) []string {
	byID := map[string]string{}
	var ids []string
	for _, m := range t.opt.Fleet.Others() {
		if !m.Leaving && m.Process != process {
			ids = append(ids, m.ID)
			byID[m.ID] = m.PeerAddress
		}
	}
	var out []string
	for _, id := range directory.Rank(processKey(process), ids, heirs) {
		out = append(out, byID[id])
	}
	return out
}

func processKey(process uint64) directory.Key {
	return directory.Key{ID: string(peerProcess(process))}
}

func peerProcess(p uint64) []byte {
	const size = 8
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(p >> (size * i))
	}
	return out
}

// HandleRun answers a peer that forwards a call.
func (t *Tickets) HandleRun(ctx context.Context, req *peerv1.RunTicketRequest) *peerv1.RunTicketResponse {
	token, err := t.Open(req.Ticket, req.Team)
	if err != nil || token.Process != t.opt.Fleet.Self().Process {
		return &peerv1.RunTicketResponse{} // not ours: the peer asks on
	}
	c := &Call{
		Team: req.Team, Deployment: req.Deployment, Method: req.Method, Path: req.Path, ContentType: req.ContentType,
		Body: req.Body, Deadline: time.Now().Add(time.Duration(req.RemainingMs) * time.Millisecond),
	}
	o, err := t.runHere(ctx, token, c)
	return &peerv1.RunTicketResponse{Answer: encodeAnswer(answerOf(err)), Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body}
}

// HandleAsk answers a peer that asks what became of a ticket.
func (t *Tickets) HandleAsk(req *peerv1.AskTicketRequest) *peerv1.AskTicketResponse {
	token, err := t.Open(req.Ticket, req.Team)
	if err != nil {
		return &peerv1.AskTicketResponse{}
	}
	table, epoch, ok := t.tableOf(token.Process)
	if !ok {
		return &peerv1.AskTicketResponse{}
	}
	t.mu.Lock()
	a, o := table.Ask(time.Now(), token.ID, epoch.Add(token.Expires))
	t.mu.Unlock()
	return &peerv1.AskTicketResponse{Answer: encodeAnswer(a), Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body}
}

// HandOver gives the outcomes to instances that stay. No call may be running.
func (t *Tickets) HandOver(ctx context.Context) {
	self := t.opt.Fleet.Self().Process
	now := time.Now()
	t.mu.Lock()
	last, all := t.table.Close()
	t.mu.Unlock()
	req := &peerv1.HandOverTicketsRequest{Process: self, LastId: uint64(last), AgeMs: uint64(now.Sub(t.epoch).Milliseconds())}
	for _, r := range all {
		req.Outcomes = append(req.Outcomes, &peerv1.TicketOutcome{
			Id: uint64(r.ID), Request: r.Request, Answer: encodeAnswer(r.Answer), Status: int32(r.Outcome.Status),
			ContentType: r.Outcome.ContentType, Body: r.Outcome.Body, ExpiresInMs: uint32(max(r.Expires.Sub(now), 0).Milliseconds()),
		})
	}
	for _, address := range t.successors(self) {
		if _, err := peers.Call(ctx, t.opt.Pool, address, 10*t.opt.Timeout, handOverMethod, req); err != nil {
			t.opt.Scope.Counter("ticket_handovers_failed").Inc(1)
		}
	}
}

// HandleHandOver takes over the outcomes of an instance that leaves.
func (t *Tickets) HandleHandOver(req *peerv1.HandOverTicketsRequest) {
	now := time.Now()
	var all []ticket.Record
	for _, o := range req.Outcomes {
		all = append(all, ticket.Record{
			ID: ticket.ID(o.Id), Request: o.Request, Answer: decodeAnswer(o.Answer),
			Outcome: ticket.Outcome{Status: int(o.Status), ContentType: o.ContentType, Body: o.Body},
			Expires: now.Add(time.Duration(o.ExpiresInMs) * time.Millisecond),
		})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inherited[req.Process] = &heritage{
		table: ticket.Inherit(ticket.ID(req.LastId), all, t.opt.Entries, t.opt.TTL),
		epoch: now.Add(-time.Duration(req.AgeMs) * time.Millisecond),
	}
	time.AfterFunc(t.opt.TTL, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.inherited, req.Process)
	})
}

var (
	runTicketMethod = peerv1connect.PeerServiceClient.RunTicket
	askTicketMethod = peerv1connect.PeerServiceClient.AskTicket
	handOverMethod  = peerv1connect.PeerServiceClient.HandOverTickets
)

// answers pairs a table's answers with their wire form and error.
var answers = []struct {
	answer ticket.Answer
	wire   peerv1.TicketAnswer
	err    *errorx.Type
	text   string
}{
	{ticket.Ran, peerv1.TicketAnswer_TICKET_ANSWER_RAN, nil, ""},
	{ticket.NotRun, peerv1.TicketAnswer_TICKET_ANSWER_NOT_RUN, ErrNotRun, "the call did not run, and under this ticket never will"},
	{ticket.Unknown, peerv1.TicketAnswer_TICKET_ANSWER_UNKNOWN, ErrUnknown, "the call may have run; the endpoint's answer was lost"},
	{ticket.Running, peerv1.TicketAnswer_TICKET_ANSWER_RUNNING, ErrInProgress, "the call runs"},
	{ticket.Expired, peerv1.TicketAnswer_TICKET_ANSWER_EXPIRED, ErrExpired, "the ticket has expired; whether the call ran is not known any more"},
	{ticket.Mismatch, peerv1.TicketAnswer_TICKET_ANSWER_MISMATCH, ErrMismatch, "the ticket was used for another request"},
	{ticket.Full, peerv1.TicketAnswer_TICKET_ANSWER_FULL, ErrBusy, "too many calls are remembered"},
}

func answerError(a ticket.Answer) error {
	for _, x := range answers {
		if x.answer == a {
			if x.err == nil {
				return nil
			}
			return x.err.New("%s", x.text)
		}
	}
	return ErrUnknown.New("no answer")
}

func answerOf(err error) ticket.Answer {
	if err == nil {
		return ticket.Ran
	}
	for _, x := range answers {
		if x.err != nil && errorx.IsOfType(err, x.err) {
			return x.answer
		}
	}
	return ticket.Unknown
}

func encodeAnswer(a ticket.Answer) peerv1.TicketAnswer {
	for _, x := range answers {
		if x.answer == a {
			return x.wire
		}
	}
	return peerv1.TicketAnswer_TICKET_ANSWER_UNKNOWN
}

func decodeAnswer(w peerv1.TicketAnswer) ticket.Answer {
	for _, x := range answers {
		if x.wire == w {
			return x.answer
		}
	}
	return ticket.Unknown
}
