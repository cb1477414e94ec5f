package crashes

import (
	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/crashers"
)

// metrics count crashes and stopped requests.
type metrics struct {
	scope             tally.Scope
	stops, partStops  tally.Counter
	suspects, stopped tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope: s, stops: s.Counter("requests_stopped_total"), partStops: s.Counter("prompt_parts_stopped_total"),
		suspects: s.Gauge("requests_suspected"), stopped: s.Gauge("requests_stopped"),
	}
}

// countCrash counts a crash that was attributed to a request.
func (m *metrics) countCrash(phase crashers.Phase) {
	name := map[crashers.Phase]string{crashers.Present: "present", crashers.Begun: "begun", crashers.Late: "late"}[phase]
	m.scope.Tagged(map[string]string{"sign": name}).Counter("endpoint_ends_under_requests_total").Inc(1)
}
