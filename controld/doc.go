// Command controld runs the control daemon of an entry VM. The daemon orders backend
// servers in its failure domain while it holds the orders lease, and reports usage to
// the platform while it holds the usage lease.
package main
