package engine

import (
	"slices"
	"time"

	"acaciapath.example/core/engine"

	"github.com/ansel1/merry/v2"
)

// errOrderKind refuses an order of an unknown kind.
var errOrderKind = merry.Sentinel("unknown kind of order")

// OrderEntry is one order in the receivers' log.
type OrderEntry struct {
	// At is when the order came in.
	At time.Time `json:"at"`
	// Order is the order.
	Order engine.Order `json:"order"`
	// Applied says whether the order was carried out, now or before.
	Applied bool `json:"applied"`
	// Repeated says whether the order had been carried out before.
	Repeated bool `json:"repeated"`
	// HighestFence is the highest fencing number before the order.
	HighestFence uint64 `json:"seen"`
}

// order carries out an order.
func (e *Engine) order(o engine.Order) (engine.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := OrderEntry{At: e.now(), Order: o, HighestFence: e.fence}
	stale := e.options.ChecksFencing && o.Fence < e.fence
	entry.Repeated = !stale && e.orderSeen[o.ID]
	entry.Applied = !stale
	if !stale && !entry.Repeated {
		if err := e.apply(o); err != nil {
			return engine.OrderResult{}, err
		}
		e.orderSeen[o.ID] = true
	}
	e.fence = max(e.fence, o.Fence)
	e.orders.Add(entry)
	e.publishLoad(entry.At)
	return engine.OrderResult{Applied: entry.Applied, Fence: e.fence}, nil
}

// apply makes the change that an order asks for. e.mu is held.
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
