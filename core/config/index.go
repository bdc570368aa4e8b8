package config

import (
	"slices"
	"strings"
)

// Index provides the lookups in a Config that the handling of a request needs. It
// must not be changed and is safe for concurrent use.
type Index struct {
	// Config is the configuration that the index was built from.
	Config *Config
	// Revision is the number of the configuration's revision.
	Revision uint64

	classes       map[string]*ServiceClass
	accounts      map[string]*ClientAccount
	keys          map[[32]byte]*Key
	models        map[string]*Model
	plainServices map[string]*PlainService
	regions       map[string]string
}

// NewIndex returns the index of a checked configuration.
func NewIndex(c *Config, revision uint64) *Index {
	return &Index{
		Config:        c,
		Revision:      revision,
		classes:       indexBy(c.Classes, func(v *ServiceClass) string { return v.Name }),
		accounts:      indexBy(c.Accounts, func(v *ClientAccount) string { return v.Name }),
		keys:          indexBy(c.Keys, func(v *Key) [32]byte { return v.Hash }),
		models:        indexBy(c.Models, func(v *Model) string { return v.Name }),
		plainServices: indexBy(c.PlainServices, func(v *PlainService) string { return v.Name }),
		regions:       regionsOf(c.FailureDomains),
	}
}

// Class returns the service class with the given name, or nil.
func (x *Index) Class(name string) *ServiceClass { return x.classes[name] }

// Account returns the client account with the given name, or nil.
func (x *Index) Account(name string) *ClientAccount { return x.accounts[name] }

// Key returns the key with the given hash, or nil. The key may be withdrawn.
func (x *Index) Key(hash [32]byte) *Key { return x.keys[hash] }

// Model returns the model with the given name, or nil.
func (x *Index) Model(name string) *Model { return x.models[name] }

// PlainService returns the plain service with the given name, or nil.
func (x *Index) PlainService(name string) *PlainService { return x.plainServices[name] }

// Region returns the region of a failure domain, or an empty string if there is no
// such failure domain.
func (x *Index) Region(failureDomain string) string { return x.regions[failureDomain] }

// Route returns the first route that matches a call, or nil.
func (x *Index) Route(method, path string) *Route {
	for i := range x.Config.Routes {
		r := &x.Config.Routes[i]
		if r.Matches(method, path) {
			return r
		}
	}
	return nil
}

// Matches reports whether the route matches calls with the given method and path.
func (r *Route) Matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// HasClass reports whether the client account has bought the service class.
func (a *ClientAccount) HasClass(class string) bool {
	return slices.Contains(a.Classes, class)
}

func indexBy[K comparable, V any](values []V, key func(*V) K) map[K]*V {
	index := make(map[K]*V, len(values))
	for i := range values {
		index[key(&values[i])] = &values[i]
	}
	return index
}

func regionsOf(domains []FailureDomain) map[string]string {
	regions := make(map[string]string, len(domains))
	for _, d := range domains {
		regions[d.Name] = d.Region
	}
	return regions
}
