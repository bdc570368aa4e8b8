// Package heartbeats exchanges heartbeats with other daemons, reads the
// platform's list of VMs, and fetches newer revisions of the configuration that
// other daemons have in force. Which daemons are probed, and which are alive, is
// decided by package membership.
package heartbeats
