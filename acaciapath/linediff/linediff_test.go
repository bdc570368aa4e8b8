package linediff_test

import (
	"fmt"
	"testing"

	"acaciapath.example/acaciapath/linediff"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func ExampleUnified() {
	before := "[class chat]\ntier = 1\nmax-wait = 5s\n"
	after := "[class chat]\ntier = 1\nmax-wait = 8s\nqueue-limit = 40\n"
	fmt.Print(linediff.Unified("revision 1", "revision 2", before, after))
	// Output:
	// --- revision 1
	// +++ revision 2
	// @@ -1,3 +1,4 @@
	//  [class chat]
	//  tier = 1
	// -max-wait = 5s
	// +max-wait = 8s
	// +queue-limit = 40
}

func TestUnifiedEqualAndEmptyTexts(t *testing.T) {
	c := qt.New(t)
	c.Assert(linediff.Unified("a", "b", "x\n", "x\n"), qt.Equals, "")
	c.Assert(linediff.Unified("a", "b", "", "x\n"), qt.Equals, "--- a\n+++ b\n@@ -0,0 +1,1 @@\n+x\n")
}

// TestCompareReproducesTexts checks on random texts that the edits reproduce both
// texts.
func TestCompareReproducesTexts(t *testing.T) {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 12)
	rapid.Check(t, func(t *rapid.T) {
		before, after := lines.Draw(t, "before"), lines.Draw(t, "after")
		var gotBefore, gotAfter []string
		for _, e := range linediff.Compare(before, after) {
			if e.Operation != linediff.Insert {
				gotBefore = append(gotBefore, e.Line)
			}
			if e.Operation != linediff.Delete {
				gotAfter = append(gotAfter, e.Line)
			}
		}
		if fmt.Sprint(gotBefore) != fmt.Sprint(before) || fmt.Sprint(gotAfter) != fmt.Sprint(after) {
			t.Fatalf("edits from %v to %v reproduce %v and %v", before, after, gotBefore, gotAfter)
		}
	})
}
