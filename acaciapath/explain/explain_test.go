package explain_test

import (
	"bytes"
	"io"
	"os"
	"testing"

	"acaciapath.example/acaciapath/explain"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

// logs returns the logs of the tests: one of a VM of its own, and one of several.
func logs() []explain.Log {
	var all []explain.Log
	for _, name := range []string{"edge-1", "all"} {
		all = append(all, explain.Log{
			Name: name,
			Open: func() (io.ReadCloser, error) { return os.Open("testdata/" + name + ".log") },
		})
	}
	return all
}

// TestStories tells a letter that broke off, and a request that no backend server
// took. Lines of other requests, other VMs and other backend servers are left out.
func TestStories(t *testing.T) {
	for _, id := range []string{"4c33e5b8", "77aa"} {
		qt.New(t).Run(id, func(c *qt.C) {
			found, err := explain.Find(id, logs())
			c.Assert(err, qt.IsNil)
			var text bytes.Buffer
			c.Assert(found.WriteText(&text), qt.IsNil)
			goldie.New(t).Assert(t, id, text.Bytes())
		})
	}
}

func TestUnknownRequest(t *testing.T) {
	_, err := explain.Find("none", logs())
	qt.Assert(t, err, qt.ErrorIs, explain.ErrRequestNotFound)
}

func TestLogThatCannotBeRead(t *testing.T) {
	_, err := explain.Find("77aa", []explain.Log{{Name: "gone", Open: func() (io.ReadCloser, error) { return nil, os.ErrNotExist }}})
	qt.Assert(t, err, qt.ErrorIs, os.ErrNotExist)
}
