package forwarding

import "time"

const (
	// logInterval is the least time between two lines of one kind.
	logInterval = time.Second
	// firstUseInterval is the time without an answer from a neighbour after which its next one is
	// logged again.
	firstUseInterval = 10 * time.Second
)

// changeLog decides which lines about neighbours are logged. It is not safe for concurrent use.
type changeLog struct {
	// lastAnswers are the times of the last answers, by neighbour.
	lastAnswers map[string]time.Time
	// failures and nones are lines of refusals and of requests that no neighbour took on.
	failures, nones lineLimit
}

// answered reports whether the answer of a neighbour is logged: the first one for a while.
func (l *changeLog) answered(via string, now time.Time) bool {
	if l.lastAnswers == nil {
		l.lastAnswers = make(map[string]time.Time)
	}
	last, ok := l.lastAnswers[via]
	for other, at := range l.lastAnswers {
		if now.Sub(at) > firstUseInterval {
			delete(l.lastAnswers, other)
		}
	}
	l.lastAnswers[via] = now
	return !ok || now.Sub(last) > firstUseInterval
}

// failed reports whether a failure is logged, and how many were not since the last line.
func (l *changeLog) failed(now time.Time) (suppressed int, ok bool) { return l.failures.allow(now) }

// none is the same for a request that no neighbour took on.
func (l *changeLog) none(now time.Time) (suppressed int, ok bool) { return l.nones.allow(now) }

// lineLimit allows at most one line a logInterval.
type lineLimit struct {
	last       time.Time
	suppressed int
}

// allow reports whether a line may be written, and how many were suppressed before it.
func (l *lineLimit) allow(now time.Time) (suppressed int, ok bool) {
	if !l.last.IsZero() && now.Sub(l.last) < logInterval {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.last, l.suppressed = now, 0
	return suppressed, true
}
