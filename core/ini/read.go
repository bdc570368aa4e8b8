package ini

import (
	"errors"
	"io"
	"io/fs"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/value"
)

// ReadFile reads a regular file of at most limit bytes. It returns a finding if
// the file is larger, is not a regular file or cannot be read.
func ReadFile(fsys fs.FS, name string, limit int64) (File, *finding.Finding) {
	info, err := fs.Stat(fsys, name)
	if err != nil {
		return File{}, readFinding(name, "the file cannot be read: "+PathErrorReason(err))
	}
	if !info.Mode().IsRegular() {
		return File{}, readFinding(name, "this is not a regular file")
	}
	f, err := fsys.Open(name)
	if err != nil {
		return File{}, readFinding(name, "the file cannot be read: "+PathErrorReason(err))
	}
	content, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err = errors.Join(err, f.Close()); err != nil {
		return File{}, readFinding(name, "the file cannot be read: "+PathErrorReason(err))
	}
	if int64(len(content)) > limit {
		return File{}, readFinding(name, "the file is larger than "+value.FormatSize(limit))
	}
	return File{Name: name, Text: string(content)}, nil
}

// PathErrorReason returns the text of a file-system error without the operation
// and the path.
func PathErrorReason(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

func readFinding(name, message string) *finding.Finding {
	return &finding.Finding{Kind: finding.Syntax, File: name, Message: message}
}
