package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
)

// RequestID identifies a request, however often and to whichever daemon it is sent: by its
// client account, its target (the path and the query) and its body, which may come in segments.
func RequestID(account, target string, body ...[]byte) uint64 {
	h := sha256.New()
	var length [8]byte
	for _, s := range []string{account, target} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		h.Write(length[:])
		h.Write([]byte(s))
	}
	for _, segment := range body {
		h.Write(segment)
	}
	return binary.LittleEndian.Uint64(h.Sum(nil))
}
