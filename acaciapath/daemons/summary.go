package daemons

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"acaciapath.example/core/peer"
)

// LeaseView is one view of a lease that control daemons have.
type LeaseView struct {
	// Name is the name of the lease.
	Name string `json:"name"`
	// Holder is the process that holds it; empty if nobody does.
	Holder string `json:"holder"`
	// Fence is the fencing number.
	Fence uint64 `json:"fence"`
	// Confirmed says whether the holder itself says so.
	Confirmed bool `json:"confirmed"`
	// SeenBy is the number of control daemons that have this view.
	SeenBy int `json:"seen-by"`
}

// Queue is the requests of one model and service class in all entry daemons.
type Queue struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// ServiceClass is the name of the service class.
	ServiceClass string `json:"service-class"`
	// Waiting is the number of requests that wait.
	Waiting int `json:"waiting"`
	// Running is the number of requests that run.
	Running int `json:"running"`
	// OldestWait is how long the oldest has waited.
	OldestWait time.Duration `json:"oldest"`
}

// BackendServerView is one view of a backend server that entry daemons have.
type BackendServerView struct {
	// Name is the name of the backend server.
	Name string `json:"name"`
	// FailureDomain is its failure domain.
	FailureDomain string `json:"failure-domain"`
	// Kind is the way in which it was bought.
	Kind string `json:"kind"`
	// Serves is the models or the plain service that it serves.
	Serves []string `json:"serves"`
	// State is its state.
	State string `json:"state"`
	// Running is the number of requests on it from all entry daemons.
	Running int `json:"running"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"places"`
	// SeenBy is the number of entry daemons that have this view.
	SeenBy int `json:"seen-by"`
}

// Leases returns the views of leases, by name, newest fencing number first.
// Control daemons that lag behind, or disagree, make several views of one lease.
func Leases(answers []Answer) []LeaseView {
	type view struct {
		name, holder string
		fence        uint64
	}
	views := make(map[view]*LeaseView)
	for status := range statuses(answers) {
		for _, l := range status.Leases {
			v := at(views, view{l.Name, l.Holder, l.Fence})
			v.Name, v.Holder, v.Fence = l.Name, l.Holder, l.Fence
			v.Confirmed = v.Confirmed || l.IsHolder
			v.SeenBy++
		}
	}
	return sorted(views, func(a, b LeaseView) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Fence, a.Fence), cmp.Compare(a.Holder, b.Holder))
	})
}

// Queues returns the queues of all entry daemons together, by model and class.
func Queues(answers []Answer) []Queue {
	type key struct{ model, class string }
	queues := make(map[key]*Queue)
	for status := range statuses(answers) {
		for _, q := range status.Queues {
			sum := at(queues, key{q.Model, q.ServiceClass})
			sum.Model, sum.ServiceClass = q.Model, q.ServiceClass
			sum.Waiting += q.Waiting
			sum.Running += q.Running
			sum.OldestWait = max(sum.OldestWait, q.OldestWait)
		}
	}
	return sorted(queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.ServiceClass, b.ServiceClass))
	})
}

// BackendServers returns the views of backend servers, by name and state.
func BackendServers(answers []Answer) []BackendServerView {
	type view struct{ name, state string }
	views := make(map[view]*BackendServerView)
	for status := range statuses(answers) {
		for _, s := range status.BackendServers {
			v := at(views, view{s.Name, s.State})
			v.Name, v.State = s.Name, s.State
			v.FailureDomain, v.Kind, v.Serves, v.Slots = s.FailureDomain, s.Kind, s.Serves, s.Slots
			v.Running += s.Running
			v.SeenBy++
		}
	}
	return sorted(views, func(a, b BackendServerView) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.State, b.State))
	})
}

// statuses returns the states of the daemons that answered.
func statuses(answers []Answer) func(yield func(*peer.Status) bool) {
	return func(yield func(*peer.Status) bool) {
		for _, a := range answers {
			if a.Status != nil && !yield(a.Status) {
				return
			}
		}
	}
}

// at returns the value of a key, making it if needed.
func at[K comparable, V any](values map[K]*V, key K) *V {
	if values[key] == nil {
		values[key] = new(V)
	}
	return values[key]
}

// sorted returns the values of a map in order.
func sorted[K comparable, V any](values map[K]*V, compare func(a, b V) int) []V {
	list := make([]V, 0, len(values))
	for v := range maps.Values(values) {
		list = append(list, *v)
	}
	slices.SortFunc(list, compare)
	return list
}
