package order_test

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"

	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/lease"
)

var errNoReply = errors.New("no reply")

// fault is a fault injected into one call of a fakePlatform.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultLostReply
	faultDelayed // the write takes effect after a later call
)

// fakePlatform fakes the table and the backend server service of the platform in
// memory. It ignores fencing tokens. It is not safe for concurrent use.
type fakePlatform struct {
	rows       map[string]*table.Row
	servers    []*servers.BackendServer
	hidden     map[string]bool // not yet in the list
	hideNew    bool            // new backend servers are hidden at first
	capacity   int
	delayed    []func()
	releases   []string
	nextFault  func(write bool) fault
	beforeCall func()
}

var (
	_ table.Service   = fakeTable{}
	_ servers.Service = fakeServers{}
)

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: make(map[string]*table.Row), hidden: make(map[string]bool), capacity: 1000}
}

// call applies effect, subject to the next fault.
func (p *fakePlatform) call(write bool, effect func() error) error {
	if p.beforeCall != nil {
		p.beforeCall()
	}
	f := faultNone
	if p.nextFault != nil {
		f = p.nextFault(write)
	}
	switch f {
	case faultUnavailable:
		return table.MakeUnavailable(errNoReply)
	case faultDelayed:
		p.delayed = append(p.delayed, func() { _ = effect() })
		return errNoReply
	case faultLostReply:
		_ = effect()
		return errNoReply
	}
	return effect()
}

// applyDelayed applies the writes that were delayed.
func (p *fakePlatform) applyDelayed() {
	delayed := p.delayed
	p.delayed = nil
	for _, effect := range delayed {
		effect()
	}
}

func (p *fakePlatform) version(key string) uint64 {
	if row := p.rows[key]; row != nil {
		return row.Version
	}
	return 0
}

// server returns the backend server with the given name.
func (p *fakePlatform) server(name string) *servers.BackendServer {
	for _, s := range p.servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

type fakeTable struct{ *fakePlatform }

func (t fakeTable) Get(context.Context, *table.GetPayload) ([]*table.Row, error) {
	return nil, errNoReply
}

func (t fakeTable) List(_ context.Context, l *table.ListPayload) (rows []*table.Row, err error) {
	err = t.call(false, func() error {
		for key, row := range t.rows {
			if strings.HasPrefix(key, l.Prefix) && key > l.After {
				rows = append(rows, row)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		return nil
	})
	return rows, err
}

func (t fakeTable) Commit(_ context.Context, c *table.CommitPayload) ([]*table.Row, error) {
	return nil, t.call(true, func() error {
		for _, condition := range c.Conditions {
			if t.version(condition.Key) != condition.Version {
				return &table.Conflict{Rows: []*table.Row{{Key: condition.Key}}}
			}
		}
		for _, w := range c.Writes {
			if w.Delete {
				delete(t.rows, w.Key)
				continue
			}
			t.rows[w.Key] = &table.Row{Key: w.Key, Version: t.version(w.Key) + 1, Value: w.Value}
		}
		return nil
	})
}

type fakeServers struct{ *fakePlatform }

func (s fakeServers) List(context.Context, *servers.ListPayload) (list []*servers.BackendServer, err error) {
	err = s.call(false, func() error {
		for _, server := range s.servers {
			if !s.hidden[server.Name] {
				c := *server
				list = append(list, &c)
			}
		}
		return nil
	})
	return list, err
}

func (s fakeServers) Order(_ context.Context, o *servers.OrderPayload) (server *servers.BackendServer, err error) {
	err = s.call(true, func() error {
		for _, server = range s.servers {
			if server.OrderID == o.OrderID {
				return nil
			}
		}
		if len(s.servers) >= s.capacity {
			return servers.MakeNoCapacity(errNoReply)
		}
		server = &servers.BackendServer{
			Name: fmt.Sprintf("s-%d", len(s.servers)+1), OrderID: o.OrderID, FailureDomain: o.FailureDomain,
			Kind: o.Kind, Model: o.Model, State: "starting",
		}
		s.fakePlatform.servers = append(s.servers, server)
		s.hidden[server.Name] = s.hideNew
		return nil
	})
	return server, err
}

func (s fakeServers) Release(_ context.Context, r *servers.ReleasePayload) error {
	return s.call(true, func() error {
		s.releases = append(s.releases, r.Name)
		s.server(r.Name).State = "leaving"
		return nil
	})
}

// fakeHolder is a LeaseHolder that always assumes that it holds the lease.
type fakeHolder struct{ grant *lease.Grant }

func (h fakeHolder) Do(ctx context.Context, send func(context.Context, *lease.Grant) error) error {
	return send(ctx, h.grant)
}

// acquireLease makes a new process the lease holder, as an acquisition does: it
// raises the version of the fence row.
func (p *fakePlatform) acquireLease(failureDomain string) fakeHolder {
	name := lease.OrdersName(failureDomain)
	version := p.version(lease.FenceKey(name)) + 1
	p.rows[lease.FenceKey(name)] = &table.Row{Key: lease.FenceKey(name), Version: version}
	return fakeHolder{grant: &lease.Grant{Name: name, Holder: fmt.Sprint("p", version), Fence: version, FenceVersion: version}}
}
