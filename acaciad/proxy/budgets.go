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
	template retry.Window
	budgets  map[string]*retry.Window
}

// NewBudgets returns budgets in which each service starts with a copy of
// template.
func NewBudgets(template retry.Window) *Budgets {
	return &Budgets{template: template, budgets: make(map[string]*retry.Window)}
}

// forServiceLocked returns the budget of a service and creates it if necessary.
// The caller holds b.mu.
func (b *Budgets) forServiceLocked(service string) *retry.Window {
	budget := b.budgets[service]
	if budget == nil {
		created := b.template
		budget = &created
		b.budgets[service] = budget
	}
	return budget
}

// Earn credits the budget of a service for one request.
func (b *Budgets) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forServiceLocked(service).Earn(now)
}

// Spend takes one retry from the budget of a service. It reports false if the
// budget has none left.
func (b *Budgets) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forServiceLocked(service).Spend(now)
}

// SetExtra sets the number of retries that are allowed without requests, for all services.
func (b *Budgets) SetExtra(extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.template.Extra = extra
	for _, budget := range b.budgets {
		budget.Extra = extra
	}
}
