package command_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"acaciapath.example/acaciapath/command"
	"acaciapath.example/core/gen/vms"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/revision"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/platform"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

var testTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// portPattern matches the addresses with random ports, which differ between runs, in a
// transcript.
var portPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// session runs commands one after the other and records their output in a transcript.
type session struct {
	c          *qt.C
	dir        string
	platform   string
	random     *rand.ChaCha8
	transcript strings.Builder
}

func newSession(c *qt.C) *session {
	s := &session{c: c, dir: c.TempDir(), random: rand.NewChaCha8([32]byte{1})}
	s.copyShopFolder("shop")
	return s
}

// path returns the path of a file in the session's directory.
func (s *session) path(name string) string { return filepath.Join(s.dir, name) }

// copyShopFolder copies the example configuration of the shop to a folder with the
// given name.
func (s *session) copyShopFolder(name string) {
	s.c.Assert(os.CopyFS(s.path(name), os.DirFS("testdata/shop")), qt.IsNil)
}

// replace replaces all occurrences of a text in a file, and fails the test if there are
// none.
func (s *session) replace(name, from, to string) {
	text, err := os.ReadFile(s.path(name))
	s.c.Assert(err, qt.IsNil)
	edited := strings.ReplaceAll(string(text), from, to)
	s.c.Assert(edited, qt.Not(qt.Equals), string(text))
	s.c.Assert(os.WriteFile(s.path(name), []byte(edited), 0o600), qt.IsNil)
}

// run runs a command line, in which DIR is replaced by the session's directory, and adds
// its output and exit status to the transcript.
func (s *session) run(line string) {
	arguments := strings.Fields(strings.ReplaceAll(line, "DIR", s.dir))
	if s.platform != "" {
		arguments = append(arguments, "--platform-address="+s.platform)
	}
	var stdout, stderr bytes.Buffer
	exit := command.Run(context.Background(), command.Environment{
		Stdout: &stdout,
		Stderr: &stderr,
		Now:    func() time.Time { return testTime },
		Random: s.random,
		Author: "ana",
	}, arguments)
	fmt.Fprintf(&s.transcript, "$ acaciapath %s\n%s", line, stdout.String())
	if stderr.Len() > 0 {
		fmt.Fprintf(&s.transcript, "-- standard error --\n%s", stderr.String())
	}
	fmt.Fprintf(&s.transcript, "-- exit %d --\n\n", exit)
}

// assertGolden compares the transcript with the golden file of the given name.
func (s *session) assertGolden(name string) {
	text := strings.ReplaceAll(s.transcript.String(), s.dir, "DIR")
	text = portPattern.ReplaceAllString(text, "127.0.0.1:PORT")
	goldie.New(s.c).Assert(s.c, name, []byte(text))
}

// startPlatform starts a stand-in of the platform that lists the given VMs. The commands
// of the session use it.
func (s *session) startPlatform(list ...*vms.VM) *platform.Server {
	server := platform.New(platform.Options{VMs: list})
	s.c.Assert(server.Start("127.0.0.1:0"), qt.IsNil)
	s.c.Cleanup(func() { _ = server.Close() })
	s.platform = server.Address()
	return server
}

func TestWithoutPlatform(t *testing.T) {
	s := newSession(qt.New(t))
	for _, line := range []string{
		"check testdata/shop",
		"check testdata/broken",
		"check testdata/broken --output json",
		"check DIR/absent",
		"check",
		"bogus",
		"keys bogus",
		"check testdata/shop --output yaml",
		"status",
		"status --platform-address=platform:7000",
		"status --platform-address=127.0.0.1:1 --peer daemon",
		"status --platform-address=127.0.0.1:1",
		"keys withdraw DIR/shop",
		"try --deployment none",
		"history --platform-address=127.0.0.1:1",
		"keys list DIR/shop",
		"keys issue DIR/shop --name till",
		"keys issue DIR/shop --client-account shop --name till --default-class chat",
		"keys issue DIR/shop --client-account shop --name till --default-class chat",
		"keys issue DIR/shop --client-account press --name desk --default-class letters --output json",
		"keys issue DIR/shop --client-account press --name fast --default-class chat",
		"keys issue DIR/shop --client-account none --name fast --default-class chat",
		"keys withdraw DIR/shop web",
		"keys withdraw DIR/shop none",
		"keys list DIR/shop --output json",
		"check DIR/shop",
	} {
		s.run(line)
	}
	s.assertGolden("without-platform")
}

func TestRevisions(t *testing.T) {
	c := qt.New(t)
	s := newSession(c)
	server := s.startPlatform()
	s.run("show")
	s.run("apply DIR/shop --message first")
	s.run("apply DIR/shop")
	s.run("pull DIR/other")
	s.replace("shop/10-classes.ini", "max-wait = 10s", "max-wait = 8s")
	s.run("diff DIR/shop")
	s.run("pull DIR/shop")
	s.run("apply DIR/shop --message shorter --output json")
	s.run("diff 1 2 --output json")
	s.replace("other/20-accounts.ini", "classes = letters", "classes = letters, chat")
	s.run("apply DIR/other --message racing")
	s.run("pull DIR/other")
	s.run("pull DIR/other --force")
	s.run("apply DIR/other --base 1")
	s.run("keys issue DIR/other --client-account shop --name till --default-class chat --apply")
	s.run("history")
	s.run("history --limit 1 --output json")
	s.run("show 1")
	s.run("show 9")
	s.run("show nine")
	server.SetFaults(platform.All, fault.Faults{Down: true})
	s.run("history")
	s.run("apply DIR/shop")
	s.run("status")
	s.assertGolden("revisions")
}

// fakeDaemon is a daemon with a fixed status that loads the configuration from the
// platform, unless rejected is set: then it reports that revision as rejected.
type fakeDaemon struct {
	status   peer.Status
	watcher  *revision.Watcher
	rejected uint64
}

