package revision_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/objects"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"
)

// errLost is an error that does not tell the caller whether the call took effect.
var errLost = errors.New("reply lost")

// fakePlatform is a table service and an object store in memory that can fail.
type fakePlatform struct {
	mu           sync.Mutex
	rows         map[string]*table.Row
	objects      map[string][]byte
	down         bool        // whether all calls fail
	dropReply    func() bool // whether the reply of a commit is lost; may be nil
	beforeCommit func()      // called before each commit; may be nil
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]*table.Row{}, objects: map[string][]byte{}}
}

func (f *fakePlatform) client() *platformapi.Client {
	return &platformapi.Client{Table: fakeTable{f}, Objects: fakeObjects{f}}
}

func (f *fakePlatform) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

type fakeTable struct{ *fakePlatform }

func (f fakeTable) Get(_ context.Context, p *table.GetPayload) ([]*table.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, table.MakeUnavailable(errors.New("down"))
	}
	var rows []*table.Row
	for _, key := range p.Keys {
		if row, ok := f.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (f fakeTable) List(_ context.Context, p *table.ListPayload) ([]*table.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, table.MakeUnavailable(errors.New("down"))
	}
	var rows []*table.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, p.Prefix) && key > p.After {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *table.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(len(rows), p.Limit)], nil
}

func (f fakeTable) Commit(_ context.Context, p *table.CommitPayload) ([]*table.Row, error) {
	if f.beforeCommit != nil {
		f.beforeCommit()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, table.MakeUnavailable(errors.New("down"))
	}
	for _, c := range p.Conditions {
		if row := f.rows[c.Key]; (row == nil && c.Version != 0) || (row != nil && row.Version != c.Version) {
			return nil, &table.Conflict{Message: c.Key}
		}
	}
	for _, w := range p.Writes {
		row := &table.Row{Key: w.Key, Value: w.Value, Version: 1}
		if old := f.rows[w.Key]; old != nil {
			row.Version = old.Version + 1
		}
		f.rows[w.Key] = row
	}
	if f.dropReply != nil && f.dropReply() {
		return nil, errLost
	}
	return nil, nil
}

type fakeObjects struct{ *fakePlatform }

func (f fakeObjects) Put(_ context.Context, p *objects.PutPayload) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return objects.MakeUnavailable(errors.New("down"))
	}
	f.objects[p.Name] = p.Data
	return nil
}

func (f fakeObjects) Get(_ context.Context, p *objects.GetPayload) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, objects.MakeUnavailable(errors.New("down"))
	}
	data, ok := f.objects[p.Name]
	if !ok {
		return nil, objects.MakeNotFound(errors.New(p.Name))
	}
	return data, nil
}

// parse accepts all files except those with the text "bad".
func parse(files []config.File) (*config.Config, error) {
	for _, f := range files {
		if f.Text == "bad" {
			return nil, errors.New("a.ini:1: bad")
		}
	}
	return &config.Config{}, nil
}

// files returns one file with the given text.
func files(text string) []config.File {
	return []config.File{{Name: "a.ini", Text: text}}
}
