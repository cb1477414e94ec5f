package routing

// Room at an engine for ranked requests. The least urgent ones may fill its slots, but may not queue
// there: a queue at the engine delays more urgent requests that come later, and it can't be reordered
// across engines. The most urgent ones may queue for a few slots, since an engine admits them first
// and one of its slots becomes free each second or two.
const (
	minQueueFactor, maxQueueFactor = 1.0, 1.5
	// maxMemoryShare lets the most urgent requests use somewhat more than an engine's memory. Streams
	// reach their largest size only at their end, so the engine rarely has to preempt for that.
	maxMemoryShare = 1.1
)

// urgency returns 1 for the most urgent level of a service, 0 for the least urgent one, and evenly
// spaced values in between.
func (r *Request) urgency() float64 {
	if r.Priority.Levels < 2 {
		return 0
	}
	return 1 - float64(r.Priority.Level)/float64(r.Priority.Levels-1)
}

// queueFactor replaces [Settings.QueueFactor] for ranked requests.
func (r *Request) queueFactor() float64 {
	return minQueueFactor + (maxQueueFactor-minQueueFactor)*r.urgency()
}

// memoryShare is the share of [Settings.MemoryFactor] that a request may use.
func (r *Request) memoryShare() float64 { return 1 + (maxMemoryShare-1)*r.urgency() }
