// Package usage meters what ran for each client account and settles it in
// usage windows that are reported to the platform.
//
// An entry daemon adds to a Meter on the path of a request. Every few seconds
// it closes the Meter and hands the Part to its Writer, which inserts it into
// the platform's table. A control daemon that holds the lease of usage reports
// runs a Reporter: it closes a window against further parts, fixes the window's
// figures by one insert-once row, and only then reports them, so that every
// report of a window has the same figures.
//
// Rows of the table, where a start is in RFC 3339 and UTC:
//
//	usage/part/<start>/<vm>/<part>   a Part, inserted once
//	usage/closed/<start>             no Part of the window is accepted any more
//	usage/window/<start>             the fixed figures, a Window, inserted once
//	usage/reported                   the last window that was reported, a Progress
package usage
