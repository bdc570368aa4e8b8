// Package try runs a whole deployment in one process on loopback: stand-ins of
// the platform, of model engines and of plain services, and an entry daemon and
// a control daemon for each failure domain.
package try
