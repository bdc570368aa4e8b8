package follow

import (
	"cmp"
	"slices"
	"time"
)

// maxChanges is the number of changes that a Log keeps. A follower that lacks more
// gets all rows.
const maxChanges = 4096

// Entry is a row of a table, or the deletion of one.
type Entry struct {
	// Key identifies the row in its table.
	Key string
	// Data is the content, or nil if the row was deleted.
	Data []byte
	// Version is the version of the store in which the row was last changed.
	Version uint64
	// Deleted states that the row was deleted.
	Deleted bool
}

// News is what changed in a table.
type News struct {
	// Entries are the changes, sorted by version, or all rows if Snapshot is set.
	Entries []Entry
	// Snapshot states that Entries are all rows of the table.
	Snapshot bool
	// Version is the version of the store up to which the news are complete.
	Version uint64
	// Restored states that the store has answered again only since a moment ago. Rows
	// that it removed during the outage may be written again.
	Restored bool
	// Failing states that the store does not answer the reader at present. Version and
	// the rows are then those of its last answer.
	Failing bool
	// StoreTime is the time of the store's answer by its own steady clock, or 0 if it is not
	// known.
	StoreTime time.Duration
}

// Log holds the rows of a table and its latest changes. The zero value is empty and
// has version 0. It is not safe for concurrent use.
type Log struct {
	rows map[string]Entry
	// changes are sorted by version. They are complete after version complete.
	changes  []Entry
	complete uint64
	version  uint64
}

// Version returns the version of the store up to which the log is complete, or 0 if
// it is empty.
func (l *Log) Version() uint64 { return l.version }

// Apply adds news. Those of an older version than that of the log are ignored.
func (l *Log) Apply(news News) {
	if news.Version < l.version {
		return
	}
	if news.Snapshot {
		l.rows, l.changes, l.complete = make(map[string]Entry, len(news.Entries)), nil, news.Version
	}
	if l.rows == nil {
		l.rows = make(map[string]Entry)
	}
	for _, e := range news.Entries {
		if e.Deleted {
			delete(l.rows, e.Key)
		} else {
			l.rows[e.Key] = e
		}
		if !news.Snapshot {
			l.changes = append(l.changes, e)
		}
	}
	if excess := len(l.changes) - maxChanges; excess > 0 {
		l.complete = l.changes[excess-1].Version
		l.changes = slices.Delete(l.changes, 0, excess)
	}
	l.version = news.Version
}

// Since returns the news after a version, or all rows if the log does not have all
// changes after it. ok is false if the log itself is older than that version.
func (l *Log) Since(after uint64) (news News, ok bool) {
	switch {
	case l.version == 0 || after > l.version:
		return News{}, false
	case after < l.complete:
		news := News{Snapshot: true, Version: l.version}
		for _, e := range l.rows {
			news.Entries = append(news.Entries, e)
		}
		slices.SortFunc(news.Entries, func(a, b Entry) int { return cmp.Compare(a.Version, b.Version) })
		return news, true
	}
	first, _ := slices.BinarySearchFunc(l.changes, after, func(e Entry, v uint64) int {
		if e.Version <= v {
			return -1
		}
		return 1
	})
	return News{Entries: slices.Clone(l.changes[first:]), Version: l.version}, true
}
