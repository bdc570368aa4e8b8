package order

import (
	"context"
	"slices"
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
)

// pageRows is the number of rows in one answer to a list.
const pageRows = 1000

// state is what the platform knows of a failure domain.
type state struct {
	servers []*servers.BackendServer
	intents []Intent
	drains  []Drain
}

// readState reads the rows first: an intent is deleted only once the list of
// backend servers shows what it brought.
func readState(ctx context.Context, rows table.Service, port servers.Service, failureDomain string) (*state, error) {
	intents, err := readAll[Intent](ctx, rows, intentKeyPrefix(failureDomain))
	if err != nil {
		return nil, err
	}
	drains, err := readAll[Drain](ctx, rows, drainKeyPrefix(failureDomain))
	if err != nil {
		return nil, err
	}
	list, err := port.List(ctx, &servers.ListPayload{FailureDomain: failureDomain})
	if err != nil {
		return nil, err
	}
	return &state{servers: list, intents: intents, drains: drains}, nil
}

// readAll returns the content of all rows whose keys have a prefix.
func readAll[T any](ctx context.Context, service table.Service, prefix string) ([]T, error) {
	var all []T
	after := ""
	for {
		rows, err := service.List(ctx, &table.ListPayload{Prefix: prefix, After: after, Limit: pageRows})
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			content, err := decode[T](row.Value)
			if err != nil {
				return nil, err
			}
			all = append(all, content)
		}
		if len(rows) < pageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// DrainedServers returns the names of the backend servers of a failure domain, or of all
// if it is empty, that are to get no more work. Entry daemons read them beside the list of backend
// servers.
func DrainedServers(ctx context.Context, service table.Service, failureDomain string) ([]string, error) {
	drains, err := readAll[Drain](ctx, service, drainKeyPrefix(failureDomain))
	if err != nil {
		return nil, err
	}
	names := make([]string, len(drains))
	for i, drain := range drains {
		names[i] = drain.Server
	}
	return names, nil
}

// byOrder returns the backend server that an order brought, or nil.
func (s *state) byOrder(orderID string) *servers.BackendServer {
	for _, server := range s.servers {
		if server.OrderID == orderID {
			return server
		}
	}
	return nil
}

// byName returns the backend server with the given name, or nil.
func (s *state) byName(name string) *servers.BackendServer {
	for _, server := range s.servers {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// drain returns the drain of a backend server, or nil.
func (s *state) drain(server string) *Drain {
	for i := range s.drains {
		if s.drains[i].Server == server {
			return &s.drains[i]
		}
	}
	return nil
}

// undrain forgets the drains of backend servers.
func (s *state) undrain(names []string) {
	s.drains = slices.DeleteFunc(s.drains, func(d Drain) bool { return slices.Contains(names, d.Server) })
}

// pool returns what a pool has.
func (s *state) pool(failureDomain, pool string) PoolInventory {
	var p PoolInventory
	for _, server := range s.servers {
		if name, ok := poolOf(server.OrderID, failureDomain); !ok || name != pool || !present(server) {
			continue
		}
		switch drain := s.drain(server.Name); {
		case drain == nil:
			p.Servers = append(p.Servers, server)
		case !drain.Released:
			p.Drained = append(p.Drained, server)
		}
	}
	for _, intent := range s.intents {
		if intent.Pool == pool && s.byOrder(intent.OrderID()) == nil {
			p.Pending++
		}
	}
	return p
}

// present reports whether a backend server starts or runs.
func present(s *servers.BackendServer) bool {
	return s.State == stateStarting || s.State == stateRunning
}

// elapsed reports whether d has passed since the time in times by name, which
// is set to now if it is not there.
func elapsed(times map[string]time.Time, name string, now time.Time, d time.Duration) bool {
	since, ok := times[name]
	if !ok {
		times[name] = now
		return false
	}
	return now.Sub(since) >= d
}
