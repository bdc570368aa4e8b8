// Package try runs an example deployment in one process on the loopback interface. The
// deployment consists of stand-ins for the platform, the model engines and the plain
// services, and of an entry daemon and a control daemon for each failure domain.
package try
