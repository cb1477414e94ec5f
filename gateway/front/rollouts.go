package front

import (
	"time"

	"github.com/agateway/agateway/core/rollout"
	"github.com/agateway/agateway/gateway/exchange"
	"github.com/agateway/agateway/gateway/follow"
	"github.com/agateway/agateway/gateway/forward"
	"github.com/agateway/agateway/gateway/rollouts"
)

// buildRollouts makes the parts that move services to other builds, where the settings name a bound on what a bad build may get.
func (f *Front) buildRollouts(following follow.Options) {
	set := f.settings.Rollouts
	if !f.settings.Mechanisms.Rollouts || set.Share <= 0 && set.Reserve <= 0 {
		return
	}
	s := rollout.DefaultSettings()
	s.ExposureShare, s.ExposureReserve, s.MaxRollBackDelay = set.Share, set.Reserve, set.RollBack
	f.rollouts = rollouts.New(rollouts.Options{
		Settings: s, Self: f.settings.Instance.ID, DataCentre: f.settings.Instance.DataCentre, Store: f.store,
		Others:    func() []rollout.Source { return f.exchange.RolloutSources() },
		OrdersAge: func() (time.Duration, bool) { return f.orders.Age() },
		Relist:    func() { f.endpoints.Publish() }, Drain: f.settle, AnnounceDecision: func() { f.exchange.TellDecision() },
		Clock: f.env.Clock, Log: f.telemetry.Log, Scope: f.telemetry.Scope,
	})
	f.orders = follow.NewRollouts(following, f.rollouts.SetOrders)
}

// settleParts: a prompt of one part in so many of an engine's memory is taken for a long one.
const settleParts = 8

// settleSpare is the time that a copy takes once a stream has begun.
const settleSpare = 300 * time.Millisecond

// settle returns how long most streams of a service take until a copy of their memory lets them go on elsewhere. Those that wait
// longer for their first event begin again: waiting for all of them would expose the target to more requests.
func (f *Front) settle(name string) time.Duration {
	table, _ := f.configuration.Table()
	if table == nil {
		return 0
	}
	service := table.Service(name)
	if service == nil || service.Engine == nil {
		return 0
	}
	usual, _ := f.placement.ExpectedPrefillTime(name, service.Engine.KVCapacityTokens/settleParts)
	return usual/2 + settleSpare
}

// toldRollouts returns what is counted of rollouts, as the exchange sees it.
func (f *Front) toldRollouts() exchange.Rollouts {
	if f.rollouts == nil {
		return nil
	}
	return f.rollouts
}

// forwardRollouts returns the rollouts as forwarding sees them.
func (f *Front) forwardRollouts() forward.Rollouts {
	if f.rollouts == nil {
		return nil
	}
	return f.rollouts
}
