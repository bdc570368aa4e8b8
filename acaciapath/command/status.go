package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"acaciapath.example/acaciapath/daemons"
	"acaciapath.example/acaciapath/output"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// statusResult is the result of the status command.
type statusResult struct {
	// Newest is the newest revision on the platform; 0 if there is none or the
	// platform did not answer.
	Newest uint64 `json:"newest"`
	// At is the time at which the daemons were queried.
	At time.Time `json:"at"`
	// Daemons are the answers of the daemons, sorted by failure domain, VM and role, or
	// in the order of --peer.
	Daemons []daemons.Answer `json:"daemons"`
	// Leases are the distinct views that control daemons have of the leases.
	Leases []daemons.LeaseView `json:"leases"`
	// Queues are the queues, summed over all entry daemons.
	Queues []daemons.Queue `json:"queues"`
	// BackendServers are the distinct views that entry daemons have of the backend
	// servers.
	BackendServers []daemons.BackendServerView `json:"backend-servers"`
}

var _ output.Result = statusResult{}

// WriteText writes tables of the daemons, leases, queues and backend servers.
func (r statusResult) WriteText(w io.Writer) error {
	newest := "unknown"
	if r.Newest > 0 {
		newest = fmt.Sprint(r.Newest)
	}
	if _, err := fmt.Fprintf(w, "Newest revision: %s\n\n", newest); err != nil {
		return err
	}
	for i, grid := range []output.Grid{r.daemonGrid(), r.leaseGrid(), r.queueGrid(), r.serverGrid()} {
		if i > 0 {
			if _, err := fmt.Fprintln(w); err != nil {
				return err
			}
		}
		if err := grid.WriteText(w); err != nil {
			return err
		}
	}
	return nil
}

func (r statusResult) daemonGrid() output.Grid {
	grid := output.Grid{
		Title:  "Daemons",
		Header: []string{"VM", "ROLE", "FAILURE DOMAIN", "VERSION", "REVISION", "CONFIRMED", "REJECTED", "CONNECTIONS", "STATE"},
	}
	for _, a := range r.Daemons {
		s := a.Status
		if s == nil {
			grid.Add(a.VM, a.Role, a.FailureDomain, "-", "-", "-", "-", "-", stateUnreachable)
			continue
		}
		state := "serving"
		if s.Leaving {
			state = "leaving"
		}
		grid.Add(s.Name, s.Role, s.FailureDomain, s.Version, s.Revision,
			formatAge(s.ConfirmedAt, r.At), revisionOrDash(s.RejectedRevision), s.Connections, state)
	}
	return grid
}

func (r statusResult) leaseGrid() output.Grid {
	grid := output.Grid{Title: "Leases", Header: []string{"LEASE", "HOLDER", "FENCE", "CONFIRMED BY HOLDER", "SEEN BY"}}
	for _, l := range r.Leases {
		holder := l.Holder
		if holder == "" {
			holder = "-"
		}
		grid.Add(l.Name, holder, l.Fence, yesNo(l.Confirmed), l.SeenBy)
	}
	return grid
}

func (r statusResult) queueGrid() output.Grid {
	grid := output.Grid{Title: "Queues", Header: []string{"MODEL", "SERVICE CLASS", "WAITING", "RUNNING", "OLDEST"}}
	for _, q := range r.Queues {
		grid.Add(q.Model, q.ServiceClass, q.Waiting, q.Running, q.OldestWait.Round(time.Millisecond))
	}
	return grid
}

func (r statusResult) serverGrid() output.Grid {
	grid := output.Grid{
		Title:  "Backend servers",
		Header: []string{"NAME", "FAILURE DOMAIN", "KIND", "SERVES", "STATE", "RUNNING", "PLACES", "SEEN BY"},
	}
	for _, s := range r.BackendServers {
		grid.Add(s.Name, s.FailureDomain, s.Kind, strings.Join(s.Serves, ","), s.State, s.Running, s.Slots, s.SeenBy)
	}
	return grid
}

func (p *program) status() *cobra.Command {
	var addresses []string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show daemons, leases, queues and backend servers",
		Long: `Query the daemons of all VMs that the platform lists, and show their revisions in
force, leases, queues and backend servers. Daemons that do not answer are shown as
unreachable, and the command exits with status 6. While the platform is unavailable,
specify daemons by --peer.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			clients, err := p.connect()
			if err != nil {
				return err
			}
			result, err := p.queryDaemons(cmd.Context(), clients, addresses)
			if result.Daemons == nil {
				return err
			}
			return errors.Join(p.printResult(result), err)
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "peer", nil, "IP address and port of a daemon's peer port, instead of the platform's list of VMs")
	return cmd
}

// queryDaemons queries the daemons with the given addresses, or if there are none,
// those of all VMs that the platform lists. If some did not answer, it returns the
// result and ErrDaemonsUnreachable.
func (p *program) queryDaemons(ctx context.Context, clients *clients, addresses []string) (statusResult, error) {
	list, err := p.daemonsToQuery(ctx, clients, addresses)
	if err != nil {
		return statusResult{}, err
	}
	newest, err := clients.store.Head(ctx)
	if err != nil && len(addresses) == 0 {
		return statusResult{}, err
	}
	answers := daemons.QueryStatus(ctx, list, clients.tls)
	result := statusResult{
		Newest:         newest,
		At:             p.Now(),
		Daemons:        answers,
		Leases:         daemons.Leases(answers),
		Queues:         daemons.Queues(answers),
		BackendServers: daemons.BackendServers(answers),
	}
	unreachable := 0
	for _, a := range answers {
		if a.Status == nil {
			unreachable++
		}
	}
	if unreachable > 0 {
		return result, merry.Wrap(ErrDaemonsUnreachable, merry.AppendMessagef("%d of %d", unreachable, len(answers)))
	}
	return result, nil
}

// daemonsToQuery returns the daemons with the given addresses, or if there are none,
// those of all VMs that the platform lists.
func (p *program) daemonsToQuery(ctx context.Context, clients *clients, addresses []string) ([]daemons.Daemon, error) {
	if len(addresses) == 0 {
		return listDaemons(ctx, clients)
	}
	list := make([]daemons.Daemon, len(addresses))
	for i, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usageError(fmt.Sprintf("--peer: %q is not an IP address and a port such as 10.0.1.4:8081", address))
		}
		list[i] = daemons.Daemon{VM: address, Address: address, FailureDomain: "-"}
	}
	return list, nil
}

// formatAge returns how long ago a time was, such as "2s ago", or "never" for the zero
// time.
func formatAge(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Second).String() + " ago"
}

func revisionOrDash(revision uint64) string {
	if revision == 0 {
		return "-"
	}
	return fmt.Sprint(revision)
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
