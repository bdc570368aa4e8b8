package engine

import (
	"slices"
	"sort"
	"time"

	"acaciapath.example/core/engine"
)

// maxCacheEvents is the maximum number of cache events that are kept. When it is
// reached, the older half is dropped.
const maxCacheEvents = 10_000

// cacheEventLog holds the cache events that an engine publishes.
type cacheEventLog struct {
	lag       time.Duration
	dropEvery int    // every dropEvery-th event is lost; 0 means that none is lost
	lastSeq   uint64 // sequence number of the newest event
	events    []engine.CacheEvent
}

// add assigns the next sequence number to an event and keeps it unless it is one
// of those to be lost.
func (e *cacheEventLog) add(event engine.CacheEvent) {
	e.lastSeq++
	event.Seq = e.lastSeq
	if e.dropEvery > 0 && e.lastSeq%uint64(e.dropEvery) == 0 {
		return
	}
	if len(e.events) >= maxCacheEvents {
		e.events = slices.Delete(e.events, 0, maxCacheEvents/2)
	}
	e.events = append(e.events, event)
}

// after returns the events with sequence numbers above seq that are published by
// now.
func (e *cacheEventLog) after(seq uint64, now time.Time) []engine.CacheEvent {
	first := sort.Search(len(e.events), func(i int) bool { return e.events[i].Seq > seq })
	cutoff := now.Add(-e.lag)
	found := []engine.CacheEvent{}
	for _, event := range e.events[first:] {
		if event.At.After(cutoff) {
			break
		}
		found = append(found, event)
	}
	return found
}

// loadHistory holds the recent loads of an engine and publishes them with a lag.
type loadHistory struct {
	lag       time.Duration
	snapshots []engine.Load // oldest first
}

// add adds the load of the current time, load.At.
func (l *loadHistory) add(load engine.Load) {
	l.snapshots = append(l.snapshots, load)
	l.prune(load.At)
}

// published returns the load that is published at now. Its age is the lag, or
// less if the engine has not run that long.
func (l *loadHistory) published(now time.Time) engine.Load {
	l.prune(now)
	load := l.snapshots[0]
	if cutoff := now.Add(-l.lag); cutoff.After(load.At) {
		load.At = cutoff
	}
	return load
}

// prune drops the loads that are older than the one published at now.
func (l *loadHistory) prune(now time.Time) {
	cutoff := now.Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].At.After(cutoff) {
		l.snapshots = l.snapshots[1:]
	}
}
