package quarantine

// generations is a map that forgets the keys that were not set for long: it holds the
// latest limit keys at least, and twice as many at most.
type generations[K comparable, V any] struct {
	// limit > 0 is the number of keys in a generation.
	limit            int
	current, earlier map[K]V
}

func newGenerations[K comparable, V any](limit int) *generations[K, V] {
	return &generations[K, V]{limit: limit, current: make(map[K]V)}
}

// get returns the value of a key.
func (g *generations[K, V]) get(key K) (V, bool) {
	if v, ok := g.current[key]; ok {
		return v, true
	}
	v, ok := g.earlier[key]
	return v, ok
}

// set sets the value of a key.
func (g *generations[K, V]) set(key K, value V) {
	if _, ok := g.current[key]; !ok && len(g.current) >= g.limit {
		g.current, g.earlier = make(map[K]V), g.current
	}
	g.current[key] = value
}
