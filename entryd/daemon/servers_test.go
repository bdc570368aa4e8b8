package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
	"acaciapath.example/standin/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
)

// poolConfig configures a pool whose backend servers the platform lists.
const poolConfig = `
[pool assistant]
model = assistant
failure-domain = quito-a
kind = cheap
min = 0
max = 4
places = 4
hour-price = 0.50 USD/h

[service-class chat]
cheap-servers = true
max-wait = 1s
`

// addListed starts an engine that has loaded the given models, and adds it to
// the platform's list.
func (s *system) addListed(name string, models ...string) *engine.Engine {
	e := engine.New(engine.Options{Name: name, Models: models, StepTime: time.Millisecond})
	s.c.Assert(e.Start("127.0.0.1:0"), qt.IsNil)
	s.c.Cleanup(func() { _ = e.Close() })
	s.platform.AddServer(servers.BackendServer{
		Name: name, FailureDomain: "quito-a", Kind: "cheap", Model: "assistant", Address: e.Address(), State: "running",
	})
	return e
}

// serving returns the names of the backend servers that are ready to serve the
// model.
func (s *system) serving() []string {
	var names []string
	for _, server := range s.daemon.Status().BackendServers {
		if server.State == "ready" && len(server.Serves) == 1 && server.Serves[0] == "assistant" {
			names = append(names, server.Name)
		}
	}
	return names
}

// TestListedServers checks that listed backend servers are used once they have
// loaded their model, remain in use during an outage of the platform, and get
// no new requests once the platform evicts them.
func TestListedServers(t *testing.T) {
	s := start(t, systemOptions{engines: []engine.Options{}, extraConfig: poolConfig})
	chat := chatRequest(shopKey, chatBody(1, true))
	first := s.addListed("cheap-1", "assistant")
	unloaded := s.addListed("cheap-2")
	s.eventually(func() bool { return len(s.serving()) == 1 })
	s.platform.SetFaults(platform.All, down)
	s.c.Assert(s.do(chat(s)).status, qt.Equals, 200)
	s.platform.SetFaults(platform.All, fault.Faults{})
	s.c.Assert(first.Runs().Entries(), qt.HasLen, 1)
	s.c.Assert(unloaded.Runs().Entries(), qt.HasLen, 0)

	s.platform.EvictCheapServers("quito-a", waitTimeout)
	s.eventually(func() bool { return len(s.serving()) == 0 })
	refused := s.do(chat(s))
	s.c.Assert(refused.body, qt.Contains, `"run":"not-run"`)
	s.c.Assert(first.Runs().Entries(), qt.HasLen, 1)
}

// TestDrainedServer checks that a backend server that the control daemon drains
// gets no new requests even while the platform still lists it as running.
func TestDrainedServer(t *testing.T) {
	s := start(t, systemOptions{engines: []engine.Options{}, extraConfig: poolConfig})
	chat := chatRequest(shopKey, chatBody(1, true))
	drained := s.addListed("cheap-1", "assistant")
	s.eventually(func() bool { return len(s.serving()) == 1 })
	row := &table.Write{Key: "order/drain/quito-a/cheap-1", Value: []byte(`{"server":"cheap-1","released":false}`)}
	_, err := s.platform.Client("controld").Table.Commit(t.Context(), &table.CommitPayload{Writes: []*table.Write{row}})
	s.c.Assert(err, qt.IsNil)
	s.eventually(func() bool { return len(s.serving()) == 0 })
	s.c.Assert(s.do(chat(s)).body, qt.Contains, `"run":"not-run"`)
	s.c.Assert(drained.Runs().Entries(), qt.HasLen, 0)
}

// TestPeers checks the port for peers, and that a daemon that cannot reach the
// platform's table gets a newer configuration from its neighbour.
func TestPeers(t *testing.T) {
	s := start(t, systemOptions{})
	client := peer.NewClient(s.daemon.PeerAddress(), nil)
	defer client.Close()
	status, err := client.Status(t.Context())
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(status.Name, qt.Equals, "vm-1")
	s.c.Assert(status.Role, qt.Equals, peer.RoleEntry)
	s.c.Assert(status.Revision, qt.Equals, uint64(1))
	s.c.Assert(status.BackendServers, qt.HasLen, 3)

	s.platform.AddVM(vms.VM{Name: "vm-1", FailureDomain: "quito-a", Address: "127.0.0.1", PeerPort: portOf(s.daemon.PeerAddress())})
	other := *s
	other.daemon = s.startDaemon(t, "vm-2", systemOptions{})
	s.platform.SetFaults(platform.Table, fault.Faults{Partitions: []fault.Partition{{Caller: "vm-2"}}})
	s.applyConfig("\n[key roofers-1]\nwithdrawn = true\n")
	s.eventually(func() bool { return other.daemon.Status().Revision == 2 })
	got := other.do(chatRequest(roofersKey, chatBody(1, true))(&other))
	s.c.Assert(got.status, qt.Equals, 401)
	s.platform.SetFaults(platform.Table, fault.Faults{})
}

func portOf(address string) int {
	var a, b, c, d, port int
	_, err := fmt.Sscanf(address, "%d.%d.%d.%d:%d", &a, &b, &c, &d, &port)
	if err != nil {
		panic(err)
	}
	return port
}
