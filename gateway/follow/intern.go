package follow

import "github.com/agateway/agateway/core/routing"

// maxInterned bounds the strings that are kept. Services, data centres and builds are few.
const maxInterned = 1000

// interner makes equal strings and models share their memory. Thousands of endpoints name the same
// few services, data centres, builds and models.
type interner struct {
	strings map[string]string
	models  map[string][]routing.Model
}

func newInterner() *interner {
	return &interner{strings: map[string]string{}, models: map[string][]routing.Model{}}
}

// intern replaces what the endpoint shares with others.
func (n *interner) intern(e *routing.Endpoint) {
	for _, s := range []*string{&e.Service, &e.DataCentre, &e.Build} {
		*s = n.string(*s)
	}
	if len(e.Models) == 1 && e.Models[0].Version == "" && len(e.Models[0].Adapters) == 0 {
		e.Models = n.model(e.Models)
	}
}

func (n *interner) string(s string) string {
	if known, ok := n.strings[s]; ok {
		return known
	}
	if len(n.strings) < maxInterned {
		n.strings[s] = s
	}
	return s
}

func (n *interner) model(models []routing.Model) []routing.Model {
	name := models[0].Name
	if known, ok := n.models[name]; ok {
		return known
	}
	if len(n.models) < maxInterned {
		n.models[name] = models
	}
	return models
}
