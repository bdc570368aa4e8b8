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

// ErrWithdrawn is the cause with which the context of a Grant ends.
var ErrWithdrawn = merry.Sentinel("access: key was withdrawn")

// ErrUnconfirmed is the cause with which the context of a Grant ends when it is
// not known any more whether its key was withdrawn.
var ErrUnconfirmed = merry.Sentinel("access: the key cannot be confirmed")

// unconfirmedAfter is when a caller whose key cannot be confirmed may come back;
// other entry daemons are likely to know.
const unconfirmedAfter = time.Second

// Grant is the right to use one key while it is not withdrawn.
type Grant struct {
	// Key is the key as it was in the revision that the grant was made for.
	Key *config.Key
	// Account is the client account that the key belongs to.
	Account *config.ClientAccount

	life *life
}

// life is what the grants of one key share over the revisions.
type life struct {
	ctx context.Context
	end context.CancelCauseFunc
}

// BindContext returns a context that ends with ctx, or with ErrWithdrawn as its cause
// or ErrUnconfirmed as its cause once the key is withdrawn or cannot be confirmed. The caller calls the returned function when the
// context is no longer used.
func (g *Grant) BindContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	joined, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.life.ctx, func() { cancel(context.Cause(g.life.ctx)) })
	return joined, func(cause error) {
		stop()
		cancel(cause)
	}
}

// Err returns ErrWithdrawn or ErrUnconfirmed once the grant has ended, before
// any context ends that was joined.
func (g *Grant) Err() error { return context.Cause(g.life.ctx) }

// Snapshot is the configuration in force and the grants that follow from it.
// It is read-only once built.
type Snapshot struct {
	// Index is the configuration in force.
	Index *config.Index
	// KeysUnconfirmed says that it is not known which keys were withdrawn; no key
	// is accepted then.
	KeysUnconfirmed bool

	grants map[[32]byte]*Grant
}

// Grant returns the grant of an Authorization header, or why there is none.
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

// Class returns the service class of a request, or why it has none. An empty
// name asks for the key's default.
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

// UnconfirmedRefusal returns the refusal of a request whose key cannot be confirmed.
func UnconfirmedRefusal(run refusal.RunState) *refusal.Refusal {
	r := &refusal.Refusal{
		Code:     refusal.KeysUnconfirmed,
		Message:  "the entry VM reaches neither the platform nor its neighbours and cannot confirm the key",
		RunState: run,
	}
	return r.WithRetryAfter(unconfirmedAfter)
}

// Manager holds the snapshot in force. One thread replaces it while others read.
type Manager struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the snapshot in force, or nil before the first.
func (l *Manager) Load() *Snapshot { return l.current.Load() }

// Replace puts a configuration in force and ends the grants of the keys that it
// withdraws or no longer has. It is called by one thread at a time.
func (l *Manager) Replace(index *config.Index) {
	old := l.current.Load()
	next := &Snapshot{Index: index, grants: make(map[[32]byte]*Grant, len(index.Config.Keys))}
	for i := range index.Config.Keys {
		key := &index.Config.Keys[i]
		account := index.Account(key.ClientAccount)
		if key.Withdrawn || account == nil {
			continue
		}
		next.grants[key.Hash] = &Grant{Key: key, Account: account, life: lifeOf(old, key)}
	}
	l.current.Store(next)
	endMissing(old, next, ErrWithdrawn)
}

// Suspend ends all grants until the next Replace, because it is not known which
// keys were withdrawn. It is called by the thread that calls Replace.
func (l *Manager) Suspend() {
	old := l.current.Load()
	if old == nil || old.KeysUnconfirmed {
		return
	}
	next := &Snapshot{Index: old.Index, KeysUnconfirmed: true}
	l.current.Store(next)
	endMissing(old, next, ErrUnconfirmed)
}

// lifeOf returns the life of a key that the old snapshot grants to the same
// client account, or a new one.
func lifeOf(old *Snapshot, key *config.Key) *life {
	if old != nil {
		if g := old.grants[key.Hash]; g != nil && g.Key.ClientAccount == key.ClientAccount {
			return g.life
		}
	}
	ctx, end := context.WithCancelCause(context.Background())
	return &life{ctx: ctx, end: end}
}

// endMissing ends the lives that the next snapshot does not go on with.
func endMissing(old, next *Snapshot, cause error) {
	if old == nil {
		return
	}
	for hash, g := range old.grants {
		if n := next.grants[hash]; n == nil || n.life != g.life {
			g.life.end(cause)
		}
	}
}
