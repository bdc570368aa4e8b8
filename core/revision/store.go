package revision

import (
	"context"
	"slices"

	"acaciapath.example/core/config"
	"acaciapath.example/core/gen/objects"
	"acaciapath.example/core/gen/table"
	"acaciapath.example/core/platformapi"

	"github.com/ansel1/merry/v2"
)

// listLimit is the maximum number of rows that the table service returns in one
// call of List.
const listLimit = 1000

// Store reads and writes the revisions in the platform. It is safe for concurrent
// use.
type Store struct {
	platform *platformapi.Client
}

// NewStore returns a store on the table service and the object store of p.
func NewStore(p *platformapi.Client) *Store { return &Store{platform: p} }

// Head returns the number of the newest revision, or 0 if there is none.
// It returns ErrUnavailable or ErrCorrupt.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// Get returns the metadata of a revision.
// It returns ErrNotFound, ErrUnavailable or ErrCorrupt.
func (s *Store) Get(ctx context.Context, revision uint64) (Meta, error) {
	rows, err := s.platform.Read(ctx, revisionKey(revision))
	if err != nil {
		return Meta{}, unavailable(err)
	}
	if rows[0].Version == 0 {
		return Meta{}, merry.Wrap(ErrNotFound, merry.AppendMessagef("%d", revision))
	}
	return decodeRow[Meta](rows[0].Value)
}

// Content returns the stored form of a revision's files and verifies its hash.
// It returns ErrNotFound, ErrUnavailable, ErrCorrupt or ErrTooLarge.
func (s *Store) Content(ctx context.Context, revision uint64) ([]byte, error) {
	meta, err := s.Get(ctx, revision)
	if err != nil {
		return nil, err
	}
	data, err := s.platform.Objects.Get(ctx, &objects.GetPayload{Name: meta.ObjectName})
	if platformapi.IsNotFound(err) {
		return nil, corrupt(err)
	}
	if err != nil {
		return nil, unavailable(err)
	}
	if err := verify(data, meta.SHA256); err != nil {
		return nil, err
	}
	return data, nil
}

// Files returns the files of a revision, sorted by name.
// It returns ErrNotFound, ErrUnavailable, ErrCorrupt or ErrTooLarge.
func (s *Store) Files(ctx context.Context, revision uint64) ([]config.File, error) {
	data, err := s.Content(ctx, revision)
	if err != nil {
		return nil, err
	}
	return Unpack(data)
}

// History returns the metadata of up to limit revisions, newest first.
// It returns ErrUnavailable or ErrCorrupt.
func (s *Store) History(ctx context.Context, limit int) ([]Meta, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	count := min(uint64(max(limit, 0)), head)
	history := make([]Meta, 0, count)
	for revision := head - count; uint64(len(history)) < count; {
		page := min(int(count)-len(history), listLimit)
		metas, err := s.list(ctx, revision, page)
		if err != nil {
			return nil, err
		}
		history = append(history, metas...)
		revision += uint64(len(metas))
	}
	slices.Reverse(history)
	return history, nil
}

// list returns the metadata of limit revisions, oldest first, beginning with the
// one that follows the revision after. It returns ErrCorrupt if there are fewer.
func (s *Store) list(ctx context.Context, after uint64, limit int) ([]Meta, error) {
	rows, err := s.platform.Table.List(ctx, &table.ListPayload{
		Prefix: revisionPrefix,
		After:  revisionKey(after),
		Limit:  limit,
	})
	if err != nil {
		return nil, unavailable(err)
	}
	if len(rows) != limit {
		return nil, merry.Wrap(ErrCorrupt, merry.AppendMessage("revisions are missing"))
	}
	metas := make([]Meta, len(rows))
	for i, row := range rows {
		if metas[i], err = decodeRow[Meta](row.Value); err != nil {
			return nil, err
		}
	}
	return metas, nil
}

// readHead returns the newest revision and the version of the head row.
func (s *Store) readHead(ctx context.Context) (head, version uint64, err error) {
	rows, err := s.platform.Read(ctx, headKey)
	if err != nil {
		return 0, 0, unavailable(err)
	}
	if rows[0].Version == 0 {
		return 0, 0, nil
	}
	value, err := decodeRow[headValue](rows[0].Value)
	return value.Revision, rows[0].Version, err
}
