package platform

import (
	"fmt"
	"time"

	"acaciapath.example/core/gen/servers"
)

// The addresses of backend servers that are not running are in 192.0.2.0/24,
// which RFC 5737 reserves for documentation.
const (
	placeholderNet   = "192.0.2"
	placeholderPort  = 8000
	placeholderHosts = 254
)

// placeholder is a Launcher that assigns an address to a backend server and runs
// nothing.
type placeholder struct{}

var _ Launcher = placeholder{}

// Launch returns an address that is derived from the name of the server.
func (placeholder) Launch(server servers.BackendServer) (string, func(), error) {
	sum := 0
	for _, c := range []byte(server.Name) {
		sum = sum*31 + int(c)
	}
	host := 1 + int(uint(sum)%placeholderHosts)
	return fmt.Sprintf("%s.%d:%d", placeholderNet, host, placeholderPort), func() {}, nil
}

// schedule calls action after delay, unless the service is closed first. The
// caller must hold b.mu. It is also held while action runs.
func (b *serverService) schedule(delay time.Duration, action func()) {
	if b.closed {
		return
	}
	var timer *time.Timer
	b.wg.Add(1)
	timer = time.AfterFunc(delay, func() {
		defer b.wg.Done()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.timers, timer)
		if !b.closed {
			action()
		}
	})
	b.timers[timer] = struct{}{}
}

// launch launches a backend server that is starting, and removes it if the
// launch fails. The caller must hold b.mu, which is released during the launch.
func (b *serverService) launch(bs *backendServer) {
	server := bs.BackendServer
	b.mu.Unlock()
	address, stop, err := b.options.Launcher.Launch(server)
	b.mu.Lock()
	switch {
	case err != nil:
		b.remove(bs)
	case b.closed || bs.State == stateGone:
		stop()
	default:
		bs.Address, bs.stop = address, stop
		if bs.State == stateStarting {
			bs.State = stateRunning
		}
	}
}

// remove stops a backend server and marks it as gone. The caller must hold b.mu.
func (b *serverService) remove(bs *backendServer) {
	bs.State = stateGone
	bs.goneAt = b.server.now()
	if bs.stop != nil {
		b.wg.Go(bs.stop)
		bs.stop = nil
	}
}

// evict marks a backend server as leaving and removes it after the notice. The
// caller must hold b.mu.
func (b *serverService) evict(bs *backendServer, notice time.Duration) {
	leavesAt := b.server.now().Add(notice).UTC().Format(time.RFC3339Nano)
	bs.State = stateLeaving
	bs.LeavesAt = &leavesAt
	b.schedule(notice, func() {
		if bs.State != stateGone {
			b.remove(bs)
		}
	})
}

// close stops all backend servers and waits until they have stopped.
func (b *serverService) close() {
	b.mu.Lock()
	b.closed = true
	for timer := range b.timers {
		if timer.Stop() {
			b.wg.Done()
		}
	}
	for _, bs := range b.byName {
		if bs.stop != nil {
			b.remove(bs)
		}
	}
	b.mu.Unlock()
	b.wg.Wait()
}

// EvictCheapServers marks the cheap backend servers of a failure domain as
// leaving, removes them after the notice, and returns their number.
func (s *Server) EvictCheapServers(domain string, notice time.Duration) int {
	b := s.servers
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, bs := range b.byName {
		if bs.FailureDomain != domain || bs.Kind != kindCheap {
			continue
		}
		if bs.State == stateStarting || bs.State == stateRunning {
			b.evict(bs, notice)
			n++
		}
	}
	return n
}

// SetCapacity sets the maximum number of backend servers in a group. A negative
// capacity removes the limit.
func (s *Server) SetCapacity(group ServerGroup, capacity int) {
	b := s.servers
	b.mu.Lock()
	defer b.mu.Unlock()
	if capacity < 0 {
		delete(b.capacity, group)
		return
	}
	b.capacity[group] = capacity
}

// AddServer adds a backend server without an order. A server with the same name
// is replaced.
func (s *Server) AddServer(server servers.BackendServer) {
	b := s.servers
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byName[server.Name] = &backendServer{BackendServer: server}
}
