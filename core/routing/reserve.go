package routing

import (
	"math"
	"time"
)

// Room at an engine for ranked requests. The least urgent ones may fill its slots, but may not queue
// there: a queue at the engine delays more urgent requests that come later, and it can't be reordered
// across engines. The most urgent ones may queue for a few slots, since an engine admits them first
// and one of its slots becomes free each second or two.
const (
	minQueueFactor, maxQueueFactor = 1.0, 1.5
	// maxMemoryShare lets the most urgent requests use somewhat more than an engine's memory. Streams
	// reach their largest size only at their end, so the engine rarely has to preempt for that.
	maxMemoryShare = 1.25
	// slackReserve is the slack of running streams that the least urgent requests leave to more urgent
	// ones: the prefill time of a long prompt. Those may use up to minSlackMargin.
	slackReserve   = 1500 * time.Millisecond
	minSlackMargin = 250 * time.Millisecond
)

// urgency returns 1 for the most urgent level of a service and 0 for the least urgent one. The steps
// are largest at the least urgent levels, since most of an overload is there.
func (r *Request) urgency() float64 {
	if r.Priority.Levels < 2 {
		return 0
	}
	return math.Sqrt(1 - float64(r.Priority.Level)/float64(r.Priority.Levels-1))
}

// queueFactor replaces [Settings.QueueFactor] for ranked requests.
func (r *Request) queueFactor() float64 {
	return minQueueFactor + (maxQueueFactor-minQueueFactor)*r.urgency()
}

// memoryShare is the share of [Settings.MemoryFactor] that a request may use.
func (r *Request) memoryShare() float64 { return 1 + (maxMemoryShare-1)*r.urgency() }

// copyFactor is the share of an engine's memory up to which a copy for the request may fill it. Copies for the
// more urgent half of the levels may take all that running requests leave: that is about one copy an engine
// under full load, and without one a stream whose engine crashes pauses for as long as its prompt takes.
func (p *picker) copyFactor() float64 {
	s := &p.v.settings
	switch r := p.r; {
	case r.WillMoveToCopy, r.Priority.Ranked() && 2*r.Priority.Level < r.Priority.Levels:
		return s.MemoryFactor
	case r.RequestsWaiting:
		return s.CopyFactorWhileWaiting
	}
	return s.CopyFactor
}

// slackMargin is the slack that the prompt of a request has to leave to each running stream.
func (r *Request) slackMargin() time.Duration {
	if !r.Priority.Ranked() {
		return slackMargin
	}
	return max(slackMargin+time.Duration((1-2*r.urgency())*float64(slackReserve)), minSlackMargin)
}

// prefillLimit is the time within which the prompt has to be prefilled. [Request.PrefillWithin] leaves a
// quarter of the time for prompts that arrive later; the most urgent prompts are prefilled before those.
func (r *Request) prefillLimit() time.Duration {
	return r.PrefillWithin + time.Duration(r.urgency()*float64(r.PrefillWithin)/3)
}
