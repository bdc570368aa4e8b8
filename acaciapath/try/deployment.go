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
	"acaciapath.example/core/platformapi"
	"acaciapath.example/core/revision"
	"acaciapath.example/core/settings"

	"github.com/ansel1/merry/v2"
)

// Settings of the daemons, and the timeout and poll interval of WaitReady.
const (
	configPollInterval = 200 * time.Millisecond
	drainTimeout       = 20 * time.Second
	readyTimeout       = 45 * time.Second
	readyPollInterval  = 50 * time.Millisecond
)

// keyName is the name of the API key that Start issues.
const keyName = "try"

// Deployment is a running deployment.
type Deployment struct {
	config   *config.Config
	account  demoAccount
	standIns *standIns
	vms      []*vm
	daemons  *daemonGroup
	stop     context.CancelFunc
}

// Start starts a deployment, which must be stopped with Stop. It returns the findings if
// the configuration is invalid, ErrNoSuitableAccount if no client account fits the
// example calls, or the error of a part that could not be started.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	parsed, err := config.Parse(options.Files)
	if err != nil {
		return nil, err
	}
	account, err := chooseAccount(parsed)
	if err != nil {
		return nil, err
	}
	if account.key, err = apikey.New(options.Random); err != nil {
		return nil, err
	}
	s, err := startStandIns(parsed, options.PlatformPort)
	if err != nil {
		return nil, err
	}
	d := &Deployment{config: parsed, account: account, standIns: s, daemons: newDaemonGroup()}
	if err := errors.Join(d.applyConfig(ctx, options), d.startVMs(options)); err != nil {
		return nil, errors.Join(err, d.Stop())
	}
	return d, nil
}

// applyConfig stores the configuration, with the key and the addresses of the stand-ins,
// on the platform.
func (d *Deployment) applyConfig(ctx context.Context, options Options) error {
	key := config.Key{
		Name:          keyName,
		ClientAccount: d.account.name,
		DefaultClass:  d.account.mostUrgent,
		Hash:          apikey.Hash(d.account.key),
	}
	files := append([]config.File{d.standIns.overrides(d.config, key)}, options.Files...)
	if _, err := config.Parse(files); err != nil {
		return err
	}
	change := revision.Change{Files: files, Author: "acaciapath try", Message: "example"}
	_, err := revision.NewStore(d.client()).Apply(ctx, change, options.Now())
	return err
}

// client returns a client for the platform stand-in.
func (d *Deployment) client() *platformapi.Client {
	return platformapi.New(d.PlatformAddress(), settings.Default().PlatformTimeout)
}

// startVMs starts one entry VM with its daemons in each failure domain.
func (d *Deployment) startVMs(options Options) error {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	for i, domain := range d.config.FailureDomains {
		s := settings.Default()
		s.VMName = domain.Name + "-1"
		s.FailureDomain = domain.Name
		s.ListenIP = loopbackIP
		s.CallersPort, s.PeerPort, s.OpsPort = 0, 0, 0
		if options.CallersPort != 0 {
			s.CallersPort = options.CallersPort + i
		}
		s.PlatformAddress = d.PlatformAddress()
		s.ConfigPollInterval = configPollInterval
		s.DrainTimeout = drainTimeout
		v, err := newVM(s, options.Logger)
		if err != nil {
			return err
		}
		platformVM, err := v.platformVM()
		if err != nil {
			return err
		}
		d.vms = append(d.vms, v)
		d.standIns.platform.AddVM(platformVM)
		d.daemons.start(ctx, v.entry.Run)
		d.daemons.start(ctx, v.control.Run)
	}
	return nil
}

// WaitReady waits until each entry daemon has the configuration in force and a ready
// backend server for each model and plain service. It returns ErrNotReady if that takes
// too long, if ctx ends or if a daemon ends.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		reason := d.notReadyReason()
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Wrap(ErrNotReady, merry.AppendMessage(reason))
		case <-d.daemons.ended:
			return merry.Wrap(ErrNotReady, merry.AppendMessage("a daemon ended"))
		case <-time.After(readyPollInterval):
		}
	}
}

// notReadyReason returns why an entry daemon is not ready yet, or an empty string if all
// are ready.
func (d *Deployment) notReadyReason() string {
	for _, v := range d.vms {
		if err := v.entry.Ready(); err != nil {
			return v.settings.VMName + ": " + err.Error()
		}
		if unserved := d.firstUnserved(v.entry.Status().BackendServers); unserved != "" {
			return v.settings.VMName + ": no backend server for " + unserved
		}
	}
	return ""
}

// stateReady is the state of a backend server that accepts requests.
const stateReady = "ready"

// firstUnserved returns the first model or plain service for which no backend server is
// ready, or an empty string.
func (d *Deployment) firstUnserved(servers []peer.BackendServer) string {
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

// PlatformAddress returns the address of the platform stand-in.
func (d *Deployment) PlatformAddress() string { return d.standIns.platform.Address() }

// Calls returns example calls to the entry daemons. It returns ErrNoModel or
// ErrNoSuitableRoute if the configuration does not have what they need.
func (d *Deployment) Calls() ([]Call, error) {
	addresses := make([]string, len(d.vms))
	for i, v := range d.vms {
		addresses[i] = v.entry.CallersAddress()
	}
	return calls(d.config, d.account, addresses)
}

// PrintCalls writes the line "ready", a curl command for each example call and a status
// command.
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

// Stop shuts the daemons down gracefully and then stops the stand-ins. It returns the
// errors of all of them.
func (d *Deployment) Stop() error {
	if d.stop != nil {
		d.stop()
	}
	d.daemons.wg.Wait()
	return errors.Join(append(d.daemons.errs, d.standIns.close())...)
}

// Run starts a deployment, prints its example calls once it is ready, and stops it when
// ctx ends or a daemon ends.
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
		case <-d.daemons.ended:
		}
	} else if ctx.Err() != nil {
		err = nil // interrupted before it was ready
	}
	return errors.Join(err, d.Stop())
}
