package forward

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/placement"
)

const (
	// slackInterval is the least time between two reports of a stream.
	slackInterval = 250 * time.Millisecond
	// minUndisturbedWindows is from how many windows without prefill the fastest of them counts as the
	// speed of the engine. Prompts of other instances become known some tens of milliseconds late.
	minUndisturbedWindows = 4
	// maxSlowdown bounds the time per event at an engine, in multiples of the best one of its service.
	maxSlowdown = 3
)

// slackReport reports to the placement what is left of the stream of an attempt. The session's goroutine
// begins and updates it, and the attempt's goroutine ends it. The zero value reports nothing.
type slackReport struct {
	mu    sync.Mutex
	ended bool

	// The other fields belong to the session's goroutine. key identifies the stream; 0 if nothing is
	// reported.
	key         uint64
	output      limits.Output
	outputKnown bool
	// reportedAt is the time of the last report, delivered how many events the stream had then, and
	// undisturbed whether the engine had no prompts to prefill.
	reportedAt  time.Time
	delivered   int
	undisturbed bool
	// windows counts the times between two reports without prefill, and fastest is the least time per
	// event in one of them.
	windows int
	fastest time.Duration
}

// beginSlackReport reports what is left of a stream when it is placed.
func (s *session) beginSlackReport(a *attempt) {
	if !s.f.Settings.Overload.usesDeadlines(s.req.priority) || s.req.deadline.IsZero() {
		return
	}
	a.slack.key = s.f.lastSlackKey.Add(1)
	s.reportSlack(time.Now(), a, a.placed.PendingPrefill)
}

// updateSlack reports what is left of a stream when one of its events was relayed, at most every
// slackInterval after the first event.
func (s *session) updateSlack(now time.Time, a *attempt) {
	if a == nil || a.slack.key == 0 || now.Sub(a.slack.reportedAt) < slackInterval && a.eventCount > 1 {
		return
	}
	s.reportSlack(now, a, 0)
}

// reportSlack reports nothing while too little is known of the outputs of the service.
func (s *session) reportSlack(now time.Time, a *attempt, pendingPrefill int) {
	r := &a.slack
	delivered := eventsReceived(s.lastEventID)
	if !r.outputKnown {
		r.output, r.outputKnown = s.f.expectedOutput(s.req)
	}
	if r.outputKnown {
		pending := r.report(s.f.Placement, a.endpoint.ID, routing.RunningStream{
			Deadline: s.req.deadline, RemainingEvents: max(r.output.Events-delivered, 0), TimePerEvent: r.timePerEvent(),
			PendingPrefill: pendingPrefill, OutputTokens: s.req.MaxOutputTokens, TimePerOutputToken: timePerToken(r.output, s.req.MaxOutputTokens),
		})
		r.endWindow(now.Sub(r.reportedAt), delivered-r.delivered, pending == 0)
	}
	r.reportedAt, r.delivered = now, delivered
}

// report does nothing once the attempt has ended. Events that it has left behind are relayed later, and
// would otherwise record the stream again.
func (r *slackReport) report(p *placement.Placement, endpoint string, s routing.RunningStream) (pending int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0
	}
	return p.SetStream(endpoint, r.key, s)
}

// end removes the stream of an attempt that has ended.
func (r *slackReport) end(p *placement.Placement, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if r.key != 0 {
		p.RemoveStream(endpoint, r.key)
	}
}

// endWindow takes the time since the last report and the events of it as a measure of the engine's speed,
// if there was nothing to prefill at either end.
func (r *slackReport) endWindow(took time.Duration, events int, undisturbed bool) {
	if r.undisturbed && undisturbed && events > 1 {
		perEvent := took / time.Duration(events)
		if r.windows++; r.windows == 1 || perEvent < r.fastest {
			r.fastest = perEvent
		}
	}
	r.undisturbed = undisturbed
}

// timePerEvent returns the best time per event at the engine. The best one of the service is that of its
// fastest engines.
func (r *slackReport) timePerEvent() time.Duration {
	best := r.output.TimePerEvent
	if r.windows < minUndisturbedWindows {
		return best
	}
	return min(max(r.fastest, best), maxSlowdown*best)
}

func timePerToken(o limits.Output, tokens int) time.Duration {
	return time.Duration(o.Events) * o.TimePerEvent / time.Duration(max(tokens, 1))
}

// expectedOutput returns the output of a stream at the best speed; false if that is unknown.
func (f *Forwarder) expectedOutput(req *request) (o limits.Output, known bool) {
	f.streamTimes.update(req.service, func(t *limits.StreamTimes) { o, known = t.ExpectedOutput(req.MaxOutputTokens) })
	return o, known
}

// outputBudget returns how much time is left for the output once the prompt has been prefilled, at least
// a millisecond. It returns 0 if the request has no deadline or the caller resumes a stream.
func (f *Forwarder) outputBudget(req *request, now time.Time) time.Duration {
	if !f.Settings.Overload.usesDeadlines(req.priority) || req.deadline.IsZero() || req.LastEventID != "" {
		return 0
	}
	prefill, _ := f.Placement.ExpectedPrefillTime(req.service, req.PromptTokens)
	return max(req.deadline.Sub(now)-prefill, time.Millisecond)
}

// recordDeadlineRefusal counts and logs a refused claim if the prompt would make a stream miss its
// deadline.
func (f *Forwarder) recordDeadlineRefusal(endpoint string, r *routing.Request) {
	if !f.Settings.Overload.usesDeadlines(r.Priority) {
		return
	}
	c := f.Placement.CheckSlack(endpoint, r)
	if !c.Endangered {
		return
	}
	f.metrics.deadlineRefusals.Inc(1)
	suppressed, ok := f.deadlineLog.allow(time.Now())
	if !ok {
		return
	}
	inputs := logrus.Fields{
		"endpoint": endpoint, "pending_tokens": c.PendingPrefill, "prompt_tokens": r.PromptTokens, "output_within_ms": r.OutputWithin.Milliseconds(), "suppressed": suppressed,
	}
	if c.SlackKnown {
		inputs["slack_ms"] = c.Slack.Milliseconds()
	}
	f.Log.Decision(r.Key, "claim refused for a deadline", inputs)
}

// logInterval is the least time between two log lines about the same kind of decision. A request that
// waits claims up to six engines every 20 ms.
const logInterval = time.Second

// logLimit limits how often a line is logged. The zero value allows the first one at once. It is safe for
// concurrent use.
type logLimit struct {
	mu         sync.Mutex
	next       time.Time
	suppressed int
}

// allow reports whether the line may be logged now, and how many were not since the last one.
func (l *logLimit) allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.next = l.suppressed, 0, now.Add(logInterval)
	return suppressed, true
}
