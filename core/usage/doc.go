// Package usage meters the usage of each client account and reports it to the
// platform in usage windows.
//
// An entry daemon adds the usage of each request to a Meter. Every few seconds it
// takes a Part from the Meter and passes it to its Writer, which inserts it into the
// platform's table. The control daemon that holds the lease of usage reports runs a
// Reporter. To settle a window, the Reporter closes it to further parts, fixes its
// totals in a row that is inserted once, and only then reports them, so that every
// report of a window has the same totals.
//
// Rows of the table, where a start is in RFC 3339 and UTC:
//
//	usage/part/<start>/<vm>/<part>   a Part, inserted once
//	usage/closed/<start>             the window accepts no further Part
//	usage/window/<start>             a Window with the fixed totals, inserted once
//	usage/reported                   a Progress with the last reported window
package usage
