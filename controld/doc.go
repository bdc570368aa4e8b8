// Command controld runs the control daemon of an entry VM. While it holds the lease
// for it, the daemon orders backend servers in its failure domain or reports usage to
// the platform.
package main
