package peer

import (
	"crypto/tls"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrPoolExhausted is returned when a pool has reached its limit and all its
// clients are in use.
var ErrPoolExhausted = merry.Sentinel("peer: connection pool is exhausted")

// Pool keeps one client for each peer that it calls, up to a limit. At the limit,
// a new client replaces the least recently used one that has no call in progress.
// A Pool is safe for concurrent use.
type Pool struct {
	config  *tls.Config
	limit   int
	traffic Traffic

	mu sync.Mutex
	// clients holds the clients by address.
	clients map[string]*pooledClient
	// uses is the number of calls that were started.
	uses   uint64
	closed bool
}

// pooledClient is a client of a pool.
type pooledClient struct {
	client *Client
	// calls is the number of calls in progress.
	calls int
	// lastUse is the value of Pool.uses at the last call.
	lastUse uint64
}

// NewPool returns a pool of at most limit clients. limit > 0. The clients use no
// TLS if config is nil. They resume TLS sessions, which makes it cheap to open a
// connection again that was closed.
func NewPool(config *tls.Config, limit int) *Pool {
	if config != nil {
		config = config.Clone()
		config.ClientSessionCache = tls.NewLRUClientSessionCache(limit)
	}
	return &Pool{config: config, limit: limit, clients: make(map[string]*pooledClient)}
}

// Traffic returns the counters of the clients' connections.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Call calls f with a client of the peer at address. It returns ErrPoolExhausted,
// ErrClosed or the error of f.
func (p *Pool) Call(address string, f func(*Client) error) error {
	entry, err := p.acquire(address)
	if err != nil {
		return err
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		entry.calls--
	}()
	return f(entry.client)
}

// acquire returns the client of the peer at address and counts a call of it.
func (p *Pool) acquire(address string) (*pooledClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	entry := p.clients[address]
	if entry == nil {
		if len(p.clients) >= p.limit && !p.evict() {
			return nil, ErrPoolExhausted
		}
		entry = &pooledClient{client: NewClient(address, p.config)}
		entry.client.traffic = &p.traffic
		p.clients[address] = entry
	}
	p.uses++
	entry.lastUse = p.uses
	entry.calls++
	return entry, nil
}

// evict closes and removes the least recently used client without calls in
// progress. It reports false if there is none. The caller holds the lock.
func (p *Pool) evict() bool {
	oldest := ""
	for address, entry := range p.clients {
		if entry.calls == 0 && (oldest == "" || entry.lastUse < p.clients[oldest].lastUse) {
			oldest = address
		}
	}
	if oldest == "" {
		return false
	}
	_ = p.clients[oldest].client.Close()
	delete(p.clients, oldest)
	return true
}

// Close closes all clients. Later calls return ErrClosed.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	var errs []error
	for _, entry := range p.clients {
		errs = append(errs, entry.client.Close())
	}
	clear(p.clients)
	return errors.Join(errs...)
}
