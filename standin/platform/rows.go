package platform

import (
	"slices"
	"strings"

	"acaciapath.example/core/gen/table"
)

// maxSingleInserts is the maximum number of new keys that are inserted into the
// sorted keys one by one. With more new keys, all keys are sorted again.
const maxSingleInserts = 64

// rowSet is a set of rows that can be listed in key order. Its rows are never
// modified, only replaced.
type rowSet struct {
	rows         map[string]*table.Row
	sortedKeys   []string // all keys except those in unsortedKeys
	unsortedKeys []string // keys added since the last sort
}

func newRowSet() *rowSet { return &rowSet{rows: make(map[string]*table.Row)} }

// get returns the row with the key, or nil if there is none.
func (s *rowSet) get(key string) *table.Row { return s.rows[key] }

// version returns the version of the row with the key, or 0 if there is none.
func (s *rowSet) version(key string) uint64 {
	if row := s.rows[key]; row != nil {
		return row.Version
	}
	return 0
}

// put inserts or replaces a row.
func (s *rowSet) put(row *table.Row) {
	if s.rows[row.Key] == nil {
		s.unsortedKeys = append(s.unsortedKeys, row.Key)
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
	if i, ok := slices.BinarySearch(s.sortedKeys, key); ok {
		s.sortedKeys = slices.Delete(s.sortedKeys, i, i+1)
	}
}

// list returns at most limit rows whose keys have the prefix and are greater
// than after, in key order.
func (s *rowSet) list(prefix, after string, limit int) []*table.Row {
	s.sort()
	start, _ := slices.BinarySearch(s.sortedKeys, max(prefix, after))
	var rows []*table.Row
	for _, key := range s.sortedKeys[start:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, s.rows[key])
		}
	}
	return rows
}

// sort moves the unsorted keys to their places in the sorted keys.
func (s *rowSet) sort() {
	if len(s.unsortedKeys) > maxSingleInserts {
		s.sortedKeys = append(s.sortedKeys, s.unsortedKeys...)
		slices.Sort(s.sortedKeys)
		s.unsortedKeys = s.unsortedKeys[:0]
		return
	}
	for _, key := range s.unsortedKeys {
		i, _ := slices.BinarySearch(s.sortedKeys, key)
		s.sortedKeys = slices.Insert(s.sortedKeys, i, key)
	}
	s.unsortedKeys = s.unsortedKeys[:0]
}
