package lab

import "acaciapath.example/platform/platformtest"

// Host is the host of all routes.
const Host = "shop.example"

// Key is the API key of the tenant Tenant.
const (
	Key    = "key-of-guayaquil"
	Tenant = "guayaquil"
	// HostileKey is the key of another tenant, HostileTenant.
	HostileKey    = "key-of-cuenca"
	HostileTenant = "cuenca"
)

// Route is a route of the desired state.
type Route struct {
	Name, Type, Service  string
	TimeoutMS, TargetMS  int
	MaxAttempts          int
	StreamResume, Engine bool
}

// Config is a desired state.
type Config struct {
	Version  int
	Routes   []Route
	Services []map[string]any
	Limits   map[string]any
}

// Write writes the desired state as the operator does.
func (c Config) Write(store *platformtest.Store) {
	routes := make([]any, 0, len(c.Routes))
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": Host, "prefix": "/" + r.Name + "/", "type": r.Type, "timeoutMs": r.TimeoutMS,
			"targetLatencyMs": r.TargetMS, "service": r.Service, "maxAttempts": r.MaxAttempts, "priority": 1,
			"streamResume": r.StreamResume, "sessionAffinity": r.Engine, "gapTargetMs": 250,
		})
	}
	tenants := []any{
		map[string]any{"name": Tenant, "apiKeys": []string{Key}}, map[string]any{"name": HostileTenant, "apiKeys": []string{HostileKey}},
	}
	store.Write("op", "config", map[string]any{
		"version": c.Version, "routes": routes, "services": c.Services, "limits": c.Limits,
		"tenants": tenants,
	})
}

// DefaultLimits are the limits of the small deployments.
func DefaultLimits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}
}
