// Package ownrow writes rows of the table that belong to one VM. Only the processes of that VM
// write such a row, one process at a time, so that a writer needs no lease.
//
// A write whose answer was lost may take effect seconds later, also after the process has been
// replaced. Each write therefore has the condition that the row is as the process last read or wrote
// it, so that a late one does not replace a newer row.
package ownrow
