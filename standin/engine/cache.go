package engine

import "container/list"

// cache is a prefix cache that evicts the least recently used prefix.
type cache struct {
	size    int // in tokens
	used    int // in tokens
	recent  *list.List
	entries map[uint64]*list.Element
	changed func(stored bool, hash uint64)
}

// cacheEntry is a prefix with the number of tokens that it adds to the next
// shorter one.
type cacheEntry struct {
	hash   uint64
	tokens int
}

// newCache returns an empty cache that reports its changes to changed.
func newCache(size int, changed func(stored bool, hash uint64)) *cache {
	return &cache{
		size:    size,
		recent:  list.New(),
		entries: make(map[uint64]*list.Element),
		changed: changed,
	}
}

// match returns the number of tokens of the longest of the prefixes, shortest
// first, that is in the cache, and uses it.
func (c *cache) match(prefixes []prefix) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if c.entries[prefixes[i].hash] != nil {
			c.use(prefixes[:i+1])
			return prefixes[i].tokens
		}
	}
	return 0
}

// use marks the prefixes as used, the shortest as the last.
func (c *cache) use(prefixes []prefix) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if element := c.entries[prefixes[i].hash]; element != nil {
			c.recent.MoveToFront(element)
		}
	}
}

// store brings in the prefixes, shortest first, and evicts others for them. It
// leaves out those that are larger than the whole cache.
func (c *cache) store(prefixes []prefix) {
	shorter := 0
	for _, p := range prefixes {
		if p.tokens > c.size {
			break
		}
		c.storeOne(cacheEntry{hash: p.hash, tokens: p.tokens - shorter})
		shorter = p.tokens
	}
	c.use(prefixes)
	for c.used > c.size {
		c.evict()
	}
}

// resize changes the size, and evicts what does not fit any more.
func (c *cache) resize(size int) {
	c.size = size
	for c.used > c.size && c.recent.Len() > 0 {
		c.evict()
	}
}

func (c *cache) storeOne(entry cacheEntry) {
	if c.entries[entry.hash] != nil {
		return
	}
	c.entries[entry.hash] = c.recent.PushFront(entry)
	c.used += entry.tokens
	c.changed(true, entry.hash)
}

// evict removes the least recently used prefix.
func (c *cache) evict() {
	entry := c.recent.Remove(c.recent.Back()).(cacheEntry)
	delete(c.entries, entry.hash)
	c.used -= entry.tokens
	c.changed(false, entry.hash)
}

// usage returns the share of the cache that is in use.
func (c *cache) usage() float64 {
	if c.size <= 0 {
		return 0
	}
	return float64(c.used) / float64(c.size)
}
