package command

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"acaciapath.example/acaciapath/explain"

	"github.com/spf13/cobra"
)

// explain tells what became of a request.
func (p *program) explain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID LOG...",
		Short: "Tell from logs what became of a request",
		Long: `Tell from logs what became of a request.

Each log is the output of one entry daemon, named as its VM. The lines that bear the
request's id are shown in the order of time, with what they mean, and below them what
the VM noted around that time of the backend servers that the request was sent to and
of the platform.`,
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
