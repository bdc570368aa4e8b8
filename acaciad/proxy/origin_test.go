package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/origin"
	"acaciapath.example/platform/platformtest"

	qt "github.com/frankban/quicktest"
)

// TestRunMovesToItsVersionOnly has an engine drain beside another one whose software has
// another version.
func TestRunMovesToItsVersionOnly(t *testing.T) {
	f, one, two := newMoveFixture(t)
	f.specs[0].Version = "v1"
	f.directory.SetServers(f.specs, time.Now())
	answers := f.startLongStream("/quote/", one, two)
	f.specs[1].Version = "v2"
	f.drainEngine(one)
	time.AfterFunc(drainNotice, one.Close)
	f.Assert((<-answers).err, qt.IsNotNil)
	f.Assert(receivedCount(two), qt.Equals, 0)
}

// startTwoVersions starts engines of the versions v1 and v2, which send streams of the given number
// of events.
func (f *fixture) startTwoVersions(events int) (one, two *platformtest.Server) {
	one, two = f.startServer("i-1", "llm", events), f.startServer("i-2", "llm", events)
	f.specs[0].Version, f.specs[1].Version = "v1", "v2"
	f.directory.SetServers(f.specs, time.Now())
	f.setVersions()
	return one, two
}

// TestStreamOfUnknownVersion has callers take up streams that no daemon knows while servers of
// two versions serve: they are told that nothing ran, and the servers get no request. They are
// told when to come back only if the store, which is away at the end, may tell more by then.
func TestStreamOfUnknownVersion(t *testing.T) {
	f := newFixture(t, 2)
	f.stopOrigins() // no plan tells the version of a stream
	f.loadCatalog()
	one, two := f.startTwoVersions(5)
	f.handler.Origins.Begin(origin.StreamID("account-b", "id-0"), "llm", origin.Origin{Service: "llm", Version: "v1"}, time.Now())
	takeUp := func(resumes string) answer {
		r := f.request(f.Context(), http.MethodPost, "/reply/", "x")
		r.Header.Set("X-Deadline-Ms", "10000")
		r.Header.Set("Last-Event-Id", "3")
		r.Header["Resumes"] = []string{resumes}
		a := f.do(r)
		f.Assert(a.err, qt.IsNil)
		f.Check(a.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%.20q", resumes))
		return a
	}
	for _, resumes := range []string{"", "id-9", "id-0", strings.Repeat("x", 10_000), "\t\x80"} {
		a := takeUp(resumes)
		f.Check(a.body, qt.Equals, "stream-version-unknown\n")
		f.Check(a.header.Get("Retry-After"), qt.Equals, "")
	}
	f.originStore.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
	a := takeUp("id-9")
	f.Check(a.body, qt.Equals, "stream-version-not-known-yet\n")
	f.Check(a.header.Get("Retry-After") != "", qt.IsTrue)
	f.Check(receivedCount(one, two), qt.Equals, 0)
}

// TestStreamBeginsElsewhereOnlyIfOthersKnow has the only engine of a version crash while its entry
// stays. Streams that are planned for it begin at the other version once the store has that, and are
// refused while the VM is cut off: others went on at the planned version with those that began
// elsewhere and could not be reported (ORDER).
func TestStreamBeginsElsewhereOnlyIfOthersKnow(t *testing.T) {
	const streams = 16
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut off=%v", cut), func(t *testing.T) {
			f := newFixture(t, 100)
			f.loadCatalog()
			one, two := f.startTwoVersions(3)
			row := func() string {
				for _, row := range f.originStore.Rows("acaciapath", "control") {
					if row.Key == "stream-origins/vm" {
						return string(row.Data)
					}
				}
				return ""
			}
			f.eventually(func() bool { return strings.Contains(row(), `"v2"`) })
			time.Sleep(50 * time.Millisecond) // the daemon has the answer as well
			two.Close()
			if cut {
				f.originStore.SetFault(func(string, string) platformtest.Fault { return platformtest.Unavailable })
			}
			planned := make(map[string]int)
			for i := range streams {
				r := f.request(f.Context(), http.MethodPost, "/reply/", "x")
				id := fmt.Sprint("id-", i)
				r.Header.Set("X-Attempt-Id", id)
				r.Header.Set("X-Deadline-Ms", "5000")
				version, ok := f.handler.Origins.Choose(f.Context(), "llm", origin.StreamID("account-a", id))
				f.Assert(ok, qt.IsTrue)
				planned[version]++
				a := f.do(r)
				f.Assert(a.err, qt.IsNil)
				if cut && version == "v2" {
					f.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
					f.Check(a.body, qt.Equals, "stream-version-not-serving\n")
					f.Check(a.header.Get("Retry-After") != "", qt.IsTrue)
				} else {
					f.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("planned for %s", version))
				}
			}
			f.Check(planned, qt.HasLen, 2)
			f.Check(strings.Contains(row(), `"exceptions"`), qt.Equals, !cut)
			f.Check(runCount(one), qt.Equals, streams-map[bool]int{true: planned["v2"]}[cut])
		})
	}
}

// TestStreamOfVersionThatLeft has a caller take up a stream whose version has no server left.
func TestStreamOfVersionThatLeft(t *testing.T) {
	f := newFixture(t, 2)
	f.loadCatalog()
	s := f.startServer("i-1", "llm", 5)
	f.specs[0].Version = "v2"
	f.directory.SetServers(f.specs, time.Now())
	f.handler.Origins.Begin(origin.StreamID("account-a", "id-0"), "llm", origin.Origin{Service: "llm", Version: "v1"}, time.Now())
	r := f.request(f.Context(), http.MethodPost, "/reply/", "x")
	r.Header.Set("Last-Event-Id", "3")
	r.Header.Set("Resumes", "id-0")
	a := f.do(r)
	f.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
	f.Check(a.body, qt.Equals, "stream-version-not-serving\n")
	f.Check(receivedCount(s), qt.Equals, 0)
}
