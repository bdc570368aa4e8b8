package keepalive

import (
	"net"
	"syscall"
	"time"
)

// Timeout returns the time after which a connection with keep-alive probes according to config
// ends if the peer falls silent. The fields of config must be set.
func Timeout(config net.KeepAliveConfig) time.Duration {
	return config.Idle + time.Duration(config.Count)*config.Interval
}

// NewDialer returns a dialer of connections that are established within timeout and send
// keep-alive probes according to config, whose fields must be set.
//
// Probes are sent only on connections without data on the way. On Linux the dialer therefore also
// sets TCP_USER_TIMEOUT, which bounds how long data may stay unacknowledged or a full window
// closed. The option also decides when keep-alive probes give up, whatever their number, so
// it is set to the time that the probes take.
//
// Connections are reset when they are closed, as those of NewCallDialer are.
func NewDialer(timeout time.Duration, config net.KeepAliveConfig) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: config, Control: control(Timeout(config))}
}

// NewCallDialer returns a dialer of connections for calls that only a process with a right that ends
// may make. They are established within timeout.
//
// Connections are reset when they are closed, also by the end of the process: otherwise the system
// would go on sending what was written, and a call that its sender has given up would arrive when a
// partition ends. For a process that is stopped, data that is not acknowledged within transit ends
// the connection (TCP_USER_TIMEOUT, on Linux). An answer must have been read before a close.
func NewCallDialer(timeout, transit time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: control(transit)}
}

// control returns a function that sets the options of a new connection.
func control(userTimeout time.Duration) func(network, address string, connection syscall.RawConn) error {
	return func(_, _ string, connection syscall.RawConn) error {
		if err := resetOnClose(connection); err != nil {
			return err
		}
		return setUserTimeout(connection, userTimeout)
	}
}
