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

// loopback is the IP number that all listens on.
const loopback = "127.0.0.1"

// Errors of this package.
var (
	// ErrNotReady is returned when the deployment does not serve in time.
	ErrNotReady = merry.Sentinel("try: the deployment does not serve")
	// ErrNoSuitableAccount is returned for a configuration without a client account
	// that the calls could be made for.
	ErrNoSuitableAccount = merry.Sentinel("try: no client account has bought two service classes")
	// ErrNoModel is returned for a configuration without a model.
	ErrNoModel = merry.Sentinel("try: there is no model")
	// ErrNoSuitableRoute is returned for a configuration without a keyed route whose
	// calls may not be repeated.
	ErrNoSuitableRoute = merry.Sentinel("try: no keyed route has calls that may not be repeated")
)

// Options say what is run.
type Options struct {
	// Files are the configuration.
	Files []config.File
	// PlatformPort is the port of the platform; 0 takes any free one.
	PlatformPort int
	// CallersPort is the callers' port of the first entry daemon, which the
	// others follow; 0 takes any free ones.
	CallersPort int
	// Logger takes the logs of the daemons.
	Logger *logrus.Logger
	// Random is the source of the keys.
	Random io.Reader
	// Now returns the present time.
	Now func() time.Time
}

// address returns a port on loopback.
func address(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }
