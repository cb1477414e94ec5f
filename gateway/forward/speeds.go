package forward

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// speedBuckets are those of the speeds of the engines that streams are placed at, as multiples of the
// usual time.
var speedBuckets = tally.ValueBuckets{0.4, 0.6, 0.8, 0.95, 1.05, 1.25, 1.5, 2, 3, 5}

// recordSpeed adds the speed of the engine that a stream is placed at to the inputs of the decision,
// and counts it.
func (s *session) recordSpeed(inputs logrus.Fields, engine string) {
	if !s.f.Settings.Overload.Speeds {
		return
	}
	speed, known := s.f.Placement.Speed(engine)
	if !known {
		s.f.metrics.speedsUnknown.Inc(1)
		return
	}
	inputs["speed"] = speed
	s.f.metrics.speeds.RecordValue(speed)
}
