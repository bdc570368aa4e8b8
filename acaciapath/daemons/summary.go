package daemons

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"acaciapath.example/core/peer"
)

// LeaseView is a view of a lease that one or more control daemons share: they report the
// same holder and fencing token.
type LeaseView struct {
	// Name is the name of the lease.
	Name string `json:"name"`
	// Holder is the process that holds the lease; empty if it is free.
	Holder string `json:"holder"`
	// Fence is the fencing token.
	Fence uint64 `json:"fence"`
	// Confirmed is true if a control daemon reports that it holds the lease itself.
	Confirmed bool `json:"confirmed"`
	// SeenBy is the number of control daemons that have this view.
	SeenBy int `json:"seen-by"`
}

// Queue is the sum of the queues of one model and service class in all entry daemons.
type Queue struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// ServiceClass is the name of the service class.
	ServiceClass string `json:"service-class"`
	// Waiting is the number of waiting requests.
	Waiting int `json:"waiting"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// OldestWait is how long the oldest waiting request has waited.
	OldestWait time.Duration `json:"oldest"`
}

// BackendServerView is a view of a backend server that one or more entry daemons share:
// they report the same state.
type BackendServerView struct {
	// Name is the name of the backend server.
	Name string `json:"name"`
	// FailureDomain is its failure domain.
	FailureDomain string `json:"failure-domain"`
	// Kind is the purchase kind of the backend server, such as cheap.
	Kind string `json:"kind"`
	// Serves are the names of the models, or of the plain service, that it serves.
	Serves []string `json:"serves"`
	// State is its state, such as ready or failed.
	State string `json:"state"`
	// Running is the number of requests that run on it for the entry daemons with this
	// view.
	Running int `json:"running"`
	// Slots is the maximum number of requests that it runs at the same time.
	Slots int `json:"places"`
	// SeenBy is the number of entry daemons that have this view.
	SeenBy int `json:"seen-by"`
}

// Leases returns the views of the leases, sorted by name, highest fencing token first.
// There are several views of a lease if control daemons lag behind or disagree.
func Leases(answers []Answer) []LeaseView {
	type viewKey struct {
		name, holder string
		fence        uint64
	}
	views := make(map[viewKey]*LeaseView)
	for status := range statuses(answers) {
		for _, l := range status.Leases {
			v := valueOf(views, viewKey{l.Name, l.Holder, l.Fence})
			v.Name, v.Holder, v.Fence = l.Name, l.Holder, l.Fence
			v.Confirmed = v.Confirmed || l.IsHolder
			v.SeenBy++
		}
	}
	return sortedValues(views, func(a, b LeaseView) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Fence, a.Fence), cmp.Compare(a.Holder, b.Holder))
	})
}

// Queues returns the queues, summed over all entry daemons and sorted by model and
// service class.
func Queues(answers []Answer) []Queue {
	type queueKey struct{ model, class string }
	queues := make(map[queueKey]*Queue)
	for status := range statuses(answers) {
		for _, q := range status.Queues {
			sum := valueOf(queues, queueKey{q.Model, q.ServiceClass})
			sum.Model, sum.ServiceClass = q.Model, q.ServiceClass
			sum.Waiting += q.Waiting
			sum.Running += q.Running
			sum.OldestWait = max(sum.OldestWait, q.OldestWait)
		}
	}
	return sortedValues(queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.ServiceClass, b.ServiceClass))
	})
}

// BackendServers returns the views of the backend servers, sorted by name and state.
// There are several views of a backend server if entry daemons disagree on its state.
func BackendServers(answers []Answer) []BackendServerView {
	type viewKey struct{ name, state string }
	views := make(map[viewKey]*BackendServerView)
	for status := range statuses(answers) {
		for _, s := range status.BackendServers {
			v := valueOf(views, viewKey{s.Name, s.State})
			v.Name, v.State = s.Name, s.State
			v.FailureDomain, v.Kind, v.Serves, v.Slots = s.FailureDomain, s.Kind, s.Serves, s.Slots
			v.Running += s.Running
			v.SeenBy++
		}
	}
	return sortedValues(views, func(a, b BackendServerView) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.State, b.State))
	})
}

// statuses returns an iterator over the statuses of the daemons that answered.
func statuses(answers []Answer) func(yield func(*peer.Status) bool) {
	return func(yield func(*peer.Status) bool) {
		for _, a := range answers {
			if a.Status != nil && !yield(a.Status) {
				return
			}
		}
	}
}

// valueOf returns the value of a key in values, and inserts a zero value first if there
// is none.
func valueOf[K comparable, V any](values map[K]*V, key K) *V {
	if values[key] == nil {
		values[key] = new(V)
	}
	return values[key]
}

// sortedValues returns the values of a map, sorted by compare.
func sortedValues[K comparable, V any](values map[K]*V, compare func(a, b V) int) []V {
	list := make([]V, 0, len(values))
	for v := range maps.Values(values) {
		list = append(list, *v)
	}
	slices.SortFunc(list, compare)
	return list
}
