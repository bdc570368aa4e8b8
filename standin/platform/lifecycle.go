package platform

import (
	"fmt"
	"time"

	"acaciapath.example/core/gen/servers"
)

// Addresses of backend servers at which nothing runs (RFC 5737).
const (
	placeholderNet  = "192.0.2"
	placeholderPort = 8000
	placeholderSize = 254
)

// placeholder is the Launcher of backend servers at which nothing runs.
type placeholder struct{}

var _ Launcher = placeholder{}

// Launch starts nothing.
func (placeholder) Launch(server servers.BackendServer) (string, func(), error) {
	sum := 0
	for _, c := range []byte(server.Name) {
		sum = sum*31 + int(c)
	}
	host := 1 + int(uint(sum)%placeholderSize)
	return fmt.Sprintf("%s.%d:%d", placeholderNet, host, placeholderPort), func() {}, nil
}

// after calls action once delay has passed, unless the service is closed by
// then. b.mu is held, by the caller and again by action.
func (b *serverService) after(delay time.Duration, action func()) {
	if b.closed {
		return
	}
	var timer *time.Timer
	b.wait.Add(1)
	timer = time.AfterFunc(delay, func() {
		defer b.wait.Done()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.timers, timer)
		if !b.closed {
			action()
		}
	})
	b.timers[timer] = struct{}{}
}

// start launches a backend server that is starting. b.mu is held, but not
// during the launch.
func (b *serverService) start(bs *backendServer) {
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

// remove takes a backend server away at once. b.mu is held.
func (b *serverService) remove(bs *backendServer) {
	bs.State = stateGone
	bs.goneAt = b.server.now()
	if bs.stop != nil {
		b.wait.Go(bs.stop)
		bs.stop = nil
	}
}

// evict marks a backend server as leaving and takes it away after the notice.
// b.mu is held.
func (b *serverService) evict(bs *backendServer, notice time.Duration) {
	leavesAt := b.server.now().Add(notice).UTC().Format(time.RFC3339Nano)
	bs.State = stateLeaving
	bs.LeavesAt = &leavesAt
	b.after(notice, func() {
		if bs.State != stateGone {
			b.remove(bs)
		}
	})
}

// close stops all backend servers.
func (b *serverService) close() {
	b.mu.Lock()
	b.closed = true
	for timer := range b.timers {
		if timer.Stop() {
			b.wait.Done()
		}
	}
	for _, bs := range b.byName {
		if bs.stop != nil {
			b.remove(bs)
		}
	}
	b.mu.Unlock()
	b.wait.Wait()
}

// EvictCheapServers marks the cheap backend servers of a failure domain as
// leaving, takes them away after the notice, and returns how many.
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

// SetCapacity bounds the backend servers of a stock that may be ordered; one
// below 0 lifts the bound.
func (s *Server) SetCapacity(stock ServerGroup, capacity int) {
	b := s.servers
	b.mu.Lock()
	defer b.mu.Unlock()
	if capacity < 0 {
		delete(b.capacity, stock)
		return
	}
	b.capacity[stock] = capacity
}

// AddServer adds a backend server that was not ordered.
func (s *Server) AddServer(server servers.BackendServer) {
	b := s.servers
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byName[server.Name] = &backendServer{BackendServer: server}
}
