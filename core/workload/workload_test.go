package workload_test

import (
	"testing"

	"acaciapath.example/core/workload"

	qt "github.com/frankban/quicktest"
)

func TestSharedPrefix(t *testing.T) {
	c := qt.New(t)
	w := workload.Work{Parts: []workload.PromptPart{{ID: 1, Tokens: 800}, {ID: 2, Tokens: 410}, {ID: 3, Tokens: 250}}}
	c.Assert(w.SharedPrefixKey(), qt.Equals, uint64(2))
	c.Assert(w.SharedPrefixTokens(), qt.Equals, 1210)
	c.Assert(w.SharedParts(), qt.DeepEquals, w.Parts[:2])
	w.Parts = w.Parts[:1]
	c.Assert(w.SharedPrefixKey(), qt.Equals, uint64(0))
	c.Assert(w.SharedPrefixTokens(), qt.Equals, 0)
	c.Assert(w.SharedParts(), qt.HasLen, 0)
	c.Assert(workload.Work{}.SharedPrefixTokens(), qt.Equals, 0)
	c.Assert(workload.Work{}.SharedParts(), qt.HasLen, 0)
}
