package peer

import (
	"crypto/tls"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrPoolExhausted is returned when all clients of a pool are in use.
var ErrPoolExhausted = merry.Sentinel("peer: too many peers are called at once")

// Pool keeps clients of peers, at most a given number. One that is needed takes
// the place of the one that was not used for the longest. It is safe for
// concurrent use.
type Pool struct {
	config  *tls.Config
	limit   int
	traffic Traffic

	mu      sync.Mutex
	clients map[string]*pooled
	uses    uint64
	closed  bool
}

// pooled is a client of a pool.
type pooled struct {
	client *Client
	calls  int
	used   uint64
}

// NewPool returns a pool without clients. A nil config means no TLS. Sessions
// of TLS are resumed, so that a connection that was closed is cheap to open
// again. limit > 0.
func NewPool(config *tls.Config, limit int) *Pool {
	if config != nil {
		config = config.Clone()
		config.ClientSessionCache = tls.NewLRUClientSessionCache(limit)
	}
	return &Pool{config: config, limit: limit, clients: make(map[string]*pooled)}
}

// Traffic returns what the clients carry.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Call calls f with a client of the peer at address. It returns ErrBusy,
// ErrClosed or what f returns.
func (p *Pool) Call(address string, f func(*Client) error) error {
	entry, err := p.take(address)
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

func (p *Pool) take(address string) (*pooled, error) {
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
		entry = &pooled{client: NewClient(address, p.config)}
		entry.client.traffic = &p.traffic
		p.clients[address] = entry
	}
	p.uses++
	entry.used = p.uses
	entry.calls++
	return entry, nil
}

// evict closes the client that was not used for the longest. It reports false
// if all are in use. The caller holds the lock.
func (p *Pool) evict() bool {
	oldest := ""
	for address, entry := range p.clients {
		if entry.calls == 0 && (oldest == "" || entry.used < p.clients[oldest].used) {
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
