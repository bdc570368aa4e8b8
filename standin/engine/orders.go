package engine

import (
	"slices"
	"time"

	"acaciapath.example/core/engine"

	"github.com/ansel1/merry/v2"
)

// errOrderKind is returned for an order of an unknown kind.
var errOrderKind = merry.Sentinel("unknown kind of order")

// OrderEntry is a received order in the log.
type OrderEntry struct {
	// At is when the order was received.
	At time.Time `json:"at"`
	// Order is the received order.
	Order engine.Order `json:"order"`
	// Applied reports whether the order was accepted: it was applied now or
	// before.
	Applied bool `json:"applied"`
	// Repeated reports whether an order with the same ID was applied before, so
	// that this one had no effect.
	Repeated bool `json:"repeated"`
	// HighestFence is the highest fencing token received before this order.
	HighestFence uint64 `json:"seen"`
}

// order applies an order and logs it. An order whose ID was applied before has
// no effect, and one with a stale fencing token is rejected if ChecksFencing is
// set. An order of an unknown kind is an error and is not logged.
func (e *Engine) order(o engine.Order) (engine.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := OrderEntry{At: e.now(), Order: o, HighestFence: e.highestFence}
	stale := e.options.ChecksFencing && o.Fence < e.highestFence
	entry.Repeated = !stale && e.appliedOrders[o.ID]
	entry.Applied = !stale
	if !stale && !entry.Repeated {
		if err := e.apply(o); err != nil {
			return engine.OrderResult{}, err
		}
		e.appliedOrders[o.ID] = true
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.orders.Add(entry)
	e.publishLoad(entry.At)
	return engine.OrderResult{Applied: entry.Applied, Fence: e.highestFence}, nil
}

// apply makes the change that an order requests. The caller must hold e.mu.
func (e *Engine) apply(o engine.Order) error {
	switch o.Kind {
	case engine.OrderLoadModel, engine.OrderLoadAdapter:
		if !slices.Contains(e.models, o.Name) {
			e.models = append(e.models, o.Name)
		}
	case engine.OrderSetRole:
		e.role = o.Name
	default:
		return merry.Wrap(errOrderKind, merry.AppendMessage(string(o.Kind)))
	}
	return nil
}

// hasModel reports whether a model or adapter is loaded.
func (e *Engine) hasModel(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, name)
}
