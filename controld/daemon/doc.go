// Package daemon is the control daemon: whichever holds the lease of its
// failure domain orders backend servers there, and whichever holds the lease of
// usage reports settles usage windows.
//
// Every entry VM runs one. A control daemon that holds no lease only follows
// the configuration and reads the lease rows, seldom enough for the platform to
// bear hundreds of them.
package daemon
