package platform

import (
	"slices"
	"strings"

	"acaciapath.example/core/gen/table"
)

// maxSingleInserts is the number of new keys up to which each is inserted into
// the order by itself, rather than the order being sorted again.
const maxSingleInserts = 64

// rowSet is a set of rows that lists them in the order of their keys. Its rows
// are never changed, only replaced.
type rowSet struct {
	rows  map[string]*table.Row
	order []string // keys in order, but for those in added
	added []string // keys that are not in order yet
}

func newRowSet() *rowSet { return &rowSet{rows: make(map[string]*table.Row)} }

// get returns the row with the key, or nil.
func (s *rowSet) get(key string) *table.Row { return s.rows[key] }

// version returns the version of the row with the key; 0 if there is none.
func (s *rowSet) version(key string) uint64 {
	if row := s.rows[key]; row != nil {
		return row.Version
	}
	return 0
}

// put inserts or replaces a row.
func (s *rowSet) put(row *table.Row) {
	if s.rows[row.Key] == nil {
		s.added = append(s.added, row.Key)
	}
	s.rows[row.Key] = row
}

// remove deletes the row with the key, if there is one.
func (s *rowSet) remove(key string) {
	if s.rows[key] == nil {
		return
	}
	delete(s.rows, key)
	s.sort()
	if i, ok := slices.BinarySearch(s.order, key); ok {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

// list returns at most limit rows whose keys have the prefix and come after
// the given key.
func (s *rowSet) list(prefix, after string, limit int) []*table.Row {
	s.sort()
	start, _ := slices.BinarySearch(s.order, max(prefix, after))
	var rows []*table.Row
	for _, key := range s.order[start:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, s.rows[key])
		}
	}
	return rows
}

// sort brings the keys that were added into the order.
func (s *rowSet) sort() {
	if len(s.added) > maxSingleInserts {
		s.order = append(s.order, s.added...)
		slices.Sort(s.order)
		s.added = s.added[:0]
		return
	}
	for _, key := range s.added {
		i, _ := slices.BinarySearch(s.order, key)
		s.order = slices.Insert(s.order, i, key)
	}
	s.added = s.added[:0]
}
