package program

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"acaciapath.example/core/finding"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"
)

func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	errAborted := errors.New("requests were aborted")
	for _, test := range []struct {
		name string
		err  error
		want int
	}{
		{name: "clean", err: nil, want: 0},
		{name: "failed", err: errors.New("port in use"), want: ExitFailed},
		{name: "invalid settings", err: &finding.List{Findings: []finding.Finding{{File: "a.ini", Message: "wrong"}}}, want: ExitInvalidSettings},
		{name: "unclean", err: fmt.Errorf("stop: %w", errAborted), want: ExitUnclean},
	} {
		c.Run(test.name, func(c *qt.C) {
			command := &cobra.Command{
				SilenceUsage:  true,
				SilenceErrors: true,
				RunE:          func(*cobra.Command, []string) error { return test.err },
			}
			command.SetArgs(nil)
			var stderr strings.Builder
			c.Assert(run(c.Context(), command, &stderr, []error{errAborted}), qt.Equals, test.want)
			want := ""
			if test.err != nil {
				want = test.err.Error() + "\n"
			}
			c.Assert(stderr.String(), qt.Equals, want)
		})
	}
}
