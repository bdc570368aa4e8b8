package dispatch

import (
	"slices"
	"strings"
	"time"

	"acaciapath.example/core/peer"
	"acaciapath.example/core/replica"
)

// Queues returns the state of the queue of each model and service class that
// has had a request, sorted by model and tier.
func (d *Dispatcher[T]) Queues(now time.Time) []peer.Queue {
	var queues []peer.Queue
	for _, p := range d.pools {
		for _, c := range p.classes {
			queues = append(queues, p.queueStatus(c, now))
		}
	}
	return queues
}

// Replicas returns the state of each replica, sorted by name.
func (d *Dispatcher[T]) Replicas(now time.Time) []peer.BackendServer {
	servers := make([]peer.BackendServer, 0, len(d.replicas))
	for _, r := range d.replicas {
		servers = append(servers, serverStatus(r, now))
	}
	slices.SortFunc(servers, func(a, b peer.BackendServer) int { return strings.Compare(a.Name, b.Name) })
	return servers
}

func (p *pool[T]) queueStatus(c *classCount, now time.Time) peer.Queue {
	q := peer.Queue{
		Model:        p.name,
		ServiceClass: c.class.Name,
		Waiting:      p.waiting(c),
		Running:      c.running,
	}
	if arrived, ok := p.queue.OldestArrival(c.class.Tier); ok {
		q.OldestWait = max(0, now.Sub(arrived))
	}
	return q
}

func serverStatus(r *replica.Replica, now time.Time) peer.BackendServer {
	return peer.BackendServer{
		Name:          r.Spec.Name,
		FailureDomain: r.Spec.FailureDomain,
		Kind:          string(r.Spec.Kind),
		Serves:        r.Spec.Serves,
		Running:       r.Running,
		Slots:         r.Spec.Slots,
		State:         string(r.State(now)),
	}
}
