package replica

// prefixLimit is the number of prefixes that are remembered for a replica.
const prefixLimit = 256

// prefixSet remembers the prefixes that were added last. The zero value is
// empty.
type prefixSet struct {
	known map[uint64]struct{}
	// ring holds the prefixes in the order in which they were added.
	ring []uint64
	next int
}

func (s *prefixSet) has(prefix uint64) bool {
	_, ok := s.known[prefix]
	return ok
}

// add remembers a prefix and forgets the oldest one if there are too many.
func (s *prefixSet) add(prefix uint64) {
	if s.has(prefix) {
		return
	}
	if s.known == nil {
		s.known = make(map[uint64]struct{}, prefixLimit)
	}
	s.known[prefix] = struct{}{}
	if len(s.ring) < prefixLimit {
		s.ring = append(s.ring, prefix)
		return
	}
	delete(s.known, s.ring[s.next])
	s.ring[s.next] = prefix
	s.next = (s.next + 1) % prefixLimit
}

// remove forgets a prefix. Its place in the ring is used again when its turn
// comes.
func (s *prefixSet) remove(prefix uint64) { delete(s.known, prefix) }
