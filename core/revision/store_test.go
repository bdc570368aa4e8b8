package revision_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/revision"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// change returns a change that sets the text of the only file.
func change(base uint64, text string) revision.Change {
	return revision.Change{Base: base, Files: files(text), Author: "ana", Message: "set " + text}
}

// applyTexts applies a change for each text, one after the other.
func applyTexts(c *qt.C, store *revision.Store, texts ...string) {
	for _, text := range texts {
		head, err := store.Head(context.Background())
		c.Assert(err, qt.IsNil)
		_, err = store.Apply(context.Background(), change(head, text), start)
		c.Assert(err, qt.IsNil)
	}
}

// TestPackIsDeterministic checks that the stored form does not depend on the order
// of the files, and that Unpack returns the files.
func TestPackIsDeterministic(t *testing.T) {
	c := qt.New(t)
	a, b := config.File{Name: "a", Text: "1"}, config.File{Name: "b", Text: "2"}
	one, err := revision.Pack([]config.File{a, b})
	c.Assert(err, qt.IsNil)
	other, err := revision.Pack([]config.File{b, a})
	c.Assert(err, qt.IsNil)
	c.Assert(one, qt.DeepEquals, other)
	unpacked, err := revision.Unpack(one.Data)
	c.Assert(err, qt.IsNil)
	c.Assert(unpacked, qt.DeepEquals, []config.File{a, b})
	_, err = revision.Unpack([]byte("no bundle"))
	c.Assert(err, qt.ErrorIs, revision.ErrCorrupt)
}

func TestPackRejectsLargeFiles(t *testing.T) {
	c := qt.New(t)
	_, err := revision.Pack(files(strings.Repeat("x", revision.MaxBytes)))
	c.Assert(err, qt.ErrorIs, revision.ErrTooLarge)
}

func TestStore(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := revision.NewStore(newFakePlatform().client())
	head, err := store.Head(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(head, qt.Equals, uint64(0))

	applyTexts(c, store, "one", "two", "three")
	meta, err := store.Get(ctx, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(meta.Parent, qt.Equals, uint64(1))
	c.Assert(meta.AppliedAt.Equal(start), qt.IsTrue)
	got, err := store.Files(ctx, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, files("two"))
	_, err = store.Get(ctx, 4)
	c.Assert(err, qt.ErrorIs, revision.ErrNotFound)

	history, err := store.History(ctx, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(history, qt.HasLen, 2)
	c.Assert(history[0].Message, qt.Equals, "set three")
	c.Assert(history[1].Message, qt.Equals, "set two")
}

func TestApplyUnchanged(t *testing.T) {
	c := qt.New(t)
	store := revision.NewStore(newFakePlatform().client())
	applyTexts(c, store, "one")
	got, err := store.Apply(context.Background(), change(1, "one"), start)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Unchanged, qt.IsTrue)
	c.Assert(got.Meta.Revision, qt.Equals, uint64(1))
}

// TestApplyConflict checks that Apply returns a ConflictError if another revision
// is stored before its commit, and if the base is already old when it starts.
func TestApplyConflict(t *testing.T) {
	c := qt.New(t)
	fake := newFakePlatform()
	store := revision.NewStore(fake.client())
	other := sync.OnceFunc(func() { applyTexts(c, store, "other") })
	fake.beforeCommit = func() {
		fake.beforeCommit = nil
		other()
	}
	_, err := store.Apply(context.Background(), change(0, "mine"), start)
	var conflict *revision.ConflictError
	c.Assert(err, qt.ErrorAs, &conflict)
	c.Assert(conflict.Newest.Revision, qt.Equals, uint64(1))
	c.Assert(conflict.Newest.Message, qt.Equals, "set other")

	_, err = store.Apply(context.Background(), change(0, "mine"), start)
	c.Assert(err, qt.ErrorAs, &conflict)
}

// TestApplyWithLostReplies checks that Apply stores a change exactly once and
// reports success although the replies of its commits are lost.
func TestApplyWithLostReplies(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	for lost := range 8 {
		fake := newFakePlatform()
		remaining := lost
		fake.dropReply = func() bool {
			remaining--
			return remaining >= 0
		}
		store := revision.NewStore(fake.client())
		got, err := store.Apply(ctx, change(0, "one"), start)
		c.Assert(err, qt.IsNil)
		c.Assert(got.Meta.Revision, qt.Equals, uint64(1))
		history, err := store.History(ctx, 10)
		c.Assert(err, qt.IsNil)
		c.Assert(history, qt.HasLen, 1)
	}
}

// TestApplyOutage checks that Apply returns ErrUnavailable if the platform is down
// from the start, and ErrOutcomeUnknown if it goes down during the commit. It also
// checks that applying the same files again then stores no second revision.
func TestApplyOutage(t *testing.T) {
	c := qt.New(t)
	fake := newFakePlatform()
	store := revision.NewStore(fake.client())
	fake.setDown(true)
	_, err := store.Apply(context.Background(), change(0, "one"), start)
	c.Assert(err, qt.ErrorIs, revision.ErrUnavailable)

	fake.setDown(false)
	fake.dropReply = func() bool {
		fake.down = true
		return true
	}
	_, err = store.Apply(context.Background(), change(0, "one"), start)
	c.Assert(err, qt.ErrorIs, revision.ErrOutcomeUnknown)

	fake.setDown(false)
	got, err := store.Apply(context.Background(), change(0, "one"), start)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.CmpEquals(), revision.ApplyResult{Meta: got.Meta, Unchanged: true})
}

func TestContentIsVerified(t *testing.T) {
	c := qt.New(t)
	fake := newFakePlatform()
	store := revision.NewStore(fake.client())
	applyTexts(c, store, "one")
	other, err := revision.Pack(files("two"))
	c.Assert(err, qt.IsNil)
	for name := range fake.objects {
		fake.objects[name] = other.Data
	}
	_, err = store.Content(context.Background(), 1)
	c.Assert(err, qt.ErrorIs, revision.ErrCorrupt)
}

// applyInput is the input of an operation: Apply, or Head if Read is true.
type applyInput struct {
	Read bool
	Base uint64
	Text string
}

// applyOutput is the result of an operation. Applied and OutcomeUnknown are false
// for a read, and for an Apply that returned a conflict.
type applyOutput struct {
	Head           uint64
	Applied        bool
	OutcomeUnknown bool
}

// headState is the state of the model: the newest revision and its text.
type headState struct {
	Head uint64
	Text string
}

// applyModel is a register that can be written only against its newest revision.
var applyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{headState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(headState), input.(applyInput), output.(applyOutput)
		written := headState{Head: in.Base + 1, Text: in.Text}
		switch {
		case in.Read:
			return stateIf(out.Head == s.Head, s)
		case out.OutcomeUnknown && s.Head == in.Base:
			return []any{s, written}
		case out.OutcomeUnknown:
			return []any{s}
		case s.Text == in.Text:
			return stateIf(out.Applied && out.Head == s.Head, s)
		case s.Head == in.Base:
			return stateIf(out.Applied && out.Head == written.Head, written)
		}
		return stateIf(!out.Applied && out.Head == s.Head, s)
	},
}

