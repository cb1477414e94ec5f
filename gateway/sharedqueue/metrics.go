package sharedqueue

import (
	"strconv"

	"github.com/uber-go/tally/v4"
)

// clientMetrics are the metrics of a client.
type clientMetrics struct{ scope tally.Scope }

func (m *clientMetrics) of(service string, level int) tally.Scope {
	return m.scope.Tagged(map[string]string{"service": service, "level": strconv.Itoa(level)})
}

func (m *clientMetrics) setWaiting(service string, level int, q *clientQueue) {
	n := 0
	for _, t := range q.waiting {
		if t.request.Level == level {
			n++
		}
	}
	m.of(service, level).Gauge("shared_queue_waiting").Update(float64(n))
}

func (m *clientMetrics) countRefused(service string, level int) {
	m.of(service, level).Counter("shared_queue_refused_total").Inc(1)
}

func (m *clientMetrics) countTurn(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("shared_queue_turns_total").Inc(1)
}

func (m *clientMetrics) countOwnerChange(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("shared_queue_owner_changes_total").Inc(1)
}
