package forward

import (
	"sync"

	"github.com/agateway/agateway/core/limits"
)

// budgets bound what is sent once more, for each service. All instances share the reserve, so each
// takes its part; the share of the requests is each one's own.
type budgets struct {
	share, reserve float64
	mu             *sync.Mutex
	services       map[string]*limits.Budget
}

// margin keeps below the bound that all instances have to keep together: they count over windows
// that do not match, and their number is not known for certain.
const margin = 0.8

func newBudgets(s *Settings) budgets {
	return budgets{share: margin * s.RetryShare, reserve: margin * s.RetryReserve, mu: &sync.Mutex{}, services: map[string]*limits.Budget{}}
}

func (b *budgets) get(service string) *limits.Budget {
	s := b.services[service]
	if s == nil {
		s = limits.NewBudget(b.share, b.reserve)
		b.services[service] = s
	}
	return s
}

func (b *budgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).Request()
}

// retry takes one repetition from the part of the budget that is this instance's.
func (b *budgets) retry(service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(service)
	s.Resize(max(b.reserve/float64(max(instances, 1)), 1))
	return s.Retry()
}
