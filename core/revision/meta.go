package revision

import (
	"encoding/json"
	"fmt"
	"time"
)

// Keys of the platform's table service and names of its object store.
const (
	headKey        = "config/head"
	revisionPrefix = "config/revision/"
	objectPrefix   = "config/"
)

// Meta is the metadata of a stored revision. It does not change once stored.
type Meta struct {
	// Revision is the number of the revision. Revision ≥ 1.
	Revision uint64 `json:"revision"`
	// Parent is the revision that the change was made against.
	// Parent = Revision − 1.
	Parent uint64 `json:"parent"`
	// Author is the operator who applied the change.
	Author string `json:"author"`
	// Message says what was changed.
	Message string `json:"message"`
	// AppliedAt is when the change was applied, by the operator's clock.
	AppliedAt time.Time `json:"at"`
	// ObjectName is the name of the content in the object store.
	ObjectName string `json:"object"`
	// Size is the size of the files before compression, in bytes.
	Size int `json:"size"`
	// SHA256 is the hash of the files before compression, in hexadecimal.
	SHA256 string `json:"sha256"`
}

// headValue is the content of the head row.
type headValue struct {
	Revision uint64 `json:"revision"`
}

// revisionKey returns the key of the row of a revision. The keys sort in the order
// of the numbers.
func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", revisionPrefix, revision)
}

// decodeRow decodes the content of a row. It returns ErrCorrupt if that fails.
func decodeRow[T any](value []byte) (T, error) {
	var decoded T
	if err := json.Unmarshal(value, &decoded); err != nil {
		return decoded, corrupt(err)
	}
	return decoded, nil
}
