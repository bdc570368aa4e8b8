package command

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"acaciapath.example/acaciapath/explain"

	"github.com/spf13/cobra"
)

// explain returns the command that reports from logs how a request was processed.
func (p *program) explain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID LOG...",
		Short: "Show from logs how a request was processed and why it failed",
		Long: `Show from logs how a request was processed and why it failed.

Each LOG is a file with the output of one entry daemon, named after its VM. The log
lines with the request's id are shown in order of time, with the cause of a failure.
They are followed by the lines that the same VMs logged around that time about the
backend servers that the request was sent to and about the platform.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, arguments []string) error {
			var logs []explain.Log
			for _, path := range arguments[1:] {
				logs = append(logs, explain.Log{
					Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)),
					Open: func() (io.ReadCloser, error) { return os.Open(path) },
				})
			}
			found, err := explain.Find(arguments[0], logs)
			if err != nil {
				return err
			}
			return p.printResult(found)
		},
	}
}
