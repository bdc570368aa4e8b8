package engine

import "container/list"

// cache is a prefix cache that evicts the least recently used prefix. Prefixes
// are identified by their hashes.
type cache struct {
	capacity   int // in tokens
	usedTokens int // in tokens
	recent     *list.List
	entries    map[uint64]*list.Element
	onChange   func(stored bool, hash uint64)
}

// cacheEntry is a cached prefix.
type cacheEntry struct {
	hash   uint64
	tokens int // tokens after the end of the next shorter prefix
}

// newCache returns an empty cache with a capacity in tokens. It calls onChange
// for each prefix that is stored or evicted.
func newCache(capacity int, onChange func(stored bool, hash uint64)) *cache {
	return &cache{
		capacity: capacity,
		recent:   list.New(),
		entries:  make(map[uint64]*list.Element),
		onChange: onChange,
	}
}

// match returns the number of tokens of the longest cached prefix, or 0, and
// marks that prefix and the shorter ones as used. The prefixes are ordered by
// increasing length.
func (c *cache) match(prefixes []prefix) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if c.entries[prefixes[i].hash] != nil {
			c.use(prefixes[:i+1])
			return prefixes[i].tokens
		}
	}
	return 0
}

// use marks the prefixes as used, the shortest as the most recently used, so
// that a longer prefix is evicted before the prefixes that it extends.
func (c *cache) use(prefixes []prefix) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if element := c.entries[prefixes[i].hash]; element != nil {
			c.recent.MoveToFront(element)
		}
	}
}

// store adds the prefixes and evicts others to make room. Prefixes larger than
// the whole cache are not stored. The prefixes are ordered by increasing length.
func (c *cache) store(prefixes []prefix) {
	shorter := 0
	for _, p := range prefixes {
		if p.tokens > c.capacity {
			break
		}
		c.storeOne(cacheEntry{hash: p.hash, tokens: p.tokens - shorter})
		shorter = p.tokens
	}
	c.use(prefixes)
	for c.usedTokens > c.capacity {
		c.evict()
	}
}

// resize changes the capacity and evicts prefixes that no longer fit.
func (c *cache) resize(capacity int) {
	c.capacity = capacity
	for c.usedTokens > c.capacity && c.recent.Len() > 0 {
		c.evict()
	}
}

func (c *cache) storeOne(entry cacheEntry) {
	if c.entries[entry.hash] != nil {
		return
	}
	c.entries[entry.hash] = c.recent.PushFront(entry)
	c.usedTokens += entry.tokens
	c.onChange(true, entry.hash)
}

// evict removes the least recently used prefix.
func (c *cache) evict() {
	entry := c.recent.Remove(c.recent.Back()).(cacheEntry)
	delete(c.entries, entry.hash)
	c.usedTokens -= entry.tokens
	c.onChange(false, entry.hash)
}

// usedFraction returns the fraction of the capacity that is in use, between 0
// and 1.
func (c *cache) usedFraction() float64 {
	if c.capacity <= 0 {
		return 0
	}
	return float64(c.usedTokens) / float64(c.capacity)
}
