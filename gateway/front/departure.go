package front

import (
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/routing"
)

// onDeparture logs and counts an endpoint that began or ceased to count as leaving because of its
// answers.
func (f *Front) onDeparture(e routing.DepartureEvent) {
	f.telemetry.Scope.Gauge("endpoints_leaving_by_answer").Update(float64(e.Count))
	message := "endpoint is leaving"
	if !e.Leaving {
		message = "endpoint is not leaving any more"
	}
	if e.Leaving && e.Source == routing.FromAnswer {
		f.exchange.Changed(e.Endpoint)
	}
	f.decisions.Decision("", message, logrus.Fields{
		"endpoint": e.Endpoint, "source": e.Source, "age_ms": e.Age.Milliseconds(), "sequence": e.Sequence, "open": e.Open,
	})
}
