package loopback

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// host is the IPv4 loopback address.
const host = "127.0.0.1"

// ephemeralRangeFile contains the first and the last port of Linux's ephemeral range,
// from which the kernel takes the ports of outgoing connections and of listeners on
// port 0.
const ephemeralRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

const (
	// defaultEphemeralRangeStart is the first ephemeral port assumed on a system
	// without ephemeralRangeFile. It is the default of Linux. The range that IANA
	// assigns starts higher, at 49152.
	defaultEphemeralRangeStart = 32_768
	// lowestPort is the first port of the first block. It is above the ports that the
	// project's programs and examples usually listen on, of which 9464 is the highest.
	lowestPort = 10_240
	// blockSize is the number of ports in a block, including the first port, which is
	// never returned because listening on it claims the block.
	blockSize = 64
)

// ErrNoPort is returned when all blocks of ports below the ephemeral range have been
// tried.
var ErrNoPort = merry.Sentinel("loopback: no free port")

// processFinder returns the finder that all callers in this process share.
var processFinder = sync.OnceValues(func() (*finder, error) {
	end, err := ephemeralRangeStart(ephemeralRangeFile)
	if err != nil {
		return nil, err
	}
	return newFinder(lowestPort, end, os.Getpid()), nil
})

// FreePort returns a TCP port of 127.0.0.1 that nothing listens on. It returns
// ErrNoPort if no port is left, and another error if the ephemeral range cannot be
// determined or if listening fails for a reason other than a port in use. It is safe
// for concurrent use.
func FreePort() (int, error) {
	f, err := processFinder()
	if err != nil {
		return 0, err
	}
	return f.freePort()
}

// FreeAddress calls FreePort and returns the port as an address, such as
// "127.0.0.1:10241". Its errors are those of FreePort.
func FreeAddress() (string, error) {
	port, err := FreePort()
	if err != nil {
		return "", err
	}
	return address(port), nil
}

// finder finds free ports for one process. It tries each port at most once, so every
// call terminates. It is safe for concurrent use.
type finder struct {
	// start is the first port of the searched range, end is the one after the last.
	start, end int
	// offset, modulo the number of blocks, is the index of the block tried first.
	offset int

	mu sync.Mutex // guards the fields below
	// triedBlocks is the number of blocks that the finder has tried to claim.
	triedBlocks int
	// next is the next port to try in the claimed block, blockEnd is the one after the
	// block's last port.
	next, blockEnd int
	// claimListeners listen on the first ports of the claimed blocks. They stay open
	// until the process ends.
	claimListeners []net.Listener
}

// newFinder returns a finder of ports in [start, end). The offset must be ≥ 0; it
// selects the block that is tried first. Processes should use different offsets, so
// that they rarely try a block that another process has claimed.
func newFinder(start, end, offset int) *finder {
	return &finder{start: start, end: end, offset: offset}
}

// freePort returns the next free port. When the claimed block is used up, it claims
// another one.
func (f *finder) freePort() (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		for f.next < f.blockEnd {
			port := f.next
			f.next++
			err := probe(port)
			if errors.Is(err, syscall.EADDRINUSE) {
				continue
			}
			if err != nil {
				return 0, err
			}
			return port, nil
		}
		if err := f.claimBlock(); err != nil {
			return 0, err
		}
	}
}

// probe listens on a port and stops listening. No process may be started meanwhile: until its exec, it
// would hold a copy of the listener, and the port would stay in use.
func probe(port int) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := listen(port)
	if err != nil {
		return err
	}
	if err := listener.Close(); err != nil {
		return merry.Prepend(err, "loopback: close")
	}
	return nil
}

// claimBlock claims the next block whose first port is not in use, by listening on that
// port. If the port is in use, another process has probably claimed the block. It
// returns ErrNoPort if no block is left.
func (f *finder) claimBlock() error {
	blocks := max(0, f.end-f.start) / blockSize
	for f.triedBlocks < blocks {
		first := f.start + (f.offset+f.triedBlocks)%blocks*blockSize
		f.triedBlocks++
		listener, err := listen(first)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return err
		}
		f.claimListeners = append(f.claimListeners, listener)
		f.next, f.blockEnd = first+1, first+blockSize
		return nil
	}
	return merry.Wrap(ErrNoPort, merry.AppendMessage(fmt.Sprintf(
		"tried all %d blocks of %d ports in [%d, %d)", blocks, blockSize, f.start, f.end)))
}

// listen listens on a port of host. If the port is in use, the error wraps
// syscall.EADDRINUSE.
func listen(port int) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address(port))
	if err != nil {
		return nil, merry.Prepend(err, "loopback: listen")
	}
	return listener, nil
}

func address(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// ephemeralRangeStart reads a file in the format of ephemeralRangeFile and returns the
// first port of the range, or defaultEphemeralRangeStart if the file does not exist.
func ephemeralRangeStart(file string) (int, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return defaultEphemeralRangeStart, nil
	}
	if err != nil {
		return 0, merry.Prepend(err, "loopback: read the ephemeral port range")
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		return 0, merry.Prepend(err, "loopback: parse the ephemeral port range in "+file)
	}
	return first, nil
}
