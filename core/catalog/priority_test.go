package catalog_test

import (
	"fmt"
	"testing"

	"acaciapath.example/core/catalog"

	qt "github.com/frankban/quicktest"
)

// tiered returns the index of a catalog with a route for each tier of routeTiers and an
// account for each tier of accountTiers.
func tiered(routeTiers, accountTiers []int) *catalog.Index {
	var c catalog.Catalog
	for i, tier := range routeTiers {
		c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprint(i), Host: "a", Prefix: fmt.Sprintf("/%d/", i), Tier: tier})
	}
	for i, tier := range accountTiers {
		c.Accounts = append(c.Accounts, catalog.Account{Name: fmt.Sprint(i), Keys: []string{fmt.Sprint(i)}, Tier: &tier})
	}
	return catalog.NewIndex(c)
}

// TestPriority has client accounts with tiers of their own send requests of all routes,
// as when a burst of an urgent route meets long requests of the same accounts. The tier
// of the account decides first, and that of the route among equal ones.
func TestPriority(t *testing.T) {
	c := qt.New(t)
	x := tiered([]int{0, 1, 2}, []int{0, 1})
	var got []int
	for i := range x.Catalog.Accounts {
		for j := range x.Catalog.Routes {
			got = append(got, x.Priority(&x.Catalog.Routes[j], &x.Catalog.Accounts[i]))
		}
	}
	for i := 1; i < len(got); i++ {
		c.Check(got[i] > got[i-1], qt.IsTrue, qt.Commentf("%v", got))
	}
	for j := 1; j < len(x.Catalog.Routes); j++ {
		c.Check(x.Priority(&x.Catalog.Routes[j], nil) > x.Priority(&x.Catalog.Routes[j-1], nil), qt.IsTrue)
	}
}

// TestManyTiersShareThePriorities checks that priorities stay in their range and in
// order if there are more tiers than priorities.
func TestManyTiersShareThePriorities(t *testing.T) {
	c := qt.New(t)
	tiers := []int{0, 1, 2, 3, 4, 5, 6}
	x := tiered(tiers, tiers)
	last := 0
	for i := range x.Catalog.Accounts {
		for j := range x.Catalog.Routes {
			p := x.Priority(&x.Catalog.Routes[j], &x.Catalog.Accounts[i])
			c.Check(p >= last && p < catalog.PriorityCount, qt.IsTrue, qt.Commentf("%d after %d", p, last))
			last = p
		}
	}
	c.Assert(last, qt.Equals, catalog.PriorityCount-1)
}
