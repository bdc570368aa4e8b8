package scheduler_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/core/dispatch"
	"acaciapath.example/core/replica"
	"acaciapath.example/entryd/scheduler"

	qt "github.com/frankban/quicktest"
)

// TestRequestsCancelledTogether cancels a request whose slot is free, as at the drain timeout,
// when the requests that run and those that wait are cancelled together. It must not be started.
func TestRequestsCancelledTogether(t *testing.T) {
	c := qt.New(t)
	s := scheduler.New("quito-a", time.Now, rand.New(rand.NewPCG(1, 2)))
	s.SetReplicas([]replica.Spec{{
		Name: "a", Address: "127.0.0.1:1", FailureDomain: "quito-a", Serves: []string{"assistant"},
		Kind: config.KindStandard, Slots: 1,
	}})
	request := dispatch.Request{
		Service: "assistant", Account: &config.ClientAccount{Name: "shop", Classes: []string{"chat"}},
		Class: &config.ServiceClass{Name: "chat", Tier: 1, MaxWait: 10 * time.Second, QueueLimit: 4}, PromptTokens: 10,
	}
	reason := errors.New("drain timeout")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(reason)
	for range 3 {
		slot, err := s.Acquire(ctx, request)
		c.Assert(err, qt.Equals, reason)
		c.Assert(slot, qt.IsNil)
	}
	slot, err := s.Acquire(t.Context(), request)
	c.Assert(err, qt.IsNil)
	slot.Finish(dispatch.Result{})
}
