package replica

// maxPrefixes is the number of prefixes that a prefixSet holds.
const maxPrefixes = 256

// prefixSet holds the prefixes that were added last. The zero value is empty.
type prefixSet struct {
	members map[uint64]struct{}
	// ring holds the prefixes in the order in which they were added. Once it is
	// full, next is the index of the oldest.
	ring []uint64
	next int
}

func (s *prefixSet) has(prefix uint64) bool {
	_, ok := s.members[prefix]
	return ok
}

// add adds a prefix. It removes the oldest one if there are more than
// maxPrefixes.
func (s *prefixSet) add(prefix uint64) {
	if s.has(prefix) {
		return
	}
	if s.members == nil {
		s.members = make(map[uint64]struct{}, maxPrefixes)
	}
	s.members[prefix] = struct{}{}
	if len(s.ring) < maxPrefixes {
		s.ring = append(s.ring, prefix)
		return
	}
	delete(s.members, s.ring[s.next])
	s.ring[s.next] = prefix
	s.next = (s.next + 1) % maxPrefixes
}

// remove removes a prefix from the set. Its entry in the ring stays
// until a new prefix replaces it.
func (s *prefixSet) remove(prefix uint64) { delete(s.members, prefix) }
