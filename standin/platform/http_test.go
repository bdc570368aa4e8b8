package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"
	"acaciapath.example/standin/record"

	qt "github.com/frankban/quicktest"
)

// postControl sends a control message and returns the HTTP status.
func postControl(c *qt.C, s *platform.Server, path, message string) int {
	res, err := http.Post("http://"+s.Address()+path, "application/json", strings.NewReader(message))
	c.Assert(err, qt.IsNil)
	c.Assert(res.Body.Close(), qt.IsNil)
	return res.StatusCode
}

func TestControlMessages(t *testing.T) {
	c := qt.New(t)
	s := start(c, platform.Options{})
	for _, test := range []struct {
		path    string
		message string
		status  int
	}{
		{platform.PathFaults, `{"interface":"table","faults":{"down":true,"slow":"5ms","lose-replies":2,"cuts":[{"caller":"x","direction":"replies"}]}}`, 204},
		{platform.PathFaults, `{"interface":"unknown","faults":{}}`, 400},
		{platform.PathFaults, `{"interface":"table","faults":{"up":true}}`, 400},
		{platform.PathEvictions, `{"failure-domain":"quito-a","notice":"1s"}`, 204},
		{platform.PathCapacity, `{"failure-domain":"quito-a","kind":"cheap","servers":0}`, 204},
		{platform.PathVMChanges, `{"change":"added","name":"v","failure-domain":"quito-a","address":"127.0.0.1","peer-port":1}`, 204},
		{platform.PathVMChanges, `{"change":"leaving","name":"v"}`, 204},
		{platform.PathVMChanges, `{"change":"unknown","name":"v"}`, 400},
	} {
		c.Assert(postControl(c, s, test.path, test.message), qt.Equals, test.status, qt.Commentf(test.message))
	}
	c.Assert(s.Injector(platform.Table).Faults(), qt.DeepEquals, fault.Faults{
		Down:        true,
		Delay:       fault.Duration(5 * time.Millisecond),
		LoseReplies: 2,
		Partitions:  []fault.Partition{{Caller: "x", Direction: fault.Replies}},
	})
	client := s.Client("")
	list, err := client.VMs.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(list[0].Leaving, qt.IsTrue)
	_, err = client.Servers.Order(context.Background(), order("o1", 1))
	c.Assert(err, qt.ErrorMatches, ".*no backend server of this kind.*")
}

func TestLogByHTTP(t *testing.T) {
	c := qt.New(t)
	s := start(c, platform.Options{})
	_, err := s.Client("caller").Table.Commit(context.Background(), putCommit("k", "v", 0))
	c.Assert(err, qt.IsNil)
	res, err := http.Get("http://" + s.Address() + platform.PathLog)
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	var page record.Page[platform.LogEntry]
	c.Assert(json.NewDecoder(res.Body).Decode(&page), qt.IsNil)
	c.Assert(page.Entries, qt.HasLen, 1)
	c.Assert(page.Entries[0].Rows, qt.DeepEquals, []platform.Row{{Key: "k", Version: 1, Value: []byte("v")}})
}
