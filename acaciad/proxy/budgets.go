package proxy

import (
	"sync"
	"time"

	"acaciapath.example/core/retry"
)

// Budgets bound the retries of this daemon, by service. They are safe for
// concurrent use.
type Budgets struct {
	mu       sync.Mutex
	template retry.Budget
	budgets  map[string]*retry.Budget
}

// NewBudgets returns budgets that each start as the template.
func NewBudgets(template retry.Budget) *Budgets {
	return &Budgets{template: template, budgets: make(map[string]*retry.Budget)}
}

func (b *Budgets) of(service string) *retry.Budget {
	budget := b.budgets[service]
	if budget == nil {
		fresh := b.template
		budget = &fresh
		b.budgets[service] = budget
	}
	return budget
}

// Earn accounts for a request.
func (b *Budgets) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Earn()
}

// Spend takes one retry, and reports false if there is none at hand.
func (b *Budgets) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Spend(now)
}

// SetBurst changes the number of retries that an unused budget saves up.
func (b *Budgets) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.template.Burst = burst
	for _, budget := range b.budgets {
		budget.Burst = burst
	}
}
