package catalog_test

import (
	"math/rand/v2"
	"testing"

	"acaciapath.example/core/catalog"

	qt "github.com/frankban/quicktest"
)

func newIndex() *catalog.Index {
	urgent := 0
	return catalog.NewIndex(catalog.Catalog{
		Routes: []catalog.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Tier: 3},
			{Name: "shop", Host: "a.example", Prefix: "/shop/"},
			{Name: "deep", Host: "a.example", Prefix: "/shop/renewals/", Public: true},
			{Name: "other", Host: "b.example", Prefix: "/shop/"},
		},
		Services: []catalog.Service{{Name: "s"}},
		Accounts: []catalog.Account{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}, Tier: &urgent}},
	})
}

func TestRoute(t *testing.T) {
	c := qt.New(t)
	x := newIndex()
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"A.Example:8080", "/shop/x", "shop"},
		{"a.example", "/shop/renewals/1", "deep"},
		{"a.example", "/shop/renewals", "shop"},
		{"a.example", "/shopping", "all"},
		{"b.example", "/shop/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/shop/", ""},
		{"a.example", "*", ""},
	} {
		got := ""
		if r := x.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		c.Assert(got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

func TestAccounts(t *testing.T) {
	c := qt.New(t)
	x := newIndex()
	c.Assert(x.AccountByKey("k2").Name, qt.Equals, "one")
	c.Assert(x.AccountByKey(""), qt.IsNil)
	c.Assert(x.AccountByKey("none"), qt.IsNil)
	shop, public := x.Route("a.example", "/shop/"), x.Route("a.example", "/shop/renewals/")
	c.Assert(x.RequiresKey(shop), qt.IsTrue)
	c.Assert(x.RequiresKey(public), qt.IsFalse)
	all := x.Route("a.example", "/")
	c.Assert(catalog.Tier(all, nil), qt.Equals, 3)
	c.Assert(catalog.Tier(all, x.AccountByKey("k1")), qt.Equals, 3)
	c.Assert(catalog.Tier(all, x.AccountByKey("k3")), qt.Equals, 0)
	withoutAccounts := catalog.NewIndex(catalog.Catalog{Routes: []catalog.Route{{Host: "a", Prefix: "/"}}})
	c.Assert(withoutAccounts.RequiresKey(withoutAccounts.Route("a", "/")), qt.IsFalse)
}

func TestPickService(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	r := catalog.Route{Splits: []catalog.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	picks := make(map[string]int)
	for range 10_000 {
		picks[r.PickService(random)]++
	}
	c.Assert(picks["a"] > 8800 && picks["a"] < 9200 && picks["b"] == 10_000-picks["a"], qt.IsTrue, qt.Commentf("%v", picks))
	unweighted := catalog.Route{Splits: []catalog.Split{{Service: "a"}, {Service: "b"}}}
	c.Assert(unweighted.PickService(random), qt.Equals, "a")
}
