// Package quarantine finds parts of prompts on which model engines crash, and whole requests
// on which servers of any service crash, and decides which requests are refused for that.
//
// A request that breaks off together with its engine accuses all shared parts of its
// prompt. Other requests on the same engine break off at the same moment, engines end for
// other causes, and a daemon sees only a few of these requests. Therefore the daemons
// exchange reports, and a part is quarantined only if it was accused at the ends of
// several engines, at different moments, with no sound run since the first of them, and if
// these ends are not explained by another part. A run that answers clears all parts of its
// prompt.
//
// A whole request accuses itself in the same way. It differs from nearly all others, so that
// the ends of fewer servers suffice.
//
// Reports may be lost, late or repeated, and merge in any order: a Ledger keeps the
// earliest time of each crash and the latest begin of a sound run. Its load pattern is
// one kind of prompt, sent to any daemon, that ends one engine after the other beside sound
// requests which share all other parts.
package quarantine
