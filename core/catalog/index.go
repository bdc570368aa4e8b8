package catalog

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
)

// Index provides lookups in a catalog. It is read-only and safe for concurrent
// use.
type Index struct {
	// Catalog is the catalog that the index was built from.
	Catalog Catalog

	routesByHost  map[string][]*Route // with the longest prefix first
	services      map[string]*Service
	accountsByKey map[string]*Account
	priorities    map[urgency]int
}

// NewIndex returns an index of c. The contents of c must not be modified
// afterwards.
func NewIndex(c Catalog) *Index {
	x := &Index{
		Catalog:       c,
		routesByHost:  make(map[string][]*Route),
		services:      make(map[string]*Service),
		accountsByKey: make(map[string]*Account),
	}
	x.priorities = priorities(&x.Catalog)
	for i := range c.Routes {
		r := &c.Routes[i]
		x.routesByHost[r.Host] = append(x.routesByHost[r.Host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			x.accountsByKey[key] = &c.Accounts[i]
		}
	}
	return x
}

// Route returns the route of a request with the given Host header and path, or
// nil if there is none. If several routes match, the one with the longest prefix
// is returned.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the value of a Host header in lower case, without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the service with the given name, or nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// RequiresKey reports whether requests of route r need an API key.
func (x *Index) RequiresKey(r *Route) bool { return len(x.Catalog.Accounts) > 0 && !r.Public }

// AccountByKey returns the client account that an API key belongs to, or nil if
// the key is unknown.
func (x *Index) AccountByKey(key string) *Account { return x.accountsByKey[key] }

// Tier returns the tier of a request of route r from client account a, which may
// be nil.
func Tier(r *Route, a *Account) int {
	if a != nil && a.Tier != nil {
		return *a.Tier
	}
	return r.Tier
}

// PickService returns the service for a request. It is chosen at random in
// proportion to the weights of the splits; if all weights are 0, it is the
// service of the first split.
func (r *Route) PickService(random *rand.Rand) string {
	totalWeight := 0
	for _, s := range r.Splits {
		totalWeight += s.Weight
	}
	if totalWeight == 0 {
		return r.Splits[0].Service
	}
	n := random.IntN(totalWeight)
	for _, s := range r.Splits {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
