package platformapi

import (
	"context"
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
	"acaciapath.example/core/keepalive"

	goahttp "goa.design/goa/v3/http"
)

// Settings of the HTTP connections to the platform.
const (
	dialTimeout           = 2 * time.Second
	idleConnectionTimeout = 60 * time.Second
	maxIdleConnections    = 8
)

// Client calls the services of the platform. A test may replace each of them by
// another implementation. Client is safe for concurrent use.
type Client struct {
	// Table is the transactional table service.
	Table table.Service
	// Objects is the object store.
	Objects objects.Service
	// VMs lists the entry VMs.
	VMs vms.Service
	// Servers lists, orders and releases backend servers.
	Servers servers.Service
	// Usage receives usage reports.
	Usage usage.Service
}

var (
	_ table.Service   = (*table.Client)(nil)
	_ objects.Service = (*objects.Client)(nil)
	_ vms.Service     = (*vms.Client)(nil)
	_ servers.Service = (*servers.Client)(nil)
	_ usage.Service   = (*usage.Client)(nil)
)

// New returns a client of the platform at address, which consists of an IP
// address and a port. Each call fails after timeout. What it has sent does not arrive any
// more then.
func New(address string, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         keepalive.NewCallDialer(dialTimeout, timeout).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
	}
	httpClient := &http.Client{Transport: transport, Timeout: timeout}
	encoder, decoder := goahttp.RequestEncoder, goahttp.ResponseDecoder
	t := tableclient.NewClient("http", address, httpClient, encoder, decoder, false)
	o := objectsclient.NewClient("http", address, httpClient, encoder, decoder, false)
	v := vmsclient.NewClient("http", address, httpClient, encoder, decoder, false)
	s := serversclient.NewClient("http", address, httpClient, encoder, decoder, false)
	u := usageclient.NewClient("http", address, httpClient, encoder, decoder, false)
	return &Client{
		Table:   table.NewClient(t.Get(), t.List(), t.Commit()),
		Objects: objects.NewClient(o.Put(), o.Get()),
		VMs:     vms.NewClient(v.List()),
		Servers: servers.NewClient(s.List(), s.Order(), s.Release()),
		Usage:   usage.NewClient(u.Report()),
	}
}

// Read returns the rows with the given keys, in the order of the keys. For a key
// that does not exist it returns a row with version 0.
func (c *Client) Read(ctx context.Context, keys ...string) ([]*table.Row, error) {
	rows, err := c.Table.Get(ctx, &table.GetPayload{Keys: keys})
	if err != nil {
		return nil, err
	}
	ordered := make([]*table.Row, len(keys))
	for i, key := range keys {
		ordered[i] = &table.Row{Key: key}
		for _, row := range rows {
			if row.Key == key {
				ordered[i] = row
			}
		}
	}
	return ordered, nil
}