var _ peer.Handler = fakeDaemon{}

func (d fakeDaemon) Status(ctx context.Context) (peer.Status, error) {
	status := d.status
	if d.rejected == 0 {
		_, _ = d.watcher.Poll(ctx, testTime.Add(-2*time.Second))
	}
	status.Revision, status.ConfirmedAt, status.RejectedRevision = d.watcher.Revision(), d.watcher.ConfirmedAt(), d.rejected
	return status, nil
}

func (d fakeDaemon) ExchangeHead(context.Context, peer.ConfigHead) (peer.ConfigHead, error) {
	return peer.ConfigHead{}, nil
}

func (d fakeDaemon) GetConfig(context.Context, peer.ConfigRequest) (peer.ConfigContent, error) {
	return peer.ConfigContent{}, nil
}

// fakeDaemons are the daemons on two VMs. The last one rejects revision 2.
var fakeDaemons = []fakeDaemon{
	{status: peer.Status{
		Name: "entry-1", Role: peer.RoleEntry, FailureDomain: "quito-a", Version: "1.0.0", Connections: 12,
		Queues: []peer.Queue{
			{Model: "m", ServiceClass: "chat", Waiting: 2, Running: 3, OldestWait: 120 * time.Millisecond},
			{Model: "m", ServiceClass: "letters", Waiting: 7, Running: 1, OldestWait: 4 * time.Second},
		},
		BackendServers: []peer.BackendServer{{Name: "s-1", FailureDomain: "quito-a", Kind: "cheap", Serves: []string{"m"}, Running: 4, Slots: 8, State: "ready"}},
	}},
	{status: peer.Status{
		Name: "entry-1", Role: peer.RoleControl, FailureDomain: "quito-a", Version: "1.0.0",
		Leases: []peer.Lease{{Name: "orders/quito-a", Holder: "entry-1", Fence: 4, IsHolder: true}, {Name: "usage", Holder: "entry-2", Fence: 2}},
	}},
	{status: peer.Status{
		Name: "entry-2", Role: peer.RoleEntry, FailureDomain: "cuenca-a", Version: "1.0.0", Leaving: true,
		Queues:         []peer.Queue{{Model: "m", ServiceClass: "chat", Waiting: 1, Running: 1, OldestWait: 80 * time.Millisecond}},
		BackendServers: []peer.BackendServer{{Name: "s-1", FailureDomain: "quito-a", Kind: "cheap", Serves: []string{"m"}, Running: 1, Slots: 8, State: "failed"}},
	}},
	{rejected: 2, status: peer.Status{
		Name: "entry-2", Role: peer.RoleControl, FailureDomain: "cuenca-a", Version: "1.0.0",
		Leases: []peer.Lease{{Name: "orders/quito-a", Holder: "entry-0", Fence: 3}, {Name: "usage", Holder: "entry-2", Fence: 2, IsHolder: true}},
	}},
}

// startFakeDaemons starts the fake daemons and returns their peer ports.
func startFakeDaemons(c *qt.C, newWatcher func() *revision.Watcher) []int {
	ports := make([]int, len(fakeDaemons))
	for i, daemon := range fakeDaemons {
		daemon.watcher = newWatcher()
		server, err := peer.Listen("127.0.0.1:0", nil, daemon)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = server.Close() })
		_, err = fmt.Sscanf(server.Address(), "127.0.0.1:%d", &ports[i])
		c.Assert(err, qt.IsNil)
	}
	return ports
}

func TestStatusAndConfirmations(t *testing.T) {
	c := qt.New(t)
	s := newSession(c)
	server := s.startPlatform()
	store := revision.NewStore(server.Client("daemon"))
	ports := startFakeDaemons(c, func() *revision.Watcher { return revision.NewWatcher(store, acceptAnyFiles) })
	vm := func(name, domain string, entry, control int) vms.VM {
		return vms.VM{Name: name, FailureDomain: domain, Address: "127.0.0.1", PeerPort: entry, ControlPort: control}
	}
	server.AddVM(vm("entry-1", "quito-a", ports[0], ports[1]))
	s.run("apply DIR/shop --wait 30s")
	s.run("status")
	server.AddVM(vm("entry-2", "cuenca-a", ports[2], ports[3]))
	server.AddVM(vm("entry-3", "guayaquil-a", closedPort(c), 0))
	s.run("keys withdraw DIR/shop web --apply --wait 400ms")
	s.run("status")
	s.run("status --output json")
	server.SetFaults(platform.All, fault.Faults{Down: true})
	s.run(fmt.Sprintf("status --peer 127.0.0.1:%d", ports[1]))
	s.assertGolden("daemons")
}

// cancelingWriter is a buffer that calls cancel once it contains trigger.
type cancelingWriter struct {
	bytes.Buffer
	trigger string
	cancel  context.CancelFunc
}

// Write appends p to the buffer.
func (w *cancelingWriter) Write(p []byte) (int, error) {
	n, err := w.Buffer.Write(p)
	if strings.Contains(w.String(), w.trigger) {
		w.cancel()
	}
	return n, err
}

func TestTry(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stdout := &cancelingWriter{trigger: "acaciapath status", cancel: cancel}
	var stderr bytes.Buffer
	exit := command.Run(ctx, command.Environment{
		Stdout: stdout, Stderr: &stderr, Now: time.Now, Random: rand.NewChaCha8([32]byte{2}),
	}, []string{"try", "--deployment", "skylights"})
	c.Assert(stderr.String(), qt.Equals, "")
	c.Assert(exit, qt.Equals, command.ExitOK)
	c.Assert(strings.HasPrefix(stdout.String(), "ready\n"), qt.IsTrue)
}
