// Package proofs holds tests of what must always hold, on the real daemons as
// processes of their own, with the stand-ins around them. Daemons are killed,
// frozen and cut off; the judges are the logs of the receivers: the platform,
// the engines and the plain services. docs/PROOFS.md lists what is proved.
//
// The test binary runs a daemon if it is started with a launch in its
// environment.
package proofs
