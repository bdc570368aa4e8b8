package home

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleHomesAreClosed adds 1000 home daemons and checks that the
// number of connections stays bounded, and that the connection to a home daemon
// with a held slot is kept.
func TestIdleHomesAreClosed(t *testing.T) {
	c := qt.New(t)
	s := NewClient(nil, nil, nil, time.Now)
	used := s.homeDaemon("10.0.0.1:1")
	used.add(&remoteHolder{id: 7})
	for i := range 1000 {
		s.homeDaemon(fmt.Sprintf("10.0.1.%d:%d", i%250, i))
	}
	c.Assert(len(s.homes) <= idleHomesThreshold, qt.IsTrue, qt.Commentf("%d are kept", len(s.homes)))
	c.Assert(s.homeDaemon("10.0.0.1:1"), qt.Equals, used)
}
