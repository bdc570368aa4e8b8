// Package limitreports tells other daemons which limits backend servers name in their
// answers, and when they name none any more, through rows of a table in the platform's
// store. A daemon that has no part of a limit gets no answers that would tell it.
package limitreports
