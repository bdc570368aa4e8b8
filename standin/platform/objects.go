package platform

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"acaciapath.example/core/gen/objects"

	"github.com/ansel1/merry/v2"
)

// Errors of the object store.
var (
	errObjectNotFound = merry.Sentinel("platform: there is no such object")
	errObjectDiffers  = merry.Sentinel("platform: an object of this name has another content")
)

// objectService is the object store.
type objectService struct {
	server  *Server
	mu      sync.Mutex // guards the field below
	objects map[string][]byte
}

var _ objects.Service = (*objectService)(nil)

func newObjectService(s *Server) *objectService {
	return &objectService{server: s, objects: make(map[string][]byte)}
}

// Put stores an object. It returns an error if the object exists with different
// content.
func (o *objectService) Put(ctx context.Context, p *objects.PutPayload) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	old, ok := o.objects[p.Name]
	switch {
	case !ok:
		o.objects[p.Name] = append([]byte{}, p.Data...)
		o.server.record(ctx, LogEntry{ID: p.Name, Outcome: Done})
	case bytes.Equal(old, p.Data):
		o.server.record(ctx, LogEntry{ID: p.Name, Outcome: Repeated})
	default:
		o.server.record(ctx, LogEntry{ID: p.Name, Outcome: Conflict})
		return merry.Wrap(errObjectDiffers, merry.WithValue("name", p.Name))
	}
	return nil
}

// Get returns the content of an object, or a not-found error.
func (o *objectService) Get(ctx context.Context, p *objects.GetPayload) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[p.Name]
	if !ok {
		o.server.record(ctx, LogEntry{ID: p.Name, Outcome: NotFound})
		return nil, objects.MakeNotFound(errObjectNotFound)
	}
	o.server.record(ctx, LogEntry{ID: p.Name, Outcome: Done})
	return slices.Clone(data), nil
}
