package atmostonce

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

// Fleet gives access to the fleet's members. Others returns those that are alive, without Self.
type Fleet interface {
	Self() membership.Member
	Others() []membership.Member
}

// Options of [Tickets].
type Options struct {
	// Key signs and verifies tickets. All instances of the fleet use the same key.
	Key []byte
	// MaxEntries bounds the calls in the table, MaxOutcomeBytes the outcomes in it and
	// MaxKeptBodyBytes the body of one outcome. A longer body is not kept.
	MaxEntries       int
	MaxOutcomeBytes  int
	MaxKeptBodyBytes int
	TTL              time.Duration
	Fleet            Fleet
	Pool             *peers.Pool
	// Timeout bounds a request for a ticket's state to another instance. A forwarded call is bounded
	// by its deadline instead.
	Timeout time.Duration
	Run     RunFunc
	Scope   tally.Scope
}

// Tickets runs calls under tickets. It holds the tickets of this process and those handed over by
// processes that have left. It is safe for concurrent use.
type Tickets struct {
	opt   Options
	epoch time.Time // tickets of this process state their expiry as the time since epoch

	mu        sync.Mutex
	table     *ticket.Table
	running   map[ticket.ID]chan struct{} // closed when the call has ended
	inherited map[uint64]*inheritedTable  // by process
}

// inheritedTable holds the outcomes of a process that has left. epoch is that of the process, on
// this instance's clock.
type inheritedTable struct {
	table *ticket.Table
	epoch time.Time
}

// NewTickets returns tickets of this process, with no calls yet.
func NewTickets(opt Options) *Tickets {
	return &Tickets{
		opt: opt, epoch: time.Now(), table: ticket.NewTable(opt.MaxEntries, opt.MaxOutcomeBytes, opt.TTL),
		running: map[ticket.ID]chan struct{}{}, inherited: map[uint64]*inheritedTable{},
	}
}

// Mint returns a new ticket for a team and how long the ticket is valid.
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

// Verify decodes a ticket and checks that it was signed with the fleet's key and belongs to team.
// The error is [ErrBadTicket]. Verify does not check the expiry.
func (t *Tickets) Verify(text, team string) (ticket.Token, error) {
	token, err := ticket.Decode(t.opt.Key, text)
	if err != nil {
		return token, ErrBadTicket.Wrap(err, "no ticket of this fleet")
	}
	if token.Team != team {
		return token, ErrBadTicket.New("the ticket belongs to another team")
	}
	return token, nil
}

// Run runs a call under a ticket, in this process or at the ticket's owner. If the call ran before,
// it returns that outcome.
func (t *Tickets) Run(ctx context.Context, text string, c *Call) (ticket.Outcome, error) {
	token, err := t.Verify(text, c.Team)
	if err != nil {
		return ticket.Outcome{}, err
	}
	if token.Process == t.opt.Fleet.Self().Process {
		return t.runLocally(ctx, token, c)
	}
	return t.forward(ctx, text, token, c)
}

// Ask returns the outcome of the call under a ticket without running it. The error says why there
// is no outcome.
func (t *Tickets) Ask(ctx context.Context, text, team string) (ticket.Outcome, error) {
	token, err := t.Verify(text, team)
	if err != nil {
		return ticket.Outcome{}, err
	}
	if table, epoch, ok := t.tableOf(token.Process); ok {
		t.mu.Lock()
		a, o := table.Ask(time.Now(), token.ID, epoch.Add(token.Expires))
		t.mu.Unlock()
		return o, answerError(a)
	}
	return t.askRemote(ctx, text, token)
}

// tableOf returns the table and the epoch of a process's tickets, if this instance has them.
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

