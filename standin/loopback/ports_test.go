package loopback

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// finderEnv is an environment variable. If it is set, the test binary runs no tests:
// it prints portsPerProcess free ports, one per line, and exits when its standard
// input is closed.
const finderEnv = "LOOPBACK_TEST_FINDER"

// portsPerProcess is more than one block holds, so each process claims a second one.
const portsPerProcess = blockSize + 10

func TestMain(m *testing.M) {
	if os.Getenv(finderEnv) == "" {
		os.Exit(m.Run())
	}
	for range portsPerProcess {
		port, err := FreePort()
		if err != nil {
			_, _ = io.WriteString(os.Stderr, err.Error())
			os.Exit(1)
		}
		_, _ = io.WriteString(os.Stdout, strconv.Itoa(port)+"\n")
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// newTestFinder returns a finder that claims its own blocks, as the finder of another
// process does. The claims are released when the test ends.
func newTestFinder(c *qt.C) *finder {
	end, err := ephemeralRangeStart(ephemeralRangeFile)
	c.Assert(err, qt.IsNil)
	f := newFinder(lowestPort, end, os.Getpid())
	c.Cleanup(func() {
		for _, claim := range f.claimListeners {
			_ = claim.Close()
		}
	})
	return f
}

// findPorts returns the next n free ports of f.
func findPorts(c *qt.C, f *finder, n int) []int {
	ports := make([]int, n)
	for i := range ports {
		var err error
		ports[i], err = f.freePort()
		c.Assert(err, qt.IsNil)
	}
	return ports
}

// checkDistinct checks that ports has no duplicates.
func checkDistinct(c *qt.C, ports []int) {
	c.Helper()
	seen := make(map[int]bool)
	for _, port := range ports {
		c.Check(seen[port], qt.IsFalse, qt.Commentf("port %d was found twice", port))
		seen[port] = true
	}
}

// TestConcurrentFreePort checks that ports found by concurrent calls are distinct, lie
// below the ephemeral range, and can be listened on.
func TestConcurrentFreePort(t *testing.T) {
	c := qt.New(t)
	const goroutines, portsPerGoroutine = 8, 20
	f := newTestFinder(c)
	found := make([][]int, goroutines)
	var wg sync.WaitGroup
	for i := range found {
		wg.Go(func() {
			for range portsPerGoroutine {
				port, err := f.freePort()
				c.Check(err, qt.IsNil)
				found[i] = append(found[i], port)
			}
		})
	}
	wg.Wait()
	var all []int
	for _, ports := range found {
		all = append(all, ports...)
	}
	c.Assert(all, qt.HasLen, goroutines*portsPerGoroutine)
	checkDistinct(c, all)
	for _, port := range all {
		c.Check(port > lowestPort && port < f.end, qt.IsTrue, qt.Commentf("port %d", port))
		listener, err := net.Listen("tcp4", address(port))
		c.Assert(err, qt.IsNil)
		defer listener.Close()
	}
}

func TestFreeAddress(t *testing.T) {
	c := qt.New(t)
	freeAddr, err := FreeAddress()
	c.Assert(err, qt.IsNil)
	_, err = net.Dial("tcp4", freeAddr)
	c.Assert(err, qt.ErrorMatches, ".*connection refused")
	listener, err := net.Listen("tcp4", freeAddr)
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Addr().String(), qt.Equals, freeAddr)
	c.Assert(listener.Close(), qt.IsNil)
}

// TestProcessesFindDistinctPorts checks that processes running at the same time find
// different ports.
func TestProcessesFindDistinctPorts(t *testing.T) {
	c := qt.New(t)
	all := findPorts(c, newTestFinder(c), portsPerProcess)
	for range 3 {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), finderEnv+"=1")
		command.Stderr = os.Stderr
		stdin, err := command.StdinPipe()
		c.Assert(err, qt.IsNil)
		stdout, err := command.StdoutPipe()
		c.Assert(err, qt.IsNil)
		c.Assert(command.Start(), qt.IsNil)
		c.Cleanup(func() {
			_ = stdin.Close()
			_ = command.Process.Kill()
			_ = command.Wait() // it was killed
		})
		lines := bufio.NewReader(stdout)
		for range portsPerProcess {
			line, err := lines.ReadString('\n')
			c.Assert(err, qt.IsNil)
			port, err := strconv.Atoi(strings.TrimSpace(line))
			c.Assert(err, qt.IsNil)
			all = append(all, port)
		}
	}
	checkDistinct(c, all)
}

func TestPortInUseIsSkipped(t *testing.T) {
	c := qt.New(t)
	f := newTestFinder(c)
	findPorts(c, f, 1)
	occupiedPort := f.next
	listener, err := net.Listen("tcp4", address(occupiedPort))
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	port, err := f.freePort()
	c.Assert(err, qt.IsNil)
	c.Assert(port > occupiedPort, qt.IsTrue)
}

