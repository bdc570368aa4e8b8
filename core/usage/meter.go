package usage

import (
	"hash/maphash"
	"sync"
	"time"
)

// meterShards is the number of independently locked shards of a Meter.
const meterShards = 32

// Meter accumulates usage. It is safe for concurrent use; Add locks one of several
// shards for a few instructions.
//
// Charges accumulate without rounding errors. TakePart rounds each amount down to a
// millionth of the currency unit and leaves the remainder in the meter for a later
// part. So over the whole life of the meter, a client account is never charged too
// much, and for each key less than one millionth too little.
type Meter struct {
	seed   maphash.Seed
	shards [meterShards]meterShard
}

// meterShard holds the totals of some keys.
type meterShard struct {
	mu     sync.Mutex
	totals map[Key]*total
	_      [40]byte // padding against false sharing of cache lines
}

// total is what has accrued for one key since the last TakePart.
type total struct {
	work Work
	// picos is the charge that is not in a part yet, in millionths of a millionth
	// of the currency unit.
	picos int64
}

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	m := &Meter{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].totals = make(map[Key]*total)
	}
	return m
}

// Add adds work for key, charged at the given price.
func (m *Meter) Add(key Key, work Work, price Price) {
	shard := &m.shards[maphash.Comparable(m.seed, key)%meterShards]
	picos := price.PicoCharge(work)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	sum := shard.totals[key]
	if sum == nil {
		sum = &total{}
		shard.totals[key] = sum
	}
	sum.work.Requests += work.Requests
	sum.work.PromptTokens += work.PromptTokens
	sum.work.CompletionTokens += work.CompletionTokens
	sum.picos += picos
}

// TakePart removes the accrued usage from the meter and returns it as a part of the
// window of the given length that contains now. The part has no lines if nothing has
// accrued.
func (m *Meter) TakePart(now time.Time, length time.Duration) Part {
	var lines []Line
	for i := range m.shards {
		lines = m.shards[i].takeLines(lines)
	}
	return Part{Window: WindowStart(now, length), Lines: Sum(lines)}
}

// takeLines appends the accrued usage of the shard to lines and resets it, except
// for remainders below a millionth of the currency unit.
func (s *meterShard) takeLines(lines []Line) []Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, sum := range s.totals {
		line := Line{Key: key, Work: sum.work, Amount: sum.picos / tokensPerPriceUnit}
		sum.work = Work{}
		sum.picos %= tokensPerPriceUnit
		if sum.picos == 0 {
			delete(s.totals, key)
		}
		if line.Work != (Work{}) || line.Amount != 0 {
			lines = append(lines, line)
		}
	}
	return lines
}
