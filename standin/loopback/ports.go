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

// host is the IP number of the ports.
const host = "127.0.0.1"

// rangeFile has the first and the last port of the range from which Linux takes the
// ports of outgoing connections and of listeners on port 0.
const rangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

const (
	// defaultRangeStart is where the range begins on a system without rangeFile. It
	// is the default of Linux; IANA's range of such ports begins higher, at 49152.
	defaultRangeStart = 32_768
	// lowestPort is the first port of the first block. It is above those that the
	// project's programs and examples have by custom, of which 9464 is the highest.
	lowestPort = 10_240
	// blockSize is the number of ports in a block, with the one that is the claim.
	blockSize = 64
)

// ErrNoPort is returned when all ports below the range were tried.
var ErrNoPort = merry.Sentinel("loopback: no free port")

// own returns what finds the ports of this process.
var own = sync.OnceValues(func() (*finder, error) {
	end, err := rangeStart(rangeFile)
	if err != nil {
		return nil, err
	}
	return newFinder(lowestPort, end, os.Getpid()), nil
})

// FreePort returns a port that nothing listens on. It is safe for concurrent use.
func FreePort() (int, error) {
	f, err := own()
	if err != nil {
		return 0, err
	}
	return f.port()
}

// FreeAddress returns the IP number and port of a port as FreePort returns it.
func FreeAddress() (string, error) {
	port, err := FreePort()
	if err != nil {
		return "", err
	}
	return address(port), nil
}

// finder finds ports of one process. Each port is tried once in its life, so that a
// call ends. It is safe for concurrent use.
type finder struct {
	// start and end are the first port and the one after the last.
	start, end int
	// offset is the number of the block that is tried first.
	offset int

	mu sync.Mutex // guards the fields below
	// tried is the number of blocks that were tried.
	tried int
	// next and last are the next port to try of the claimed block and the one after
	// the last.
	next, last int
	// claims are kept open until the process ends.
	claims []net.Listener
}

// newFinder returns a finder of ports from start to before end. Processes with
// different offsets ≥ 0 begin with different blocks, which saves them tries.
func newFinder(start, end, offset int) *finder {
	return &finder{start: start, end: end, offset: offset}
}

// port returns the next port that is free.
func (f *finder) port() (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		for f.next < f.last {
			port := f.next
			f.next++
			listener, err := listen(port)
			if errors.Is(err, syscall.EADDRINUSE) {
				continue
			}
			if err != nil {
				return 0, err
			}
			if err := listener.Close(); err != nil {
				return 0, merry.Prepend(err, "loopback: close")
			}
			return port, nil
		}
		if err := f.claim(); err != nil {
			return 0, err
		}
	}
}

// claim claims the next block that no other process has.
func (f *finder) claim() error {
	blocks := max(0, f.end-f.start) / blockSize
	for f.tried < blocks {
		first := f.start + (f.offset+f.tried)%blocks*blockSize
		f.tried++
		listener, err := listen(first)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return err
		}
		f.claims = append(f.claims, listener)
		f.next, f.last = first+1, first+blockSize
		return nil
	}
	return merry.Wrap(ErrNoPort, merry.AppendMessage(fmt.Sprintf(
		"all %d blocks of %d ports from %d to before %d were tried", blocks, blockSize, f.start, f.end)))
}

// listen listens on a port. The error of a port in use is syscall.EADDRINUSE.
func listen(port int) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address(port))
	if err != nil {
		return nil, merry.Prepend(err, "loopback: listen")
	}
	return listener, nil
}

func address(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// rangeStart returns the first port of the range in a file as rangeFile, or
// defaultRangeStart if there is no such file.
func rangeStart(file string) (int, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return defaultRangeStart, nil
	}
	if err != nil {
		return 0, merry.Prepend(err, "loopback")
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		return 0, merry.Prepend(err, "loopback: "+file)
	}
	return first, nil
}