func stateIf(possible bool, state headState) []any {
	if possible {
		return []any{state}
	}
	return nil
}

// TestConcurrentAppliesAreLinearizable checks the history of operators that apply
// and read concurrently while a third of the replies are lost.
func TestConcurrentAppliesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			recorder := &recorder{start: time.Now()}
			fake := newFakePlatform()
			faults := rand.New(rand.NewPCG(seed, 0))
			fake.dropReply = func() bool { return faults.IntN(3) == 0 }
			store := revision.NewStore(fake.client())
			var wait sync.WaitGroup
			for operator := range 5 {
				random := rand.New(rand.NewPCG(seed, uint64(operator)+1))
				wait.Go(func() { recorder.operate(store, operator, random) })
			}
			wait.Wait()
			result := porcupine.CheckOperationsTimeout(applyModel.ToModel(), recorder.operations, time.Minute)
			c.Assert(result, qt.Equals, porcupine.Ok)
		})
	}
}

// recorder collects the operations of all operators.
type recorder struct {
	start      time.Time
	mu         sync.Mutex
	operations []porcupine.Operation
}

// operate applies changes against the head that the operator's last operation
// returned, and sometimes reads the head.
func (r *recorder) operate(store *revision.Store, operator int, random *rand.Rand) {
	known := uint64(0)
	for step := range 12 {
		in := applyInput{
			Read: random.IntN(4) == 0,
			Base: known,
			Text: fmt.Sprintf("%d-%d", operator, step),
		}
		call := time.Since(r.start).Nanoseconds()
		out := execute(store, in)
		end := time.Since(r.start).Nanoseconds()
		known = out.Head
		r.mu.Lock()
		r.operations = append(r.operations, porcupine.Operation{
			ClientId: operator, Input: in, Output: out, Call: call, Return: end,
		})
		r.mu.Unlock()
	}
}

func execute(store *revision.Store, in applyInput) applyOutput {
	if in.Read {
		head, err := store.Head(context.Background())
		if err != nil {
			panic(err)
		}
		return applyOutput{Head: head}
	}
	got, err := store.Apply(context.Background(), change(in.Base, in.Text), start)
	var conflict *revision.ConflictError
	if errors.As(err, &conflict) {
		return applyOutput{Head: conflict.Newest.Revision}
	}
	if err != nil {
		return applyOutput{OutcomeUnknown: true}
	}
	return applyOutput{Head: got.Meta.Revision, Applied: true}
}
