package try

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
	"acaciapath.example/core/peer"
	"acaciapath.example/core/platform"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"

	"github.com/ansel1/merry/v2"
)

// Times of a deployment.
const (
	configPoll   = 200 * time.Millisecond
	drainTimeout = 20 * time.Second
	readyTimeout = 45 * time.Second
	readyPause   = 50 * time.Millisecond
)

// keyName is the name of the key that is issued at the start.
const keyName = "try"

// Deployment is a deployment that runs.
type Deployment struct {
	config   *config.Config
	customer customer
	standIns *standIns
	vms      []*vm
	running  *running
	stop     context.CancelFunc
}

// Start starts a deployment. The caller ends it with Stop. Start returns the
// findings of the configuration, ErrNoAccount, or why something did not start.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	parsed, err := config.Parse(options.Files)
	if err != nil {
		return nil, err
	}
	by, err := chooseCustomer(parsed)
	if err != nil {
		return nil, err
	}
	if by.key, err = apikey.New(options.Random); err != nil {
		return nil, err
	}
	s, err := startStandIns(parsed, options.PlatformPort)
	if err != nil {
		return nil, err
	}
	d := &Deployment{config: parsed, customer: by, standIns: s, running: newRunning()}
	if err := errors.Join(d.apply(ctx, options), d.startVMs(options)); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

// apply stores the configuration with the platform.
func (d *Deployment) apply(ctx context.Context, options Options) error {
	key := config.Key{
		Name:          keyName,
		ClientAccount: d.customer.account,
		DefaultClass:  d.customer.urgent,
		Hash:          apikey.Hash(d.customer.key),
	}
	files := append([]config.File{d.standIns.overrides(d.config, key)}, options.Files...)
	if _, err := config.Parse(files); err != nil {
		return err
	}
	change := revision.Change{Files: files, Author: "acaciapath try", Message: "example"}
	_, err := revision.NewStore(d.client()).Apply(ctx, change, options.Now())
	return err
}

// client returns a client of the platform.
func (d *Deployment) client() *platform.Client {
	return platform.New(d.PlatformAddress(), settings.Default().PlatformTimeout)
}

// startVMs starts the daemons of one VM in each failure domain.
func (d *Deployment) startVMs(options Options) error {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	for i, domain := range d.config.FailureDomains {
		s := settings.Default()
		s.VMName = domain.Name + "-1"
		s.FailureDomain = domain.Name
		s.ListenIP = loopback
		s.CallersPort, s.PeerPort, s.OpsPort = 0, 0, 0
		if options.CallersPort != 0 {
			s.CallersPort = options.CallersPort + i
		}
		s.PlatformAddress = d.PlatformAddress()
		s.ConfigPollInterval = configPoll
		s.DrainTimeout = drainTimeout
		v, err := newVM(s, options.Logger)
		if err != nil {
			return err
		}
		listed, err := v.listed()
		if err != nil {
			return err
		}
		d.vms = append(d.vms, v)
		d.standIns.platform.AddVM(listed)
		d.running.start(ctx, v.entry.Run)
		d.running.start(ctx, v.control.Run)
	}
	return nil
}

// WaitReady waits until each entry daemon has the configuration in force and a
// backend server for each model and plain service. It returns ErrNotReady if
// that takes too long or a daemon has ended.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		missing := d.missing()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Wrap(ErrNotReady, merry.AppendMessage(missing))
		case <-d.running.ended:
			return merry.Wrap(ErrNotReady, merry.AppendMessage("a daemon has ended"))
		case <-time.After(readyPause):
		}
	}
}

// missing returns what an entry daemon still lacks, or an empty string.
func (d *Deployment) missing() string {
	for _, v := range d.vms {
		if err := v.entry.Ready(); err != nil {
			return v.settings.VMName + ": " + err.Error()
		}
		if unserved := d.unserved(v.entry.Status().BackendServers); unserved != "" {
			return v.settings.VMName + ": no backend server for " + unserved
		}
	}
	return ""
}

// stateReady is the state of a backend server that takes requests.
const stateReady = "ready"

// unserved returns a model or plain service for which none of the backend
// servers takes requests, or an empty string.
func (d *Deployment) unserved(servers []peer.BackendServer) string {
	ready := make(map[string]bool)
	for _, s := range servers {
		if s.State != stateReady {
			continue
		}
		ready[s.Name] = true
		for _, name := range s.Serves {
			ready[name] = true
		}
	}
	for _, m := range d.config.Models {
		if !ready[m.Name] {
			return "model " + m.Name
		}
	}
	for _, p := range d.config.PlainServices {
		isReplica := func(b config.BackendServer) bool { return b.PlainService == p.Name && ready[b.Name] }
		if !slices.ContainsFunc(d.config.BackendServers, isReplica) {
			return "plain service " + p.Name
		}
	}
	return ""
}

// PlatformAddress returns the address of the platform.
func (d *Deployment) PlatformAddress() string { return d.standIns.platform.Address() }

// Calls returns calls that show what the deployment does.
func (d *Deployment) Calls() ([]Call, error) {
	addresses := make([]string, len(d.vms))
	for i, v := range d.vms {
		addresses[i] = v.entry.CallersAddress()
	}
	return calls(d.config, d.customer, addresses)
}

// PrintCalls writes the line "ready" and a line of curl for each call.
func (d *Deployment) PrintCalls(w io.Writer) error {
	list, err := d.Calls()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w, "ready"); err != nil {
		return err
	}
	for i := range list {
		if _, err := fmt.Fprintf(w, "\n# %s\n%s\n", list[i].Title, list[i].CurlCommand()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "\n# acaciapath status --platform-address=%s\n", d.PlatformAddress())
	return err
}

// Stop shuts the daemons down gracefully and then stops the stand-ins. It
// returns what failed.
func (d *Deployment) Stop() error {
	if d.stop != nil {
		d.stop()
	}
	d.running.wait.Wait()
	return errors.Join(append(d.running.errs, d.standIns.close())...)
}

// Run runs a deployment until ctx ends, and prints its calls once it serves.
func Run(ctx context.Context, options Options, stdout io.Writer) error {
	d, err := Start(ctx, options)
	if err != nil {
		return err
	}
	err = d.WaitReady(ctx)
	if err == nil {
		err = d.PrintCalls(stdout)
	}
	if err == nil {
		select {
		case <-ctx.Done():
		case <-d.running.ended:
		}
	} else if ctx.Err() != nil {
		err = nil // told to stop before it served
	}
	return errors.Join(err, d.Stop())
}
