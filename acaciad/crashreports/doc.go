// Package crashreports refuses requests whose prompts crash model engines. It exchanges
// what the daemons saw through rows of a table in the platform's store. Package quarantine
// decides.
//
// Each daemon has a row with its latest report, and each quarantined part of a prompt has
// one. All rows are complete, so that a lost, late or repeated change does no harm. While
// the store is out of reach, a daemon decides by what it has seen itself and knows.
package crashreports
