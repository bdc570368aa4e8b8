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

var errLost = errors.New("no reply")

// fault is what happens to one call of a fakePlatform.
type fault int

const (
	faultNone fault = iota
	faultDown
	faultLostReply
	faultDelayed // the write takes effect after a later call
)

// fakePlatform is a table service and the ordering of backend servers. It
// ignores fencing numbers. It is not safe for concurrent use.
type fakePlatform struct {
	rows     map[string]*table.Row
	servers  []*servers.BackendServer
	hidden   map[string]bool // not yet in the list
	lag      bool            // new backend servers are hidden at first
	capacity int
	delayed  []func()
	releases []string
	faults   func(write bool) fault
	before   func()
}

var (
	_ table.Service   = fakeTable{}
	_ servers.Service = fakeServers{}
)

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: make(map[string]*table.Row), hidden: make(map[string]bool), capacity: 1000}
}

// call applies an effect as the next fault says.
func (p *fakePlatform) call(write bool, effect func() error) error {
	if p.before != nil {
		p.before()
	}
	f := faultNone
	if p.faults != nil {
		f = p.faults(write)
	}
	switch f {
	case faultDown:
		return table.MakeUnavailable(errLost)
	case faultDelayed:
		p.delayed = append(p.delayed, func() { _ = effect() })
		return errLost
	case faultLostReply:
		_ = effect()
		return errLost
	}
	return effect()
}

// late applies the writes that were delayed.
func (p *fakePlatform) late() {
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
	return nil, errLost
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
			return servers.MakeNoCapacity(errLost)
		}
		server = &servers.BackendServer{
			Name: fmt.Sprintf("s-%d", len(s.servers)+1), OrderID: o.OrderID, FailureDomain: o.FailureDomain,
			Kind: o.Kind, Model: o.Model, State: "starting",
		}
		s.fakePlatform.servers = append(s.servers, server)
		s.hidden[server.Name] = s.lag
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

// holder is a Sender that always believes itself to be in charge.
type holder struct{ grant *lease.Grant }

func (h holder) Do(ctx context.Context, send func(context.Context, *lease.Grant) error) error {
	return send(ctx, h.grant)
}

// succeed makes a process the holder of the lease, as an acquisition does.
func (p *fakePlatform) succeed(failureDomain string) holder {
	name := lease.OrdersName(failureDomain)
	version := p.version(lease.FenceKey(name)) + 1
	p.rows[lease.FenceKey(name)] = &table.Row{Key: lease.FenceKey(name), Version: version}
	return holder{grant: &lease.Grant{Name: name, Holder: fmt.Sprint("p", version), Fence: version, FenceVersion: version}}
}
