package access

import (
	"context"
	"sync/atomic"
	"time"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
	"acaciapath.example/core/refusal"

	"github.com/ansel1/merry/v2"
)

// ErrWithdrawn is the cause that cancels the contexts of a Grant whose key was
// withdrawn.
var ErrWithdrawn = merry.Sentinel("access: key was withdrawn")

// ErrUnconfirmed is the cause that cancels the contexts of a Grant when the
// daemon can no longer confirm that the key is valid.
var ErrUnconfirmed = merry.Sentinel("access: key cannot be confirmed")

// unconfirmedRetryAfter is when a caller whose key cannot be confirmed may try
// again. Other entry daemons are likely to have a current configuration.
const unconfirmedRetryAfter = time.Second

// Grant is the permission to use one key until the key is withdrawn.
type Grant struct {
	// Key is the key in the revision for which the grant was made.
	Key *config.Key
	// Account is the client account that the key belongs to.
	Account *config.ClientAccount

	lifetime *lifetime
}

// lifetime is shared by the grants of one key in successive revisions.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// BindContext returns a context that is cancelled with ctx, or with the cause
// ErrWithdrawn or ErrUnconfirmed when the grant ends. The caller must call the
// returned function when the context is no longer used.
func (g *Grant) BindContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	joined, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.lifetime.ctx, func() { cancel(context.Cause(g.lifetime.ctx)) })
	return joined, func(cause error) {
		stop()
		cancel(cause)
	}
}

// Err returns ErrWithdrawn or ErrUnconfirmed once the grant has ended,
// otherwise nil. It does so before the contexts from BindContext are cancelled.
func (g *Grant) Err() error { return context.Cause(g.lifetime.ctx) }

// Snapshot is the configuration in force and the grants of its keys. It is
// immutable.
type Snapshot struct {
	// Index is the configuration in force.
	Index *config.Index
	// KeysUnconfirmed is true if the daemon cannot know which keys were
	// withdrawn. No key is accepted then.
	KeysUnconfirmed bool

	grants map[[32]byte]*Grant
}

// Grant returns the grant for an Authorization header, or the refusal if there
// is none.
func (s *Snapshot) Grant(authorization string) (*Grant, *refusal.Refusal) {
	if authorization == "" {
		return nil, refusal.New(refusal.KeyMissing, "send the key as a bearer token in the Authorization header")
	}
	key := apikey.FromAuthorization(authorization)
	if key == "" {
		return nil, refusal.New(refusal.KeyInvalid, "the Authorization header holds no bearer token")
	}
	hash := apikey.Hash(key)
	if grant := s.grants[hash]; grant != nil {
		return grant, nil
	}
	if key := s.Index.Key(hash); key != nil {
		if s.KeysUnconfirmed && !key.Withdrawn {
			return nil, UnconfirmedRefusal(refusal.NotRun)
		}
		return nil, WithdrawnRefusal(refusal.NotRun)
	}
	return nil, refusal.New(refusal.KeyInvalid, "the key is not known")
}

// Class returns the service class of a request, or the refusal if there is
// none. An empty name stands for the default class of the key.
func (s *Snapshot) Class(g *Grant, name string) (*config.ServiceClass, *refusal.Refusal) {
	if name == "" {
		name = g.Key.DefaultClass
	}
	class := s.Index.Class(name)
	if class == nil || !g.Account.HasClass(name) {
		return nil, refusal.New(refusal.ClassNotBought, "the client account has not bought this service class")
	}
	return class, nil
}

// WithdrawnRefusal returns the refusal of a request whose key was withdrawn.
func WithdrawnRefusal(run refusal.RunState) *refusal.Refusal {
	return &refusal.Refusal{Code: refusal.KeyWithdrawn, Message: "the key has been withdrawn", RunState: run}
}

// UnconfirmedRefusal returns the refusal of a request whose key cannot be
// confirmed.
func UnconfirmedRefusal(run refusal.RunState) *refusal.Refusal {
	r := &refusal.Refusal{
		Code:     refusal.KeysUnconfirmed,
		Message:  "the entry VM reaches neither the platform nor its neighbours and cannot confirm the key",
		RunState: run,
	}
	return r.WithRetryAfter(unconfirmedRetryAfter)
}

// Manager holds the snapshot in force. One goroutine replaces it while others
// read.
type Manager struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the snapshot in force, or nil before the first Replace.
func (l *Manager) Load() *Snapshot { return l.current.Load() }

// Replace puts a configuration in force and ends the grants of the keys that it
// withdraws or does not contain. It must not be called concurrently with itself
// or Suspend.
func (l *Manager) Replace(index *config.Index) {
	old := l.current.Load()
	next := &Snapshot{Index: index, grants: make(map[[32]byte]*Grant, len(index.Config.Keys))}
	for i := range index.Config.Keys {
		key := &index.Config.Keys[i]
		account := index.Account(key.ClientAccount)
		if key.Withdrawn || account == nil {
			continue
		}
		next.grants[key.Hash] = &Grant{Key: key, Account: account, lifetime: lifetimeOf(old, key)}
	}
	l.current.Store(next)
	endRemoved(old, next, ErrWithdrawn)
}

// Suspend ends all grants until the next Replace, because the daemon cannot
// know which keys were withdrawn. It must not be called concurrently with
// itself or Replace.
func (l *Manager) Suspend() {
	old := l.current.Load()
	if old == nil || old.KeysUnconfirmed {
		return
	}
	next := &Snapshot{Index: old.Index, KeysUnconfirmed: true}
	l.current.Store(next)
	endRemoved(old, next, ErrUnconfirmed)
}

// lifetimeOf returns the lifetime of the key in the old snapshot if it belonged
// to the same client account, otherwise a new one.
func lifetimeOf(old *Snapshot, key *config.Key) *lifetime {
	if old != nil {
		if g := old.grants[key.Hash]; g != nil && g.Key.ClientAccount == key.ClientAccount {
			return g.lifetime
		}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	return &lifetime{ctx: ctx, cancel: cancel}
}

// endRemoved ends the lifetimes that the next snapshot does not contain.
func endRemoved(old, next *Snapshot, cause error) {
	if old == nil {
		return
	}
	for hash, g := range old.grants {
		if n := next.grants[hash]; n == nil || n.lifetime != g.lifetime {
			g.lifetime.cancel(cause)
		}
	}
}
