// Case 14: a client sends paths with an encoded slash. They must be run by the service of the route whose
// prefix begins the path as it was sent.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"acaciapath.example/platform/platformtest"
	"acaciapath.example/review/third/lab"
)

const (
	// repeats is the number of requests for each path.
	repeats = 20
	// deadline is that of the requests.
	deadline = 2 * time.Second
)

func main() {
	if len(os.Args) != 2 {
		os.Exit(lab.CannotRun)
	}
	l := lab.New(os.Args[1])
	public := platformtest.NewServer("i-catalogue", 0)
	l.Register(public, "catalogue", "quito-a", "ready")
	billing := platformtest.NewServer("i-billing", 0)
	l.Register(billing, "billing", "quito-a", "ready")
	lab.Config{
		Version: 3, Limits: lab.DefaultLimits(),
		Routes: []lab.Route{
			{Name: "shop", Type: "unsafe", Service: "catalogue", TimeoutMS: 2000, TargetMS: 400, MaxAttempts: 1},
			{Name: "shop/renewals", Type: "unsafe", Service: "billing", TimeoutMS: 2000, TargetMS: 400, MaxAttempts: 1},
		},
		Services: []map[string]any{{"name": "catalogue", "maxConnections": 110}, {"name": "billing", "maxConnections": 110}},
	}.Write(l.Store)
	for _, zone := range lab.ZoneNames {
		l.AddDaemon(zone, lab.DaemonOptions{}).Start()
	}
	for _, d := range l.Daemons {
		d.AwaitReady()
	}
	path := "/shop/renewals-2026"
	if l.Trouble {
		path = "/shop/renewals%2F2026"
	}
	for i := range repeats {
		d := l.Daemons[i%len(l.Daemons)]
		r := lab.Request{Method: "POST", Path: path, ID: lab.NewAttemptID(), Body: "x", Deadline: deadline}
		a := lab.Send(d.Callers, r)
		l.Note("%s to %s: POST %s is answered %d", r.ID, d.Name, path, a.Status)
	}
	wrong := 0
	for _, service := range []*platformtest.Server{public, billing} {
		for _, received := range service.ReceivedRequests() {
			l.Note("%s runs %s: %s %s", service.ID, received.Header.Get("X-Attempt-Id"), received.Method, received.Path)
			if service == billing && !strings.HasPrefix(received.Path, "/shop/renewals/") {
				wrong++
			}
		}
	}
	l.Verdict(wrong > 0, "%s", fmt.Sprintf("%d of %d requests for %s, which begins with the prefix /shop/ only, were run by the service of the prefix /shop/renewals/", wrong, repeats, path))
}
