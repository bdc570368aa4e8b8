package catalog

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
)

// Index finds the parts of a catalog. It is read-only.
type Index struct {
	// Catalog is what the index was made from.
	Catalog Catalog

	routes   map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
}

// NewIndex returns the index of a catalog, which is not changed any more.
func NewIndex(c Catalog) *Index {
	x := &Index{
		Catalog:  c,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service),
		accounts: make(map[string]*Account),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		x.routes[r.Host] = append(x.routes[r.Host], r)
	}
	for _, list := range x.routes {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			x.accounts[key] = &c.Accounts[i]
		}
	}
	return x
}

// Route returns the route of a request with the given Host header and path: the
// one with the longest prefix that begins the path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns a Host header without port and in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns a service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// RequiresKey reports whether requests of a route need a key.
func (x *Index) RequiresKey(r *Route) bool { return len(x.Catalog.Accounts) > 0 && !r.Public }

// AccountByKey returns the client account that holds a key, or nil.
func (x *Index) AccountByKey(key string) *Account { return x.accounts[key] }

// Tier returns the rank of a request of a client account, which may be nil.
func Tier(r *Route, a *Account) int {
	if a != nil && a.Tier != nil {
		return *a.Tier
	}
	return r.Tier
}

// PickService returns the service that runs a request, drawn by weight.
func (r *Route) PickService(random *rand.Rand) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total == 0 {
		return r.Splits[0].Service
	}
	n := random.IntN(total)
	for _, s := range r.Splits {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
