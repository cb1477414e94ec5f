package front

import (
	"time"

	"github.com/agateway/agateway/core/reachability"
)

// cutDetectionTime is how long before a cut is found its first failures may have come.
const cutDetectionTime = 3 * time.Second

// onReachChange is called when this instance has become cut off from the endpoints, or connected
// again. The failures since the cut are not the endpoints'. The others learn at once: callers are
// sent elsewhere, and requests are passed on to the instances that reach endpoints.
func (f *Front) onReachChange(cutOff bool) {
	f.placement.ForgetFailures(time.Now().Add(-cutDetectionTime))
	if cutOff {
		f.forwarder.OnCutOff()
	}
	f.exchange.Changed()
}

// endpointAccess returns what the other instances are told of this instance's access to the
// endpoints.
func (f *Front) endpointAccess() reachability.Access {
	switch {
	case !f.settings.Mechanisms.ViaPeers:
		return reachability.AccessUnknown
	case f.reach.CutOff():
		return reachability.AccessCutOff
	}
	return reachability.AccessReached
}
