package usage

import (
	"hash/maphash"
	"sync"
	"time"
)

// meterShards is the number of independently locked parts of a Meter.
const meterShards = 32

// Meter accumulates what ran. It is safe for concurrent use; Add locks one of
// several shards for a few instructions.
//
// Charges are kept exactly. Close rounds each amount down to a millionth of
// the currency unit and leaves the remainder in the meter for a later part, so
// that a client account is charged less than one millionth too little for each
// key over the whole life of the meter, and never too much.
type Meter struct {
	seed   maphash.Seed
	shards [meterShards]meterShard
}

// meterShard holds the counters of some keys.
type meterShard struct {
	mu       sync.Mutex
	counters map[Key]*counter
	_        [40]byte // keeps neighbours off the same cache line
}

// counter is what has accrued for one key since the last Close.
type counter struct {
	work Work
	// shares is the charge that is not yet in a part.
	shares int64
}

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	m := &Meter{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].counters = make(map[Key]*counter)
	}
	return m
}

// Add counts work for key at the given price.
func (m *Meter) Add(key Key, work Work, price Price) {
	shard := &m.shards[maphash.Comparable(m.seed, key)%meterShards]
	shares := price.PicoCharge(work)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	c := shard.counters[key]
	if c == nil {
		c = &counter{}
		shard.counters[key] = c
	}
	c.work.Requests += work.Requests
	c.work.PromptTokens += work.PromptTokens
	c.work.CompletionTokens += work.CompletionTokens
	c.shares += shares
}

// TakePart takes what has accrued as a part of the window of the given length
// that holds now. The part has no lines if nothing ran.
func (m *Meter) TakePart(now time.Time, length time.Duration) Part {
	var lines []Line
	for i := range m.shards {
		lines = m.shards[i].take(lines)
	}
	return Part{Window: WindowStart(now, length), Lines: Sum(lines)}
}

// take appends what has accrued in the shard to lines and resets it, but for
// remainders below a millionth of the currency unit.
func (s *meterShard) take(lines []Line) []Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.counters {
		line := Line{Key: key, Work: c.work, Amount: c.shares / tokensPerPrice}
		c.work = Work{}
		c.shares %= tokensPerPrice
		if c.shares == 0 {
			delete(s.counters, key)
		}
		if line.Work != (Work{}) || line.Amount != 0 {
			lines = append(lines, line)
		}
	}
	return lines
}
