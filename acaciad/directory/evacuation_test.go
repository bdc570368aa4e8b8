package directory_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/acaciad/directory"
	"acaciapath.example/core/catalog"
	"acaciapath.example/core/placement"
	"acaciapath.example/core/replica"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestReservationBeforeAnEvacuation checks that a reservation tells when its backend server may no
// longer get the request, and that evacuations hold for services that are listed later.
func TestReservationBeforeAnEvacuation(t *testing.T) {
	c := qt.New(t)
	d := directory.New("z", time.Second, rand.New(rand.NewPCG(1, 2)))
	d.Regions = map[string]string{"z": "north", "y": "south"}
	specs := []replica.Spec{{Name: "i-1", Address: "10.0.0.1:1", FailureDomain: "z", Serves: []string{"shop"}, Slots: 8}}
	d.SetServers(specs, start)
	d.SetCatalog(catalog.Catalog{Revision: 1, Routes: []catalog.Route{{Name: "look", Homes: []string{"south"}}, {Name: "order"}}}, start)
	routes := d.View().Index.Catalog.Routes
	south := d.View().Homes(&routes[0], nil)
	anywhere := d.View().Homes(&routes[1], nil)
	c.Assert(d.Reserve("shop", placement.Requirements{Homes: south}, start), qt.IsNil)
	r := d.Reserve("shop", placement.Requirements{Homes: anywhere}, start)
	c.Assert(r.MayServe(anywhere), qt.IsTrue)
	c.Assert(r.MayServe(south), qt.IsFalse)
	d.SetEvacuated(map[string]time.Time{"z": start}, start)
	c.Assert(r.MayServe(anywhere), qt.IsFalse)
	r.Finish(directory.Neutral, start)
	c.Assert(d.Reserve("shop", placement.Requirements{}, start), qt.IsNil)
	specs[0].Serves = append(specs[0].Serves, "llm")
	d.SetServers(specs, start)
	c.Assert(d.Reserve("llm", placement.Requirements{}, start), qt.IsNil)
	d.SetEvacuated(nil, start)
	c.Assert(d.Reserve("llm", placement.Requirements{}, start), qt.IsNotNil)
	c.Assert(r.MayServe(anywhere), qt.IsTrue)
}
