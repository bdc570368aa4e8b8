package epoch

import "fmt"

// First is the epoch of a store that was never restored.
const First = 1

// versionBits is the number of bits of a joined version that hold the store's own version.
// The others hold the epoch: the store would have to be restored a million times, or to
// reach 10^13 versions, to exceed them.
const versionBits = 44

// Join returns a version that is greater than all versions of earlier epochs, and ordered
// like the store's versions within an epoch.
func Join(epoch, version uint64) uint64 {
	return epoch<<versionBits | version
}

// Split returns the epoch and the store's own version of a joined version.
func Split(joined uint64) (epoch, version uint64) {
	return joined >> versionBits, joined & (1<<versionBits - 1)
}

// Format formats a joined version for logs, as the epoch and the store's own version.
func Format(joined uint64) string {
	epoch, version := Split(joined)
	return fmt.Sprintf("%d:%d", epoch, version)
}
