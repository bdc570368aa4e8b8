package try

import (
	"io"
	"net"
	"strconv"
	"time"

	"acaciapath.example/core/config"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// loopbackIP is the IP address on which everything listens.
const loopbackIP = "127.0.0.1"

// Errors of starting a deployment and of its example calls.
var (
	// ErrNotReady is returned when the deployment did not become ready in time.
	ErrNotReady = merry.Sentinel("try: the deployment is not ready")
	// ErrNoSuitableAccount is returned if no client account has bought service
	// classes of two tiers.
	ErrNoSuitableAccount = merry.Sentinel("try: no client account has bought service classes of two tiers")
	// ErrNoModel is returned if the configuration has no model.
	ErrNoModel = merry.Sentinel("try: the configuration has no model")
	// ErrNoSuitableRoute is returned if the configuration has no keyed route that
	// accepts POST and whose calls may not be repeated.
	ErrNoSuitableRoute = merry.Sentinel("try: the configuration has no keyed route for POST whose calls may not be repeated")
)

// Options are the parameters of a deployment.
type Options struct {
	// Files are the configuration files.
	Files []config.File
	// PlatformPort is the port of the platform stand-in; 0 means any free port.
	PlatformPort int
	// CallersPort is the callers' port of the first entry daemon; the others use the
	// ports after it. 0 means any free ports.
	CallersPort int
	// Logger receives the logs of the daemons.
	Logger *logrus.Logger
	// Random is the source of randomness for the API key.
	Random io.Reader
	// Now returns the current time.
	Now func() time.Time
}

// loopbackAddress returns the address of a port on the loopback interface.
func loopbackAddress(port int) string { return net.JoinHostPort(loopbackIP, strconv.Itoa(port)) }
