package backend

import (
	"slices"
	"strings"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/replica"
)

// States of backend servers in the platform's list.
const (
	stateRunning = "running"
	stateLeaving = "leaving"
)

// plainPrefix separates the names of plain services from those of models.
const plainPrefix = "plain/"

// PlainServiceKey returns the name of a plain service in replica.Spec.Serves.
func PlainServiceKey(service string) string { return plainPrefix + service }

// IsPlainReplica reports whether a backend server is a replica of a plain
// service.
func IsPlainReplica(s replica.Spec) bool {
	return len(s.Serves) == 1 && strings.HasPrefix(s.Serves[0], plainPrefix)
}

// Merge returns the static backend servers of a configuration and those that
// the platform lists for its pools, sorted by name. A backend server in both
// lists is returned once, with the draining state of the platform's list. A
// backend server of a pool serves its model only if loadedModels, which is
// indexed by server name, contains the model.
func Merge(c *config.Config, listed []*servers.BackendServer, loadedModels map[string][]string) []replica.Spec {
	merged := make([]replica.Spec, 0, len(c.BackendServers)+len(listed))
	for i := range c.BackendServers {
		merged = append(merged, fromConfig(&c.BackendServers[i]))
	}
	for _, l := range listed {
		if i := slices.IndexFunc(merged, func(s replica.Spec) bool { return s.Name == l.Name }); i >= 0 {
			merged[i].Draining = l.State != stateRunning
			continue
		}
		if spec, ok := fromPlatform(c, l, loadedModels[l.Name]); ok {
			merged = append(merged, spec)
		}
	}
	slices.SortFunc(merged, func(a, b replica.Spec) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

func fromConfig(b *config.BackendServer) replica.Spec {
	serves := b.Models
	if b.PlainService != "" {
		serves = []string{PlainServiceKey(b.PlainService)}
	}
	return replica.Spec{
		Name:          b.Name,
		Address:       b.Address,
		FailureDomain: b.FailureDomain,
		Serves:        serves,
		Kind:          b.Kind,
		Slots:         b.Slots,
	}
}

// fromPlatform converts a listed backend server. It returns false if the server
// has no address, is neither running nor leaving, or belongs to no pool.
func fromPlatform(c *config.Config, l *servers.BackendServer, loadedModels []string) (replica.Spec, bool) {
	if l.Address == "" || (l.State != stateRunning && l.State != stateLeaving) {
		return replica.Spec{}, false
	}
	i := slices.IndexFunc(c.Pools, func(p config.Pool) bool {
		return p.Model == l.Model && p.FailureDomain == l.FailureDomain && string(p.Kind) == l.Kind
	})
	if i < 0 {
		return replica.Spec{}, false
	}
	spec := replica.Spec{
		Name:          l.Name,
		Address:       l.Address,
		FailureDomain: l.FailureDomain,
		Kind:          config.ServerKind(l.Kind),
		Slots:         c.Pools[i].Slots,
		Draining:      l.State == stateLeaving,
	}
	if slices.Contains(loadedModels, l.Model) {
		spec.Serves = []string{l.Model}
	}
	return spec, true
}
