// Package detour selects the path by which a daemon reaches the platform's store:
// directly, or through a neighbour while the direct path fails. It handles faults in
// which single VMs cannot reach the store, or are rejected by it, while others are
// served. Without it, the cached state of such a VM would become stale, and the usage
// that it metered would not arrive in time.
//
// Functions take the current time and the random source as arguments and do no I/O.
package detour
