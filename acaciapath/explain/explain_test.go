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

// testLogs returns the log of one VM and the log of several VMs.
func testLogs() []explain.Log {
	var all []explain.Log
	for _, name := range []string{"edge-1", "all"} {
		all = append(all, explain.Log{
			Name: name,
			Open: func() (io.ReadCloser, error) { return os.Open("testdata/" + name + ".log") },
		})
	}
	return all
}

// TestReports checks the reports of a request whose answer ended early and of a request
// that no backend server accepted, also one that went through a neighbour. Lines of other requests, other VMs and other backend
// servers must be left out.
func TestReports(t *testing.T) {
	for _, id := range []string{"4c33e5b8", "77aa", "51b0"} {
		qt.New(t).Run(id, func(c *qt.C) {
			report, err := explain.Find(id, testLogs())
			c.Assert(err, qt.IsNil)
			var text bytes.Buffer
			c.Assert(report.WriteText(&text), qt.IsNil)
			goldie.New(t).Assert(t, id, text.Bytes())
		})
	}
}

func TestUnknownRequest(t *testing.T) {
	_, err := explain.Find("none", testLogs())
	qt.Assert(t, err, qt.ErrorIs, explain.ErrRequestNotFound)
}

func TestUnreadableLog(t *testing.T) {
	_, err := explain.Find("77aa", []explain.Log{{Name: "gone", Open: func() (io.ReadCloser, error) { return nil, os.ErrNotExist }}})
	qt.Assert(t, err, qt.ErrorIs, os.ErrNotExist)
}
