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

// asFinder makes the test binary a process that finds ports: it prints
// processPorts of them and runs until its input ends.
const asFinder = "LOOPBACK_TEST_FINDER"

// processPorts is the number of ports that a process finds: more than a block has.
const processPorts = blockSize + 10

func TestMain(m *testing.M) {
	if os.Getenv(asFinder) == "" {
		os.Exit(m.Run())
	}
	for range processPorts {
		port, err := FreePort()
		if err != nil {
			_, _ = io.WriteString(os.Stderr, err.Error())
			os.Exit(1)
		}
		_, _ = io.WriteString(os.Stdout, strconv.Itoa(port)+"\n")
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// newProcess returns a finder as another process would have it, until the test ends.
func newProcess(c *qt.C) *finder {
	end, err := rangeStart(rangeFile)
	c.Assert(err, qt.IsNil)
	f := newFinder(lowestPort, end, os.Getpid())
	c.Cleanup(func() {
		for _, claim := range f.claims {
			_ = claim.Close()
		}
	})
	return f
}

// find returns n ports.
func find(c *qt.C, f *finder, n int) []int {
	ports := make([]int, n)
	for i := range ports {
		var err error
		ports[i], err = f.port()
		c.Assert(err, qt.IsNil)
	}
	return ports
}

// checkDistinct checks that no port is there twice.
func checkDistinct(c *qt.C, ports []int) {
	c.Helper()
	seen := make(map[int]bool)
	for _, port := range ports {
		c.Check(seen[port], qt.IsFalse, qt.Commentf("port %d twice", port))
		seen[port] = true
	}
}

// TestFreePorts checks that ports found at once are below the system's range,
// distinct, and can be listened on.
func TestFreePorts(t *testing.T) {
	c := qt.New(t)
	const finders, each = 8, 20
	f := newProcess(c)
	found := make([][]int, finders)
	var group sync.WaitGroup
	for i := range found {
		group.Go(func() {
			for range each {
				port, err := f.port()
				c.Check(err, qt.IsNil)
				found[i] = append(found[i], port)
			}
		})
	}
	group.Wait()
	var all []int
	for _, ports := range found {
		all = append(all, ports...)
	}
	c.Assert(all, qt.HasLen, finders*each)
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
	free, err := FreeAddress()
	c.Assert(err, qt.IsNil)
	_, err = net.Dial("tcp4", free)
	c.Assert(err, qt.ErrorMatches, ".*connection refused")
	listener, err := net.Listen("tcp4", free)
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Addr().String(), qt.Equals, free)
	c.Assert(listener.Close(), qt.IsNil)
}

// TestProcesses checks that processes that run at once find different ports.
func TestProcesses(t *testing.T) {
	c := qt.New(t)
	all := find(c, newProcess(c), processPorts)
	for range 3 {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), asFinder+"=1")
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
		for range processPorts {
			line, err := lines.ReadString('\n')
			c.Assert(err, qt.IsNil)
			port, err := strconv.Atoi(strings.TrimSpace(line))
			c.Assert(err, qt.IsNil)
			all = append(all, port)
		}
	}
	checkDistinct(c, all)
}

func TestPortInUseIsPassedOver(t *testing.T) {
	c := qt.New(t)
	f := newProcess(c)
	find(c, f, 1)
	inUse := f.next
	listener, err := net.Listen("tcp4", address(inUse))
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	port, err := f.port()
	c.Assert(err, qt.IsNil)
	c.Assert(port > inUse, qt.IsTrue)
}

// TestNoPort checks that the search ends where nothing is free: below a range that
// begins too low, in a block that another has claimed, and in one that is used up.
func TestNoPort(t *testing.T) {
	c := qt.New(t)
	for _, end := range []int{0, lowestPort, lowestPort + blockSize - 1} {
		_, err := newFinder(lowestPort, end, 1).port()
		c.Assert(err, qt.ErrorIs, ErrNoPort)
	}
	other := newProcess(c)
	find(c, other, 1)
	start := other.last - blockSize
	f := newFinder(start, other.last, 5)
	_, err := f.port()
	c.Assert(err, qt.ErrorIs, ErrNoPort)
	c.Assert(err, qt.ErrorMatches, "loopback: no free port: all 1 blocks of 64 ports from .*")

	c.Assert(other.claims[0].Close(), qt.IsNil)
	f = newFinder(start, other.last, 0)
	found := 0
	for {
		if _, err = f.port(); err != nil {
			break
		}
		found++
		c.Assert(found < blockSize, qt.IsTrue)
	}
	c.Assert(err, qt.ErrorIs, ErrNoPort)
	for _, claim := range f.claims {
		c.Check(claim.Close(), qt.IsNil)
	}
}

// TestPortsOfTheSystem checks that the ports of outgoing connections and of listeners
// on port 0 are in the system's range, so that one that is closed can be given to
// another, and that those of this package are not and stay free meanwhile.
func TestPortsOfTheSystem(t *testing.T) {
	c := qt.New(t)
	const each = 100
	start, err := rangeStart(rangeFile)
	c.Assert(err, qt.IsNil)
	ports := find(c, newProcess(c), blockSize)
	listener, err := net.Listen("tcp4", address(0))
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	taken := []int{portOf(listener.Addr())}
	for range each {
		other, err := net.Listen("tcp4", address(0))
		c.Assert(err, qt.IsNil)
		defer other.Close()
		near, err := net.Dial("tcp4", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer near.Close()
		far, err := listener.Accept()
		c.Assert(err, qt.IsNil)
		defer far.Close()
		c.Assert(near.(*net.TCPConn).SetLinger(0), qt.IsNil) // its port is free at once after the test
		taken = append(taken, portOf(other.Addr()), portOf(near.LocalAddr()))
	}
	for _, port := range taken {
		c.Check(port >= start, qt.IsTrue, qt.Commentf("port %d", port))
	}
	checkDistinct(c, append(taken, ports...))
	for _, port := range ports {
		c.Check(port < start, qt.IsTrue, qt.Commentf("port %d", port))
		again, err := net.Listen("tcp4", address(port))
		c.Assert(err, qt.IsNil)
		defer again.Close()
	}
}

func portOf(a net.Addr) int { return a.(*net.TCPAddr).Port }

func TestRangeStart(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "range")
	start, err := rangeStart(file)
	c.Assert(err, qt.IsNil)
	c.Assert(start, qt.Equals, defaultRangeStart)
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
		start, err := rangeStart(file)
		c.Check(start, qt.Equals, test.want)
		c.Check(err == nil, qt.Equals, test.want > 0, qt.Commentf("%q: %v", test.text, err))
	}
	_, err = rangeStart(c.TempDir())
	c.Assert(err, qt.IsNotNil)
}