// TestNoFreePort checks that the search ends with ErrNoPort if the ephemeral range
// starts too low to leave room for a block, if the only block is claimed by another
// finder, and if all ports of the only block have been returned.
func TestNoFreePort(t *testing.T) {
	c := qt.New(t)
	for _, end := range []int{0, lowestPort, lowestPort + blockSize - 1} {
		_, err := newFinder(lowestPort, end, 1).freePort()
		c.Assert(err, qt.ErrorIs, ErrNoPort)
	}
	other := newTestFinder(c)
	findPorts(c, other, 1)
	start := other.blockEnd - blockSize
	f := newFinder(start, other.blockEnd, 5)
	_, err := f.freePort()
	c.Assert(err, qt.ErrorIs, ErrNoPort)
	c.Assert(err, qt.ErrorMatches, "loopback: no free port: tried all 1 blocks of 64 ports in .*")

	c.Assert(other.claimListeners[0].Close(), qt.IsNil)
	f = newFinder(start, other.blockEnd, 0)
	found := 0
	for {
		if _, err = f.freePort(); err != nil {
			break
		}
		found++
		c.Assert(found < blockSize, qt.IsTrue)
	}
	c.Assert(err, qt.ErrorIs, ErrNoPort)
	for _, claim := range f.claimListeners {
		c.Check(claim.Close(), qt.IsNil)
	}
}

// TestEphemeralPorts checks that the system takes the ports of outgoing connections
// and of listeners on port 0 from the ephemeral range, so that such a port can be given
// to another process once it is closed. It also checks that the ports of this package
// lie below that range and stay free while the system hands out ephemeral ports.
func TestEphemeralPorts(t *testing.T) {
	c := qt.New(t)
	const rounds = 100
	start, err := ephemeralRangeStart(ephemeralRangeFile)
	c.Assert(err, qt.IsNil)
	ports := findPorts(c, newTestFinder(c), blockSize)
	listener, err := net.Listen("tcp4", address(0))
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ephemeralPorts := []int{portOf(listener.Addr())}
	for range rounds {
		other, err := net.Listen("tcp4", address(0))
		c.Assert(err, qt.IsNil)
		defer other.Close()
		clientConn, err := net.Dial("tcp4", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer clientConn.Close()
		serverConn, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		defer serverConn.Close()
		// Without TIME_WAIT, the connection's port is free as soon as the test ends.
		c.Assert(clientConn.(*net.TCPConn).SetLinger(0), qt.IsNil)
		ephemeralPorts = append(ephemeralPorts, portOf(other.Addr()), portOf(clientConn.LocalAddr()))
	}
	for _, port := range ephemeralPorts {
		c.Check(port >= start, qt.IsTrue, qt.Commentf("port %d", port))
	}
	checkDistinct(c, append(ephemeralPorts, ports...))
	for _, port := range ports {
		c.Check(port < start, qt.IsTrue, qt.Commentf("port %d", port))
		again, err := net.Listen("tcp4", address(port))
		c.Assert(err, qt.IsNil)
		defer again.Close()
	}
}

func portOf(a net.Addr) int { return a.(*net.TCPAddr).Port }

func TestEphemeralRangeStart(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "range")
	start, err := ephemeralRangeStart(file)
	c.Assert(err, qt.IsNil)
	c.Assert(start, qt.Equals, defaultEphemeralRangeStart)
	for _, test := range []struct {
		text string
		want int
	}{
		{text: "32768\t60999\n", want: 32768},
		{text: "1024 65535", want: 1024},
		{text: ""},
		{text: "32768"},
		{text: "none\n"},
	} {
		c.Assert(os.WriteFile(file, []byte(test.text), 0o600), qt.IsNil)
		start, err := ephemeralRangeStart(file)
		c.Check(start, qt.Equals, test.want)
		c.Check(err == nil, qt.Equals, test.want > 0, qt.Commentf("%q: %v", test.text, err))
	}
	_, err = ephemeralRangeStart(c.TempDir())
	c.Assert(err, qt.IsNotNil)
}

// TestPortIsFreeBesideStartsOfProcesses finds ports while processes are started, each of which holds
// copies of the listeners that are open until its exec. Daemons of tests found their ports in use.
func TestPortIsFreeBesideStartsOfProcesses(t *testing.T) {
	c := qt.New(t)
	const ports = 1500
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	f := newTestFinder(c)
	used := 0
	for range ports {
		port, err := f.freePort()
		c.Assert(err, qt.IsNil)
		listener, err := net.Listen("tcp4", address(port))
		if err != nil {
			used++
			continue
		}
		c.Assert(listener.Close(), qt.IsNil)
	}
	close(stop)
	starters.Wait()
	c.Assert(used, qt.Equals, 0)
}
