package claim_test

import (
	"testing"
	"time"

	"acaciapath.example/core/claim"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	c := qt.New(t)
	const timeout = 10 * time.Second
	own := claim.Claim{ID: "own", Fingerprint: "f"}
	other := claim.Claim{ID: "other", Fingerprint: "f", CreatedAt: start}
	with := func(change func(*claim.Claim)) *claim.Claim {
		changed := other
		change(&changed)
		return &changed
	}
	for _, test := range []struct {
		name  string
		found *claim.Claim
		after time.Duration
		want  claim.Action
	}{
		{name: "no row", want: claim.Insert},
		{name: "own claim", found: &own, want: claim.Send},
		{name: "different request with the same key", found: with(func(o *claim.Claim) { o.Fingerprint = "g"; o.Outcome = &claim.Outcome{} }), want: claim.RefuseReused},
		{name: "outcome stored", found: with(func(o *claim.Claim) { o.Outcome = &claim.Outcome{Status: 200} }), want: claim.Replay},
		{name: "outcome too large", found: with(func(o *claim.Claim) { o.Outcome = &claim.Outcome{Truncated: true} }), want: claim.RefuseUnknown},
		{name: "outcome lost", found: with(func(o *claim.Claim) { o.OutcomeLost = true }), want: claim.RefuseUnknown},
		{name: "in progress", found: &other, after: timeout + claim.TimeoutMargin - 1, want: claim.RefuseInProgress},
		{name: "timed out", found: &other, after: timeout + claim.TimeoutMargin, want: claim.RefuseUnknown},
	} {
		c.Run(test.name, func(c *qt.C) {
			c.Assert(claim.Decide(own, test.found, timeout, start.Add(test.after)), qt.Equals, test.want)
		})
	}
}

func TestReleasable(t *testing.T) {
	c := qt.New(t)
	own := claim.Claim{ID: "own"}
	c.Assert(claim.Releasable(own, &own), qt.IsTrue)
	c.Assert(claim.Releasable(own, nil), qt.IsFalse)
	c.Assert(claim.Releasable(own, &claim.Claim{ID: "other"}), qt.IsFalse)
	c.Assert(claim.Releasable(own, &claim.Claim{ID: "own", OutcomeLost: true}), qt.IsFalse)
	c.Assert(claim.Releasable(own, &claim.Claim{ID: "own", Outcome: &claim.Outcome{}}), qt.IsFalse)
}

func TestFingerprintSeparatesParts(t *testing.T) {
	c := qt.New(t)
	base := claim.Fingerprint("POST", "/a", "", []byte("b"))
	c.Assert(claim.Fingerprint("POST", "/a", "", []byte("b")), qt.Equals, base)
	c.Assert(claim.Fingerprint("POST", "/", "a", []byte("b")), qt.Not(qt.Equals), base)
	c.Assert(claim.Fingerprint("PUT", "/a", "", []byte("b")), qt.Not(qt.Equals), base)
}

func TestParse(t *testing.T) {
	c := qt.New(t)
	written := claim.Claim{ID: "i", CreatedAt: start, Outcome: &claim.Outcome{Status: 201, Body: []byte("x")}}
	value, err := written.Marshal()
	c.Assert(err, qt.IsNil)
	read, err := claim.Parse(value)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, written)
	for _, malformed := range []string{"", "[]", "{}"} {
		_, err = claim.Parse([]byte(malformed))
		c.Assert(err, qt.ErrorIs, claim.ErrMalformed)
	}
}
