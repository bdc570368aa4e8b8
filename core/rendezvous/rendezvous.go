// Package rendezvous hashes for rendezvous hashing: of several candidates, the one whose
// hash together with a key is highest is chosen, so that all who know the same candidates
// choose the same one, and few choices change when a candidate joins or leaves.
package rendezvous

import "hash/fnv"

// Hash returns a hash of s whose bits are spread.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // a hash never returns an error
	return Mix(h.Sum64())
}

// Mix spreads the bits of x. It is the finalizer of MurmurHash3 by Appleby.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
