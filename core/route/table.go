package route

import (
	"maps"
	"net/netip"
	"slices"
	"sort"
	"strings"
)

// Table looks up routes, services and teams of one configuration.
type Table struct {
	version      uint64
	limits       Limits
	requiresKey  bool
	routesByHost map[string][]*Route // longest prefix first
	services     map[string]*Service
	teamsByKey   map[string]*Team                     // by key
	levels       map[string]map[priorityPair]Priority // by service
}

// NewTable returns the table of a configuration. It keeps pointers into c, which must not change
// afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{
		version: c.Version, limits: c.Limits, requiresKey: c.requiresKey(),
		routesByHost: map[string][]*Route{}, services: map[string]*Service{}, teamsByKey: map[string]*Team{},
		levels: map[string]map[priorityPair]Priority{},
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.routesByHost[host] = append(t.routesByHost[host], &c.Routes[i])
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
		t.levels[c.Services[i].Name] = priorityLevels(c.Services[i].Name, c)
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			if k != "" { // the key of a request without one
				t.teamsByKey[k] = &c.Teams[i]
			}
		}
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// RequiresKey reports whether requests of routes that are not public need a key. They do also if no key is
// valid, because all of them have been revoked.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Team returns the team that a key belongs to.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.teamsByKey[key]
	return team, ok
}

// Service returns a service; nil if the configuration does not name it.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ServiceNames returns the names of all services, sorted.
func (t *Table) ServiceNames() []string { return slices.Sorted(maps.Keys(t.services)) }

// Match returns the route of a request: the one of its host whose prefix matches the path and is
// longest. The port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host of a Host header without its port, in lower case.
func hostName(host string) string {
	if addrPort, err := netip.ParseAddrPort(host); err == nil {
		return addrPort.Addr().String()
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[:i], ":") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PriorityFor returns the priority of a request of team t: the team's if it has one, else the
// route's. t is nil for requests without a team.
func (r *Route) PriorityFor(t *Team) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return r.Priority
}

// ChooseService returns the service at a fraction between 0 and 1 of the targets' total weight. It
// returns the empty string when no target has a weight.
func (r *Route) ChooseService(fraction float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	offset := int(fraction * float64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return ""
}
