package access_test

import (
	"context"
	"testing"

	"acaciapath.example/core/apikey"
	"acaciapath.example/core/config"
	"acaciapath.example/core/refusal"
	"acaciapath.example/entryd/access"

	qt "github.com/frankban/quicktest"
)

// newIndex returns a configuration with two keys, one and two, of the same
// client account.
func newIndex(revision uint64, change func(*config.Config)) *config.Index {
	c := &config.Config{
		Classes:  []config.ServiceClass{{Name: "chat", Tier: 1}, {Name: "letters", Tier: 2}},
		Accounts: []config.ClientAccount{{Name: "shop", Classes: []string{"chat"}}},
		Keys: []config.Key{
			{Name: "one", ClientAccount: "shop", Hash: apikey.Hash("key-one"), DefaultClass: "chat"},
			{Name: "two", ClientAccount: "shop", Hash: apikey.Hash("key-two"), DefaultClass: "chat"},
		},
	}
	change(c)
	return config.NewIndex(c, revision)
}

func TestGrant(t *testing.T) {
	c := qt.New(t)
	var manager access.Manager
	c.Assert(manager.Load(), qt.IsNil)
	manager.Replace(newIndex(1, func(c *config.Config) { c.Keys[1].Withdrawn = true }))
	for _, test := range []struct {
		authorization string
		want          refusal.Code
	}{
		{authorization: "", want: refusal.KeyMissing},
		{authorization: "Basic key-one", want: refusal.KeyInvalid},
		{authorization: "Bearer nobody's", want: refusal.KeyInvalid},
		{authorization: "Bearer key-two", want: refusal.KeyWithdrawn},
		{authorization: "bearer key-one"},
	} {
		grant, refused := manager.Load().Grant(test.authorization)
		if test.want == "" {
			c.Assert(grant.Key.Name, qt.Equals, "one")
			continue
		}
		c.Assert(refused.Code, qt.Equals, test.want)
	}
}

func TestClass(t *testing.T) {
	c := qt.New(t)
	var manager access.Manager
	manager.Replace(newIndex(1, func(*config.Config) {}))
	grant, _ := manager.Load().Grant("Bearer key-one")
	class, refused := manager.Load().Class(grant, "")
	c.Assert(refused == nil, qt.IsTrue)
	c.Assert(class.Name, qt.Equals, "chat")
	_, refused = manager.Load().Class(grant, "letters")
	c.Assert(refused.Code, qt.Equals, refusal.ClassNotBought)
}

func TestWithdrawalCancelsRequests(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name    string
		change  func(*config.Config)
		wantEnd bool
	}{
		{name: "nothing changed", change: func(*config.Config) {}},
		{name: "withdrawn", change: func(c *config.Config) { c.Keys[0].Withdrawn = true }, wantEnd: true},
		{name: "deleted", change: func(c *config.Config) { c.Keys = c.Keys[1:] }, wantEnd: true},
		{name: "another client account's", change: func(c *config.Config) {
			c.Accounts = append(c.Accounts, config.ClientAccount{Name: "other"})
			c.Keys[0].ClientAccount = "other"
		}, wantEnd: true},
	} {
		c.Run(test.name, func(c *qt.C) {
			var manager access.Manager
			manager.Replace(newIndex(1, func(*config.Config) {}))
			grant, _ := manager.Load().Grant("Bearer key-one")
			ctx, cancel := grant.BindContext(context.Background())
			defer cancel(nil)
			manager.Replace(newIndex(2, test.change))
			c.Assert(grant.Err() != nil, qt.Equals, test.wantEnd)
			if test.wantEnd {
				<-ctx.Done()
				c.Assert(context.Cause(ctx), qt.ErrorIs, access.ErrWithdrawn)
			}
		})
	}
}