// runLocally runs a call under a ticket of this process. If the call is already running, it waits
// for the end. The deadline is checked on the monotonic clock right before the run, so that a
// process that was paused does not run a call that its caller has given up on.
func (t *Tickets) runLocally(ctx context.Context, token ticket.Token, c *Call) (ticket.Outcome, error) {
	hash := xxhash.Sum64String(strings.Join([]string{c.Deployment, c.Method, c.Path, string(c.Body)}, "\x00"))
	for {
		now := time.Now()
		t.mu.Lock()
		answer, outcome := t.table.Begin(now, token.ID, t.epoch.Add(token.Expires), hash)
		var ended chan struct{}
		switch answer {
		case ticket.Run:
			t.running[token.ID] = make(chan struct{})
		case ticket.Running:
			ended = t.running[token.ID]
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

// execute runs the call and records its outcome. It ignores the cancellation of ctx: a call that
// has begun has an outcome, which a client may ask for later.
func (t *Tickets) execute(ctx context.Context, id ticket.ID, c *Call) (ticket.Outcome, error) {
	r := Result{State: NotRun, Detail: "the deadline has passed"}
	if time.Now().Before(c.Deadline) {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
		r = t.opt.Run(ctx, c)
		cancel()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.running[id])
	delete(t.running, id)
	switch r.State {
	case NotRun:
		t.table.EndNotRun(id)
		return r.Outcome, ErrNotRun.New("%s", r.Detail)
	case Unknown:
		t.table.EndUnknown(id)
		return r.Outcome, ErrUnknown.New("%s", r.Detail)
	}
	kept := r.Outcome
	if len(kept.Body) > t.opt.MaxKeptBodyBytes {
		kept.Body = nil
	}
	t.table.End(id, kept)
	return r.Outcome, nil
}

// forward sends the call to the ticket's owner. If that fails, it asks for the ticket's state.
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
	// Leave time to ask the owner and its successors for the state after a timeout.
	timeout := max(remaining-2*maxSuccessors*t.opt.Timeout, remaining/2)
	resp, err := peers.Call(ctx, t.opt.Pool, token.Peer, timeout, runTicketMethod, req)
	if err != nil {
		return t.askRemote(ctx, text, token)
	}
	return ticket.Outcome{Status: int(resp.Status), ContentType: resp.ContentType, Body: resp.Body}, answerError(decodeAnswer(resp.Answer))
}

// askRemote asks the owner for a ticket's state, and if that fails the instances that it may have
// handed its outcomes over to.
func (t *Tickets) askRemote(ctx context.Context, text string, token ticket.Token) (ticket.Outcome, error) {
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

// maxSuccessors is the number of instances that take over the outcomes of one that leaves.
const maxSuccessors = 2

// successors returns the addresses of the instances that take over the outcomes of a process, by
// rendezvous hash over the members that are not leaving.
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
	for _, id := range directory.Rank(processKey(process), ids, maxSuccessors) {
		out = append(out, byID[id])
	}
	return out
}

func processKey(process uint64) directory.Key {
	return directory.Key{ID: string(encodeProcess(process))}
}

// encodeProcess returns p as 8 bytes, little-endian.
func encodeProcess(p uint64) []byte {
	const size = 8
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(p >> (size * i))
	}
	return out
}

// HandleRun answers a peer that forwards a call. The answer is empty if the ticket is not valid or
// belongs to another process.
func (t *Tickets) HandleRun(ctx context.Context, req *peerv1.RunTicketRequest) *peerv1.RunTicketResponse {
	token, err := t.Verify(req.Ticket, req.Team)
	if err != nil || token.Process != t.opt.Fleet.Self().Process {
		return &peerv1.RunTicketResponse{} // forward reports it as unknown
	}
	c := &Call{
		Team: req.Team, Deployment: req.Deployment, Method: req.Method, Path: req.Path, ContentType: req.ContentType,
		Body: req.Body, Deadline: time.Now().Add(time.Duration(req.RemainingMs) * time.Millisecond),
	}
	o, err := t.runLocally(ctx, token, c)
	return &peerv1.RunTicketResponse{Answer: encodeAnswer(answerFromError(err)), Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body}
}

// HandleAsk answers a peer that asks for a ticket's state. The answer is empty if the ticket is not
// valid or this instance does not have its process's table; the peer then asks the next instance.
func (t *Tickets) HandleAsk(req *peerv1.AskTicketRequest) *peerv1.AskTicketResponse {
	token, err := t.Verify(req.Ticket, req.Team)
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

// HandOver sends the outcomes to the successors of this process when it leaves. It closes the table,
// so no call may be running: the outcome of a running call is handed over as unknown.
func (t *Tickets) HandOver(ctx context.Context) {
	self := t.opt.Fleet.Self().Process
	now := time.Now()
	t.mu.Lock()
	last, records := t.table.Close()
	t.mu.Unlock()
	req := &peerv1.HandOverTicketsRequest{Process: self, LastId: uint64(last), AgeMs: uint64(now.Sub(t.epoch).Milliseconds())}
	for _, r := range records {
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

// HandleHandOver takes over the outcomes of a process that leaves, and keeps them for the TTL.
func (t *Tickets) HandleHandOver(req *peerv1.HandOverTicketsRequest) {
	now := time.Now()
	var records []ticket.Record
	for _, o := range req.Outcomes {
		records = append(records, ticket.Record{
			ID: ticket.ID(o.Id), Request: o.Request, Answer: decodeAnswer(o.Answer),
			Outcome: ticket.Outcome{Status: int(o.Status), ContentType: o.ContentType, Body: o.Body},
			Expires: now.Add(time.Duration(o.ExpiresInMs) * time.Millisecond),
		})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inherited[req.Process] = &inheritedTable{
		table: ticket.Inherit(ticket.ID(req.LastId), records, t.opt.MaxEntries, t.opt.TTL),
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

// answerMappings maps the answers of a table to their wire form and error.
var answerMappings = []struct {
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

// answerError returns the error for an answer, nil for [ticket.Ran].
func answerError(a ticket.Answer) error {
	for _, x := range answerMappings {
		if x.answer == a {
			if x.err == nil {
				return nil
			}
			return x.err.New("%s", x.text)
		}
	}
	return ErrUnknown.New("no answer")
}

// answerFromError is the inverse of [answerError]; other errors become [ticket.Unknown].
func answerFromError(err error) ticket.Answer {
	if err == nil {
		return ticket.Ran
	}
	for _, x := range answerMappings {
		if x.err != nil && errorx.IsOfType(err, x.err) {
			return x.answer
		}
	}
	return ticket.Unknown
}

func encodeAnswer(a ticket.Answer) peerv1.TicketAnswer {
	for _, x := range answerMappings {
		if x.answer == a {
			return x.wire
		}
	}
	return peerv1.TicketAnswer_TICKET_ANSWER_UNKNOWN
}

func decodeAnswer(w peerv1.TicketAnswer) ticket.Answer {
	for _, x := range answerMappings {
		if x.wire == w {
			return x.answer
		}
	}
	return ticket.Unknown
}
