package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"acaciapath.example/core/catalog"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// newHomesFixture returns a fixture with the failure domains z in the region north and y in the
// region south, and the catalog of revision 2 with the given homes of the routes and the client
// account.
func newHomesFixture(t *testing.T, routeHomes, accountHomes []string) *fixture {
	f := newFixture(t, 5)
	f.directory.Regions = map[string]string{"z": "north", "y": "south"}
	f.directory.SetCatalog(homesCatalog(2, routeHomes, accountHomes), time.Now())
	return f
}

func homesCatalog(revision int64, routeHomes, accountHomes []string) catalog.Catalog {
	c := testCatalog()
	c.Revision = revision
	for i := range c.Routes {
		c.Routes[i].Homes, c.Routes[i].Timeout = routeHomes, waitLimit
	}
	c.Accounts[0].Homes = accountHomes
	for i := range c.Services {
		if c.Services[i].Engine != nil {
			c.Services[i].Engine.CanCopyRuns = true
		}
	}
	return c
}

// list lists a backend server in a failure domain.
func (f *fixture) list(s *platformtest.Server, id, service, domain string) {
	f.registerServer(id, service, s.Address())
	f.specs[len(f.specs)-1].FailureDomain = domain
	f.directory.SetServers(f.specs, time.Now())
}

// startServerIn starts a backend server in a failure domain.
func (f *fixture) startServerIn(id, service, domain string) *platformtest.Server {
	s := platformtest.NewServer(id, 0)
	f.Cleanup(s.Close)
	f.list(s, id, service, domain)
	return s
}

// evacuate evacuates failure domains.
func (f *fixture) evacuate(domains ...string) {
	since := make(map[string]time.Time)
	for _, domain := range domains {
		since[domain] = time.Now()
	}
	f.directory.SetEvacuated(since, time.Now())
}

// TestRequestsAreServedInTheirHomesOnly has a near server outside of the homes of the route, of
// the client account, or of one of both, and a far one in them. All requests run there, also when
// it fails them or is gone.
func TestRequestsAreServedInTheirHomesOnly(t *testing.T) {
	both := []string{"north", "south"}
	for _, test := range []struct {
		name           string
		route, account []string
		served         bool
	}{
		{"route", []string{"south"}, nil, true},
		{"account", nil, []string{"south"}, true},
		{"narrower-account", both, []string{"south"}, true},
		{"narrower-route", []string{"south"}, both, true},
		{"nowhere", []string{"south"}, []string{"north"}, false},
		{"unknown-region", []string{"moon"}, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newHomesFixture(t, test.route, test.account)
			near, far := f.startServerIn("i-1", "shop", "z"), f.startServerIn("i-2", "shop", "y")
			status := http.StatusServiceUnavailable
			if test.served {
				status = http.StatusOK
			}
			for range 10 {
				f.Assert(f.send(http.MethodGet, "/look/1", "").status, qt.Equals, status)
			}
			f.Assert(receivedCount(near), qt.Equals, 0)
			f.Assert(receivedCount(far) > 0, qt.Equals, test.served)
			far.SetResponseMode(platformtest.Overloaded)
			f.Assert(f.send(http.MethodGet, "/look/1", "").status >= 500, qt.IsTrue)
			far.Close()
			f.specs = f.specs[:1]
			f.directory.SetServers(f.specs, time.Now())
			a := f.send(http.MethodGet, "/look/1", "")
			f.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
			f.Assert(a.body, qt.Equals, "no-server-in-homes\n")
			f.Assert(a.header.Get("Retry-After"), qt.Equals, "2.000")
			f.Assert(receivedCount(near), qt.Equals, 0)
		})
	}
}

// TestRunIsMovedWithinItsHomes has an engine drain while the only other one is outside of the
// homes. The run is not copied there.
func TestRunIsMovedWithinItsHomes(t *testing.T) {
	for _, inHomes := range []bool{false, true} {
		f, one, two := newMoveFixture(t)
		f.directory.Regions = map[string]string{"z": "north", "y": "south"}
		homes := []string{"north"}
		if inHomes {
			homes = append(homes, "south")
		}
		f.directory.SetCatalog(homesCatalog(2, homes, nil), time.Now())
		answers := f.startLongStream("/quote/", one, two)
		f.specs[1].FailureDomain = "y"
		f.drainEngine(one)
		time.AfterFunc(drainNotice, one.Close)
		f.Assert((<-answers).err == nil, qt.Equals, inHomes)
		f.Assert(receivedCount(two) > 0, qt.Equals, inHomes)
		copies, _ := one.CopyCounts()
		f.Assert(copies > 0, qt.Equals, inHomes)
	}
}

