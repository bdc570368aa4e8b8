package command

import (
	"fmt"
	"io"
	"runtime/debug"

	"acaciapath.example/acaciapath/output"

	"github.com/spf13/cobra"
)

// versionResult is the result of the version command.
type versionResult struct {
	// Version is the version of the module, or the commit that it was built from.
	Version string `json:"version"`
	// Go is the version of Go that built the program.
	Go string `json:"go"`
}

var _ output.Result = versionResult{}

// WriteText writes one line.
func (r versionResult) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "acaciapath %s (%s)\n", r.Version, r.Go)
	return err
}

// buildVersion returns the versions of the program and of Go from the build
// information.
func buildVersion() versionResult {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return versionResult{Version: "unknown", Go: "unknown"}
	}
	result := versionResult{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && result.Version == "(devel)" {
			result.Version = s.Value
		}
	}
	if result.Version == "" {
		result.Version = "(devel)"
	}
	return result
}

func (p *program) version() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return p.printResult(buildVersion())
		},
	}
}
