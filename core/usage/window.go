package usage

import (
	"slices"
	"time"
)

// Window is the fixed figures of a usage window. Once inserted it is never
// changed.
type Window struct {
	// Start is the start of the window.
	Start time.Time `json:"start"`
	// Lines are the sums of the parts, sorted by Sum.
	Lines []Line `json:"lines"`
	// Parts are the names of the parts that Lines are the sums of.
	Parts []PartName `json:"parts"`
}

// VMs returns the names of the VMs that wrote parts of the window, sorted.
func (w *Window) VMs() []string {
	names := make([]string, 0, len(w.Parts))
	for _, part := range w.Parts {
		names = append(names, part.VM)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Progress says how far windows have been reported.
type Progress struct {
	// LastWindow is the start of the last window that was reported.
	LastWindow time.Time `json:"last"`
}
