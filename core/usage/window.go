package usage

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// digestBytes is the number of bytes of a digest. It tells apart the few totals that the
// same window can have.
const digestBytes = 8

// Window is the fixed totals of a usage window. Once inserted, it never changes.
type Window struct {
	// Start is the start of the window.
	Start time.Time `json:"start"`
	// Lines are the sums of the parts, sorted as by Sum.
	Lines []Line `json:"lines"`
	// Parts are the names of the parts that are summed in Lines.
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

// Digest returns a hash of the totals, in hexadecimal.
func (w *Window) Digest() string {
	sum := sha256.Sum256(encode(w))
	return hex.EncodeToString(sum[:digestBytes])
}

// Progress records up to which window usage has been reported.
type Progress struct {
	// LastWindow is the start of the last reported window.
	LastWindow time.Time `json:"last"`
	// Epoch is the epoch of the table in which it was recorded. In a later epoch, further
	// windows may have been reported since.
	Epoch uint64 `json:"epoch,omitempty"`
}

// closure is the content of the row that closes a window.
type closure struct {
	// Window is the start of the window.
	Window time.Time `json:"last"`
	// Reported states that the window was reported before the table was restored from a
	// backup. If its totals are in no row, all its parts are taken for counted.
	Reported bool `json:"reported,omitempty"`
}
