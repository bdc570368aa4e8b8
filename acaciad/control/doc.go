// Package control carries out the duties that one daemon at a time has towards
// the platform, under a lease: the settling of usage windows and the ordering of
// backend servers. Every daemon writes its own part of the usage.
package control
