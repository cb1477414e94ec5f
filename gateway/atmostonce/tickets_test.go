package atmostonce_test

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/membership"
	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/atmostonce"
)

type singleMember struct{}

func (singleMember) Self() membership.Member     { return membership.Member{ID: "a", Process: 7} }
func (singleMember) Others() []membership.Member { return nil }

// TestLateCallDoesNotRun checks that an owner that was paused, and gets a call after its deadline,
// does not run the call. The ticket then answers NotRun even to a retry with time left.
func TestLateCallDoesNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		remaining uint32
		runs      int
		want      peerv1.TicketAnswer
	}{
		"in time": {1000, 1, peerv1.TicketAnswer_TICKET_ANSWER_RAN},
		"late":    {0, 0, peerv1.TicketAnswer_TICKET_ANSWER_NOT_RUN},
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			tickets := atmostonce.NewTickets(atmostonce.Options{
				Key: []byte("0123456789abcdef"), MaxEntries: 10, MaxOutcomeBytes: 1000, MaxKeptBodyBytes: 100, TTL: time.Minute, Fleet: singleMember{}, Scope: tally.NoopScope,
				Run: func(context.Context, *atmostonce.Call) atmostonce.Result {
					runs++
					return atmostonce.Result{Outcome: ticket.Outcome{Status: 200}}
				},
			})
			text, _ := tickets.Mint("team")
			req := &peerv1.RunTicketRequest{Ticket: text, Team: "team", Method: "POST", RemainingMs: c.remaining}
			assert.Equal(t, tickets.HandleRun(context.Background(), req).Answer, c.want)
			req.RemainingMs = 1000 // asked again in time
			assert.Equal(t, tickets.HandleRun(context.Background(), req).Answer, c.want)
			assert.Equal(t, runs, c.runs)
		})
	}
}
