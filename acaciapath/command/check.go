package command

import (
	"errors"
	"fmt"
	"io"

	"acaciapath.example/acaciapath/output"
	"acaciapath.example/core/config"
	"acaciapath.example/core/finding"

	"github.com/spf13/cobra"
)

// checkResult is the result of the check command.
type checkResult struct {
	// Folder is the folder that was checked.
	Folder string `json:"folder"`
	// Files is the number of files in it; 0 if it cannot be read.
	Files int `json:"files"`
	// Findings are the errors in the configuration.
	Findings []finding.Finding `json:"findings"`
}

var _ output.Result = checkResult{}

// WriteText writes the number of files and findings.
func (r checkResult) WriteText(w io.Writer) error {
	if len(r.Findings) > 0 {
		_, err := fmt.Fprintf(w, "%s: findings: %d\n", r.Folder, len(r.Findings))
		return err
	}
	_, err := fmt.Fprintf(w, "%s: %d files, no findings\n", r.Folder, r.Files)
	return err
}

func (p *program) check() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Check a configuration folder and report all findings",
		Args:  exactArgs("a folder"),
		RunE: func(_ *cobra.Command, args []string) error {
			result := checkResult{Folder: args[0], Findings: []finding.Finding{}}
			files, err := config.ReadFolder(args[0])
			if err == nil {
				result.Files = len(files)
				_, err = config.Parse(files)
			}
			var findings *finding.List
			if errors.As(err, &findings) {
				result.Findings = findings.Findings
			} else if err != nil {
				return err
			}
			return errors.Join(p.printResult(result), err)
		},
	}
}
