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
	maxMemoryShare = 1.1
	// slackReserve is the slack of running streams that the least urgent requests leave to more urgent
	// ones: the prefill time of a long prompt.
	slackReserve = 1500 * time.Millisecond
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

// slackMargin is the slack that the prompt of a request has to leave to each running stream.
func (r *Request) slackMargin() time.Duration {
	if !r.Priority.Ranked() {
		return slackMargin
	}
	return slackMargin + time.Duration((1-r.urgency())*float64(slackReserve))
}
