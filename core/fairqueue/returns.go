package fairqueue

import "time"

const (
	// returnWindow is how long a refused prompt is remembered. Callers return within maxRetryIn, and somewhat later if
	// they can't connect at once.
	returnWindow = 12 * time.Second
	// usefulWaits is until when a start is on time, in multiples of the wait of the first attempt. An attempt waits for
	// half of the target latency; a fifth of the target is left for prefill.
	usefulWaits = 1.6
	// maxRefusedPrompts bounds the remembered prompts; an entry takes about 150 bytes. A queue that refuses 830 requests
	// a second, as at twice the design size if all requests are streams, holds 17,000: callers who return are refused
	// again, and their prompts are remembered anew. With 4096 and 16,384, some who returned were not known.
	maxRefusedPrompts = 32_768
)

// promptKey identifies the request of a caller. Prompts of different teams are never the same request.
type promptKey struct {
	team   string
	prompt uint64
}

func (e *entry) promptKey() promptKey { return promptKey{e.Team, e.Prompt} }

// refusedPrompt is the first refused attempt with a prompt.
type refusedPrompt struct {
	due, since int64
	refusedAt  time.Time
}

// recognize gives a request of a caller who has returned after a refusal the place of the first attempt. Its latest
// useful start follows from the first attempt too.
func (q *Queue) recognize(now time.Time, e *entry) {
	r, ok := q.refusedPrompts[e.promptKey()]
	if !ok || e.Prompt == 0 || now.Sub(r.refusedAt) >= returnWindow {
		return
	}
	e.due, e.since = min(e.due, r.due), min(e.since, r.since)
	e.latest = min(e.latest, r.since+int64(usefulWaits*float64(r.due-r.since)))
	e.arrivedLate = e.latest < now.UnixNano()
}

// rememberRefused remembers the prompt of a refused request. The first attempt with it counts.
func (q *Queue) rememberRefused(now time.Time, e *entry) {
	if e.Prompt == 0 {
		return
	}
	key := e.promptKey()
	if _, known := q.refusedPrompts[key]; !known && len(q.refusedPrompts) >= maxRefusedPrompts {
		return
	}
	q.refusedPrompts[key] = refusedPrompt{due: e.due, since: e.since, refusedAt: now}
}

// forgetRefused forgets the prompts whose callers have not returned.
func (q *Queue) forgetRefused(now time.Time) {
	for key, r := range q.refusedPrompts {
		if now.Sub(r.refusedAt) >= returnWindow {
			delete(q.refusedPrompts, key)
		}
	}
}
