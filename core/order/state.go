package order

import (
	"context"
	"slices"
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
)

// listPageSize is the number of rows requested by one call of List.
const listPageSize = 1000

// state is the state of a failure domain as stored on the platform.
type state struct {
	servers []*servers.BackendServer
	intents []Intent
	drains  []Drain
}

// readState reads the rows before the list of backend servers. An intent is
// deleted only once its backend server is listed, so an ordered backend server is
// always seen as an intent, in the list, or both.
func readState(ctx context.Context, rows table.Service, api servers.Service, failureDomain string) (*state, error) {
	intents, err := readAll[Intent](ctx, rows, intentKeyPrefix(failureDomain))
	if err != nil {
		return nil, err
	}
	drains, err := readAll[Drain](ctx, rows, drainKeyPrefix(failureDomain))
	if err != nil {
		return nil, err
	}
	list, err := api.List(ctx, &servers.ListPayload{FailureDomain: failureDomain})
	if err != nil {
		return nil, err
	}
	return &state{servers: list, intents: intents, drains: drains}, nil
}

// readAll returns the decoded values of all rows whose keys have the prefix.
func readAll[T any](ctx context.Context, service table.Service, prefix string) ([]T, error) {
	var all []T
	after := ""
	for {
		rows, err := service.List(ctx, &table.ListPayload{Prefix: prefix, After: after, Limit: listPageSize})
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
		if len(rows) < listPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// DrainingServers returns the names of the backend servers of a failure domain that
// get no new work, or those of all failure domains if failureDomain is empty. Entry
// daemons read them along with the list of backend servers.
func DrainingServers(ctx context.Context, service table.Service, failureDomain string) ([]string, error) {
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

// serverByOrderID returns the backend server that was ordered with an order-id,
// or nil.
func (s *state) serverByOrderID(orderID string) *servers.BackendServer {
	for _, server := range s.servers {
		if server.OrderID == orderID {
			return server
		}
	}
	return nil
}

// serverByName returns the backend server with the given name, or nil.
func (s *state) serverByName(name string) *servers.BackendServer {
	for _, server := range s.servers {
		if server.Name == name {
			return server
		}
	}
	return nil
}

// drainOf returns the drain of a backend server, or nil.
func (s *state) drainOf(server string) *Drain {
	for i := range s.drains {
		if s.drains[i].Server == server {
			return &s.drains[i]
		}
	}
	return nil
}

// removeDrains removes the drains of backend servers from the state.
func (s *state) removeDrains(names []string) {
	s.drains = slices.DeleteFunc(s.drains, func(d Drain) bool { return slices.Contains(names, d.Server) })
}

// inventory returns the backend servers and open orders of a pool.
func (s *state) inventory(failureDomain, pool string) PoolInventory {
	var p PoolInventory
	for _, server := range s.servers {
		if name, ok := poolOf(server.OrderID, failureDomain); !ok || name != pool || !startingOrRunning(server) {
			continue
		}
		switch drain := s.drainOf(server.Name); {
		case drain == nil:
			p.Servers = append(p.Servers, server)
		case !drain.Released:
			p.Draining = append(p.Draining, server)
		}
	}
	for _, intent := range s.intents {
		if intent.Pool == pool && s.serverByOrderID(intent.OrderID()) == nil {
			p.Pending++
		}
	}
	return p
}

// startingOrRunning reports whether a backend server is starting or running.
func startingOrRunning(s *servers.BackendServer) bool {
	return s.State == stateStarting || s.State == stateRunning
}

// elapsedSinceFirstCall reports whether d has passed since the first call for
// name, whose time it records in times.
func elapsedSinceFirstCall(times map[string]time.Time, name string, now time.Time, d time.Duration) bool {
	since, ok := times[name]
	if !ok {
		times[name] = now
		return false
	}
	return now.Sub(since) >= d
}
