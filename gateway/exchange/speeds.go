package exchange

import (
	"math"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/health"
)

// perTokenUnit is the unit of the time per prompt token in messages, in nanoseconds: a percent of
// 10 us. Their fields count percent of a time that is the same for all instances, since instances
// differ in what they consider the usual time of a service.
const perTokenUnit = 100

// maxSpeeds is how many speeds an announcement contains. Paces of slow engines and speeds take at most
// maxPaces entries together. Where all of these are paces, minSpeeds of them contain a speed too; with
// more, the largest announcement would exceed its size.
const (
	maxSpeeds = 12
	minSpeeds = 5
)

// encodeSpeeds adds the speeds with the most recent observations to the paces of an announcement.
// Builds that know no speeds read an added entry as an engine that is not slow.
func encodeSpeeds(paces []*peerv1.PaceAt, speeds map[string]health.SpeedEstimate) []*peerv1.PaceAt {
	byEndpoint := make(map[string]*peerv1.PaceAt, len(paces))
	for _, p := range paces {
		byEndpoint[p.Endpoint] = p
	}
	n := min(maxSpeeds, maxPaces-len(paces)+minSpeeds)
	for _, id := range largestKeys(speeds, n, func(e health.SpeedEstimate) float64 { return e.Weight }) {
		p := byEndpoint[id]
		if p == nil {
			if len(paces) == maxPaces {
				continue
			}
			p = &peerv1.PaceAt{Endpoint: id}
			paces = append(paces, p)
		}
		p.Percent, p.Samples = encodePerToken(speeds[id]), toTenths(speeds[id].Weight)
	}
	return paces
}

func decodeSpeeds(paces []*peerv1.PaceAt) map[string]health.SpeedEstimate {
	var out map[string]health.SpeedEstimate
	for _, p := range paces {
		if e := decodeSpeed(p.Percent, p.Samples); e.Weight > 0 {
			if out == nil {
				out = map[string]health.SpeedEstimate{}
			}
			out[p.Endpoint] = e
		}
	}
	return out
}

func encodePerToken(e health.SpeedEstimate) uint32 {
	return uint32(min(math.Round(e.PerUnit()/perTokenUnit), math.MaxUint32))
}

// decodeSpeed returns the zero value where either number is missing.
func decodeSpeed(perToken, tenthsOfSamples uint32) health.SpeedEstimate {
	if perToken == 0 || tenthsOfSamples == 0 {
		return health.SpeedEstimate{}
	}
	return health.SpeedEstimate{LogPerUnit: math.Log(float64(perToken) * perTokenUnit), Weight: fromTenths(tenthsOfSamples)}
}
