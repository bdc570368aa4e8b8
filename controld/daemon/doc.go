// Package daemon implements the control daemon. The daemon that holds the orders
// lease of its failure domain orders and releases backend servers there. The daemon
// that holds the usage lease, of which there is one for all failure domains, closes
// usage windows and reports them to the platform.
//
// Every entry VM runs a control daemon. One that holds no lease only follows the
// configuration, takes part in the membership, and polls the lease rows. The more
// candidates a lease has, the less often each polls, so that the platform can serve
// hundreds of control daemons.
package daemon
