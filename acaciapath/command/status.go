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

// statusResult is what status prints.
type statusResult struct {
	// Newest is the newest revision that the platform holds; 0 means none, or
	// that the platform did not answer.
	Newest uint64 `json:"newest"`
	// At is when the daemons were asked.
	At time.Time `json:"at"`
	// Daemons are the answers, by failure domain, VM and role.
	Daemons []daemons.Answer `json:"daemons"`
	// Leases are the views of leases.
	Leases []daemons.LeaseView `json:"leases"`
	// Queues are the queues of all entry daemons together.
	Queues []daemons.Queue `json:"queues"`
	// BackendServers are the views of backend servers.
	BackendServers []daemons.BackendServerView `json:"backend-servers"`
}

var _ output.Result = statusResult{}

// WriteText writes a table for each kind of thing.
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
			ageOf(s.ConfirmedAt, r.At), orDash(s.RejectedRevision), s.Connections, state)
	}
	return grid
}

func (r statusResult) leaseGrid() output.Grid {
	grid := output.Grid{Title: "In charge", Header: []string{"LEASE", "HOLDER", "FENCE", "CONFIRMED BY HOLDER", "SEEN BY"}}
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
		Long: `Ask all daemons of the platform's list of VMs, at once, which revision they have
in force, who is in charge, and for their queues and backend servers. Daemons
that do not answer are shown as unreachable, and the command ends with status 6.
While the platform is down, daemons can be named by --peer.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ports, err := p.connect()
			if err != nil {
				return err
			}
			result, err := p.survey(cmd.Context(), ports, addresses)
			if result.Daemons == nil {
				return err
			}
			return errors.Join(p.print(result), err)
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "peer", nil, "IP number and port of a daemon's peers' port, in place of the platform's list")
	return cmd
}

// survey asks the daemons with the given addresses, or those of the platform's
// list. It returns ErrDaemons with what it found if some did not answer.
func (p *program) survey(ctx context.Context, ports *ports, addresses []string) (statusResult, error) {
	list, err := p.targets(ctx, ports, addresses)
	if err != nil {
		return statusResult{}, err
	}
	newest, err := ports.store.Head(ctx)
	if err != nil && len(addresses) == 0 {
		return statusResult{}, err
	}
	answers := daemons.QueryStatus(ctx, list, ports.tls)
	result := statusResult{
		Newest:         newest,
		At:             p.Now(),
		Daemons:        answers,
		Leases:         daemons.Leases(answers),
		Queues:         daemons.Queues(answers),
		BackendServers: daemons.BackendServers(answers),
	}
	silent := 0
	for _, a := range answers {
		if a.Status == nil {
			silent++
		}
	}
	if silent > 0 {
		return result, merry.Wrap(ErrDaemonsUnreachable, merry.AppendMessagef("%d of %d", silent, len(answers)))
	}
	return result, nil
}

// targets returns the daemons to ask.
func (p *program) targets(ctx context.Context, ports *ports, addresses []string) ([]daemons.Daemon, error) {
	if len(addresses) == 0 {
		return listDaemons(ctx, ports)
	}
	list := make([]daemons.Daemon, len(addresses))
	for i, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usage(fmt.Sprintf("--peer: %q is not an IP number and a port such as 10.0.1.4:8081", address))
		}
		list[i] = daemons.Daemon{VM: address, Address: address, FailureDomain: "-"}
	}
	return list, nil
}

// ageOf returns how long ago a time was, as people write it.
func ageOf(at, now time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Second).String() + " ago"
}

func orDash(revision uint64) string {
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
