package directory

import (
	"time"

	"acaciapath.example/core/catalog"
	"acaciapath.example/core/placement"
)

// View is the catalog in use. It is read-only.
type View struct {
	// Index is the index of the catalog.
	Index *catalog.Index
	// Since is when the daemon started to use it.
	Since time.Time

	// routeHomes and accountHomes are the failure domains in the homes of the routes and
	// client accounts that have any.
	routeHomes   map[*catalog.Route]placement.Domains
	accountHomes map[*catalog.Account]placement.Domains
}

// newView returns a view of a catalog. regions maps failure domains to their regions.
func newView(c catalog.Catalog, regions map[string]string, now time.Time) *View {
	v := &View{
		Index: catalog.NewIndex(c), Since: now,
		routeHomes: make(map[*catalog.Route]placement.Domains), accountHomes: make(map[*catalog.Account]placement.Domains),
	}
	for i := range c.Routes {
		if r := &c.Routes[i]; len(r.Homes) > 0 {
			v.routeHomes[r] = placement.DomainsIn(r.Homes, regions)
		}
	}
	for i := range c.Accounts {
		if a := &c.Accounts[i]; len(a.Homes) > 0 {
			v.accountHomes[a] = placement.DomainsIn(a.Homes, regions)
		}
	}
	return v
}

// Homes returns the failure domains in which a request of a route and a client account of the
// catalog may be executed. Either may be nil.
func (v *View) Homes(r *catalog.Route, a *catalog.Account) placement.Homes {
	return placement.Homes{Route: v.routeHomes[r], Account: v.accountHomes[a]}
}