// TestNewHomesHoldForRetries has a revision narrow the homes while a request runs on a server that
// will fail it. The second attempt keeps to the new homes.
func TestNewHomesHoldForRetries(t *testing.T) {
	f := newHomesFixture(t, nil, nil)
	one := platformtest.NewServer("i-1", 0)
	f.Cleanup(one.Close)
	f.list(one, "i-1", "shop", "z")
	one.SetResponseMode(platformtest.Hangs)
	answers := make(chan answer, 1)
	go func() { answers <- f.send(http.MethodGet, "/look/1", "") }()
	f.eventually(func() bool { return receivedCount(one) == 1 })
	two := f.startServerIn("i-2", "shop", "y")
	f.directory.SetCatalog(homesCatalog(3, []string{"north"}, nil), time.Now())
	one.Close()
	f.Assert((<-answers).status >= 500, qt.IsTrue)
	f.Assert(receivedCount(two), qt.Equals, 0)
}

// TestNothingIsSentToEvacuatedDomains evacuates the near failure domain, the far one as well, and
// takes both back. Streams that run there end there.
func TestNothingIsSentToEvacuatedDomains(t *testing.T) {
	f, one, two := newMoveFixture(t)
	answers := f.startLongStream("/quote/", one, two)
	f.specs[1].FailureDomain = "y"
	f.directory.SetServers(f.specs, time.Now())
	one.SetPause(0)
	two.SetPause(0)
	f.evacuate("z")
	stream := func() answer { return f.send(http.MethodPost, "/quote/", "x") }
	f.Assert(stream().status, qt.Equals, http.StatusOK)
	f.evacuate("z", "y")
	a := stream()
	f.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(a.body, qt.Equals, "evacuated\n")
	f.Assert(a.header.Get("Retry-After"), qt.Equals, "2.000")
	f.checkComplete(<-answers)
	f.Assert(receivedCount(one), qt.Equals, 1)
	f.Assert(receivedCount(two), qt.Equals, 1)
	f.evacuate("y")
	f.Assert(stream().status, qt.Equals, http.StatusOK)
	f.Assert(receivedCount(one), qt.Equals, 2)
}

// TestRetriesAvoidEvacuatedDomains has a failure domain evacuated while a request runs on a server
// of another one, which fails it.
func TestRetriesAvoidEvacuatedDomains(t *testing.T) {
	f := newFixture(t, 5)
	f.loadCatalog()
	one := f.startServerIn("i-1", "shop", "z")
	one.SetResponseMode(platformtest.Hangs)
	answers := make(chan answer, 1)
	go func() { answers <- f.send(http.MethodGet, "/look/1", "") }()
	f.eventually(func() bool { return receivedCount(one) == 1 })
	two := f.startServerIn("i-2", "shop", "y")
	f.evacuate("y")
	one.Close()
	f.Assert((<-answers).status >= 500, qt.IsTrue)
	f.Assert(receivedCount(two), qt.Equals, 0)
}

// TestSplitsAvoidServicesOutsideTheHomes has a route whose requests are split between a service with
// servers in the homes and one without. All are served, by the former.
func TestSplitsAvoidServicesOutsideTheHomes(t *testing.T) {
	f := newHomesFixture(t, []string{"south"}, nil)
	c := homesCatalog(3, []string{"south"}, nil)
	c.Services = append(c.Services, catalog.Service{Name: "shop-2"})
	for i := range c.Routes {
		if c.Routes[i].Name == "look" {
			c.Routes[i].Splits = []catalog.Split{{Service: "shop", Weight: 1}, {Service: "shop-2", Weight: 1}}
		}
	}
	f.directory.SetCatalog(c, time.Now())
	near, far := f.startServerIn("i-1", "shop", "z"), f.startServerIn("i-2", "shop-2", "y")
	for range 20 {
		f.Assert(f.send(http.MethodGet, "/look/1", "").status, qt.Equals, http.StatusOK)
	}
	f.Assert(receivedCount(near), qt.Equals, 0)
	f.Assert(receivedCount(far), qt.Equals, 20)
}
