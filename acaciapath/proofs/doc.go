// Package proofs tests invariants of the whole system under faults. The tests run the
// entry and control daemons as separate processes against stand-ins. They kill, freeze and
// partition the daemons, and check the logs of the receivers: the platform, the engines and
// the plain services. docs/PROOFS.md lists the invariants.
//
// The test binary runs a daemon instead of the tests if the environment variable
// ACACIAPATH_PROOFS_LAUNCH is set.
package proofs
