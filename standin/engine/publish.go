package engine

import (
	"slices"
	"sort"
	"time"

	"acaciapath.example/core/engine"
)

// eventLimit is the number of cache events that are kept to be published.
const eventLimit = 10_000

// events are the cache events that an engine publishes.
type events struct {
	lag  time.Duration
	loss int    // every loss-th event is lost; 0 means none
	last uint64 // sequence number of the last event
	kept []engine.CacheEvent
}

// add adds an event, unless it is to be lost.
func (e *events) add(event engine.CacheEvent) {
	e.last++
	event.Seq = e.last
	if e.loss > 0 && e.last%uint64(e.loss) == 0 {
		return
	}
	if len(e.kept) >= eventLimit {
		e.kept = slices.Delete(e.kept, 0, eventLimit/2)
	}
	e.kept = append(e.kept, event)
}

// after returns the events after a sequence number that are published at now.
func (e *events) after(seq uint64, now time.Time) []engine.CacheEvent {
	first := sort.Search(len(e.kept), func(i int) bool { return e.kept[i].Seq > seq })
	published := now.Add(-e.lag)
	found := []engine.CacheEvent{}
	for _, event := range e.kept[first:] {
		if event.At.After(published) {
			break
		}
		found = append(found, event)
	}
	return found
}

// loads are the load of an engine over the time that it lags.
type loads struct {
	lag   time.Duration
	taken []engine.Load // oldest first
}

// add adds a load that was taken now.
func (l *loads) add(load engine.Load) {
	l.taken = append(l.taken, load)
	l.prune(load.At)
}

// published returns the load that is published at now. It is as old as the lag,
// or less if the engine is not that old.
func (l *loads) published(now time.Time) engine.Load {
	l.prune(now)
	load := l.taken[0]
	if shown := now.Add(-l.lag); shown.After(load.At) {
		load.At = shown
	}
	return load
}

// prune drops the loads before the one that is published at now.
func (l *loads) prune(now time.Time) {
	shown := now.Add(-l.lag)
	for len(l.taken) > 1 && !l.taken[1].At.After(shown) {
		l.taken = l.taken[1:]
	}
}
