package route

import (
	"net/netip"
	"sort"
	"strings"
)

// Table answers where requests go under one configuration.
type Table struct {
	version  uint64
	limits   Limits
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	teams    map[string]*Team // by key
}

// NewTable returns the table of a configuration.
func NewTable(c *Configuration) *Table {
	t := &Table{
		version: c.Version, limits: c.Limits,
		hosts: map[string][]*Route{}, services: map[string]*Service{}, teams: map[string]*Team{},
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &c.Routes[i])
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			t.teams[k] = &c.Teams[i]
		}
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// NeedsKey tells whether requests of routes that are not public have to show a key.
func (t *Table) NeedsKey() bool { return len(t.teams) > 0 }

// Team returns the team that holds a key.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.teams[key]
	return team, ok
}

// Service returns a service; nil when the configuration does not describe it.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of a request: among those of the host, the one with the longest
// prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName drops the port of a Host header and folds case.
func hostName(host string) string {
	if at, err := netip.ParseAddrPort(host); err == nil {
		return at.Addr().String()
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[:i], ":") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// RankFor returns the rank of a request: the team's where it has one, else the route's.
func (r *Route) RankFor(t *Team) int {
	if t != nil && t.HasRank {
		return t.Rank
	}
	return r.Rank
}

// Choose returns the service for a point between 0 and 1, by the targets' weights. It returns the
// empty string when no target has a weight.
func (r *Route) Choose(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(point * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}
