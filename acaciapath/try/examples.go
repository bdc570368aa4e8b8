package try

import (
	"errors"
	"io/fs"
	"path"

	"acaciapath.example/core/config"
	"acaciapath.example/examples"

	"github.com/ansel1/merry/v2"
)

// ErrUnknownDeployment is returned by Files if there is no example deployment of the name.
var ErrUnknownDeployment = merry.Sentinel("try: no such example deployment")

// Deployments returns the names of the example deployments.
func Deployments() []string {
	entries, err := fs.ReadDir(examples.FS, ".")
	if err != nil {
		panic("try: embedded examples cannot be read: " + err.Error())
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names
}

// Files returns the configuration files of an example deployment. It returns
// ErrUnknownDeployment if there is no deployment of the name.
func Files(deployment string) ([]config.File, error) {
	entries, err := fs.ReadDir(examples.FS, deployment)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrInvalid) {
		return nil, merry.Wrap(ErrUnknownDeployment, merry.AppendMessage(deployment))
	}
	if err != nil {
		return nil, merry.Prepend(err, "try")
	}
	files := make([]config.File, len(entries))
	for i, e := range entries {
		text, err := fs.ReadFile(examples.FS, path.Join(deployment, e.Name()))
		if err != nil {
			return nil, merry.Prepend(err, "try")
		}
		files[i] = config.File{Name: e.Name(), Text: string(text)}
	}
	return files, nil
}
