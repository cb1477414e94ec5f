package front

import (
	"time"

	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/forward"
	"github.com/agateway/agateway/gateway/rollouts"
)

// buildRollouts creates the components that move services to other builds. It does nothing where
// the settings switch rollouts off or give no bound on the requests that a bad build may get.
func (f *Front) buildRollouts(followOptions follow.Options) {
	bounds := f.settings.Rollouts
	if !f.settings.Mechanisms.Rollouts || bounds.Share <= 0 && bounds.Reserve <= 0 {
		return
	}
	s := rollout.DefaultSettings()
	s.ExposureShare, s.ExposureReserve, s.MaxRollBackDelay = bounds.Share, bounds.Reserve, bounds.RollBack
	f.rollouts = rollouts.New(rollouts.Options{
		Settings: s, Self: f.settings.Instance.ID, DataCentre: f.settings.Instance.DataCentre, Store: f.store,
		Others:    func() []rollout.Source { return f.exchange.RolloutSources() },
		OrdersAge: func() (time.Duration, bool) { return f.rolloutOrders.Age() },
		Relist:    func() { f.endpoints.Publish() }, Drain: f.timeToCopy, AnnounceDecision: func() { f.exchange.TellDecision() },
		Clock: f.env.Clock, Log: f.telemetry.Log, Scope: f.telemetry.Scope,
	})
	f.rolloutOrders = follow.NewRollouts(followOptions, f.rollouts.SetOrders)
}

// longPromptDivisor defines a long prompt: one that takes this fraction of an engine's memory.
const longPromptDivisor = 8

// copyTime is the time that a copy of a stream's memory takes once the stream has begun.
const copyTime = 300 * time.Millisecond

// timeToCopy returns how long most streams of a service take until a copy of their memory lets them
// resume at another engine; 0 if the service has no streams or is not known. Streams that wait
// longer for their first event start again from the beginning: waiting for all of them would expose
// the target build to more requests.
func (f *Front) timeToCopy(name string) time.Duration {
	table, _ := f.configuration.Table()
	if table == nil {
		return 0
	}
	service := table.Service(name)
	if service == nil || service.Engine == nil {
		return 0
	}
	expected, _ := f.placement.ExpectedPrefillTime(name, service.Engine.KVCapacityTokens/longPromptDivisor)
	return expected/2 + copyTime
}

// exchangeRollouts returns the rollouts for the exchange; nil where rollouts are switched off.
func (f *Front) exchangeRollouts() exchange.Rollouts {
	if f.rollouts == nil {
		return nil
	}
	return f.rollouts
}

// forwardRollouts returns the rollouts for the forwarder; nil where rollouts are switched off.
func (f *Front) forwardRollouts() forward.Rollouts {
	if f.rollouts == nil {
		return nil
	}
	return f.rollouts
}
