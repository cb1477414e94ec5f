package front

import (
	"github.com/agateway/agateway/core/listing"
	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/follow"
)

// onConfigurationChange publishes the endpoints again, since the configuration says which services
// there are, and sets the memory size of their engines.
func (f *Front) onConfigurationChange(table *route.Table) {
	f.endpoints.Publish()
	for _, name := range table.ServiceNames() {
		f.placement.SetMemory(name, engineMemory(table, name))
	}
}

// engineMemory returns the memory of the engines of a service in tokens; 0 if it has none.
func engineMemory(table *route.Table, service string) int {
	if table == nil {
		return 0
	}
	if s := table.Service(service); s != nil && s.Engine != nil {
		return s.Engine.KVCapacityTokens
	}
	return 0
}

// onEndpointsChange takes changes of the list of endpoints. It does work in proportion to them
// unless an order restricts which builds are used.
func (f *Front) onEndpointsChange(u follow.Update) {
	table, _ := f.configuration.Table()
	if f.rollouts == nil {
		f.updateEndpoints(table, u.Changes)
	} else if changes, complete := f.rollouts.UsableChanges(u.Changes); complete && !u.Republished {
		f.updateEndpoints(table, changes)
	} else {
		f.replaceEndpoints(table, f.rollouts.Usable(u.All()))
	}
	if table != nil && f.placement.Len() > 0 && (f.rollouts == nil || f.rollouts.OrdersRead()) {
		f.syncedOnce.Do(func() {
			close(f.synced)
			f.forwarder.MarkSynced()
			f.limitMemory()
		})
	}
}

// replaceEndpoints sets all endpoints that may be used.
func (f *Front) replaceEndpoints(table *route.Table, all []routing.Endpoint) {
	for i := range all {
		all[i].Memory = engineMemory(table, all[i].Service)
	}
	f.placement.SetEndpoints(all)
}

// updateEndpoints carries out changes of the endpoints that may be used.
func (f *Front) updateEndpoints(table *route.Table, changes []listing.Change) {
	var changed []routing.Endpoint
	var removed []string
	for _, c := range changes {
		if c.After == nil {
			removed = append(removed, c.Before.ID)
			continue
		}
		e := *c.After
		e.Memory = engineMemory(table, e.Service)
		changed = append(changed, e)
	}
	f.placement.Update(changed, removed)
}
