package proxy

import (
	"sync"
	"time"

	"acaciapath.example/core/retry"
)

// Budgets holds one retry budget for each service. It is safe for concurrent
// use.
type Budgets struct {
	mu       sync.Mutex
	template retry.Budget
	budgets  map[string]*retry.Budget
}

// NewBudgets returns budgets in which each service starts with a copy of
// template.
func NewBudgets(template retry.Budget) *Budgets {
	return &Budgets{template: template, budgets: make(map[string]*retry.Budget)}
}

// forServiceLocked returns the budget of a service and creates it if necessary.
// The caller holds b.mu.
func (b *Budgets) forServiceLocked(service string) *retry.Budget {
	budget := b.budgets[service]
	if budget == nil {
		created := b.template
		budget = &created
		b.budgets[service] = budget
	}
	return budget
}

// Earn credits the budget of a service for one request.
func (b *Budgets) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forServiceLocked(service).Earn()
}

// Spend takes one retry from the budget of a service. It reports false if the
// budget has none left.
func (b *Budgets) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forServiceLocked(service).Spend(now)
}

// Has reports whether the budget of a service has a retry left.
func (b *Budgets) Has(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := *b.forServiceLocked(service)
	return budget.Spend(now)
}

// SetBurst sets the most retries that an unused budget accumulates, for all
// services.
func (b *Budgets) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.template.Burst = burst
	for _, budget := range b.budgets {
		budget.Burst = burst
	}
}
