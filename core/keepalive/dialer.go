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
func NewDialer(timeout time.Duration, config net.KeepAliveConfig) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: config, Control: func(_, _ string, connection syscall.RawConn) error {
		return setUserTimeout(connection, Timeout(config))
	}}
}
