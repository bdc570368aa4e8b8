package home

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReplacedHomesAreForgotten has many home daemons come and go, and checks
// that only so many are kept, among them the one that a place is held at.
func TestReplacedHomesAreForgotten(t *testing.T) {
	c := qt.New(t)
	s := NewClient(nil, nil, nil, time.Now)
	used := s.remote("10.0.0.1:1")
	used.add(&held{id: 7})
	for i := range 1000 {
		s.remote(fmt.Sprintf("10.0.1.%d:%d", i%250, i))
	}
	c.Assert(len(s.homes) <= maxHomes, qt.IsTrue, qt.Commentf("%d are kept", len(s.homes)))
	c.Assert(s.remote("10.0.0.1:1"), qt.Equals, used)
}
