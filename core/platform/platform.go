// Package platform speaks to the platform: its table service, object store,
// list of VMs, ordering of backend servers and usage reports.
package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	objectsclient "acaciapath.example/core/gen/http/objects/client"
	serversclient "acaciapath.example/core/gen/http/servers/client"
	tableclient "acaciapath.example/core/gen/http/table/client"
	usageclient "acaciapath.example/core/gen/http/usage/client"
	vmsclient "acaciapath.example/core/gen/http/vms/client"
	"acaciapath.example/core/gen/objects"
	"acaciapath.example/core/gen/servers"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/gen/usage"
	"acaciapath.example/core/gen/vms"

	goahttp "goa.design/goa/v3/http"
)

// Limits of the connections to the platform.
const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 60 * time.Second
	idleConnections = 8
)

// Client holds the ports to the platform. Each may be replaced, by a test, by
// anything that has the same methods. It is safe for concurrent use.
type Client struct {
	// Table is the transactional table service.
	Table table.Service
	// Objects is the object store.
	Objects objects.Service
	// VMs is the list of entry VMs.
	VMs vms.Service
	// Servers orders backend servers.
	Servers servers.Service
	// Usage takes usage reports.
	Usage usage.Service
}

var (
	_ table.Service   = (*table.Client)(nil)
	_ objects.Service = (*objects.Client)(nil)
	_ vms.Service     = (*vms.Client)(nil)
	_ servers.Service = (*servers.Client)(nil)
	_ usage.Service   = (*usage.Client)(nil)
)

// New returns a client of the platform at address, an IP number and a port.
// Every call ends after timeout at the latest.
func New(address string, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	doer := &http.Client{Transport: transport, Timeout: timeout}
	enc, dec := goahttp.RequestEncoder, goahttp.ResponseDecoder
	t := tableclient.NewClient("http", address, doer, enc, dec, false)
	o := objectsclient.NewClient("http", address, doer, enc, dec, false)
	v := vmsclient.NewClient("http", address, doer, enc, dec, false)
	s := serversclient.NewClient("http", address, doer, enc, dec, false)
	u := usageclient.NewClient("http", address, doer, enc, dec, false)
	return &Client{
		Table:   table.NewClient(t.Get(), t.List(), t.Commit()),
		Objects: objects.NewClient(o.Put(), o.Get()),
		VMs:     vms.NewClient(v.List()),
		Servers: servers.NewClient(s.List(), s.Order(), s.Release()),
		Usage:   usage.NewClient(u.Report()),
	}
}

// Read returns the rows with the given keys, by key, with a row of version 0
// for each that does not exist.
func (c *Client) Read(ctx context.Context, keys ...string) ([]*table.Row, error) {
	rows, err := c.Table.Get(ctx, &table.GetPayload{Keys: keys})
	if err != nil {
		return nil, err
	}
	found := make([]*table.Row, len(keys))
	for i, key := range keys {
		found[i] = &table.Row{Key: key}
		for _, row := range rows {
			if row.Key == key {
				found[i] = row
			}
		}
	}
	return found, nil
}
