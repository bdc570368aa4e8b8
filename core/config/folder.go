package config

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"acaciapath.example/core/finding"
)

// MaxFileBytes is the greatest size of one file of a folder.
const MaxFileBytes = 64 << 20

// extension is that of the files that ReadFolder reads.
const extension = ".ini"

// ReadFolder returns the INI files of a folder in the order of their names.
// Other files are passed over. If a file is oversized, is not a regular file, is
// a symbolic link that leaves the folder or cannot be read, or if the folder
// holds no INI file, ReadFolder returns all of that as a *finding.List.
func ReadFolder(dir string) ([]File, error) {
	var findings finding.List
	files := readFolder(dir, &findings)
	if len(files) == 0 && findings.Err() == nil {
		findings.Add(syntax(dir, "the folder holds no file with the extension "+extension))
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return files, nil
}

func readFolder(dir string, findings *finding.List) []File {
	root, err := os.OpenRoot(dir)
	if err != nil {
		findings.Add(syntax(dir, "the folder cannot be read: "+reason(err)))
		return nil
	}
	defer root.Close()
	names, err := fs.Glob(root.FS(), "*"+extension)
	if err != nil {
		findings.Add(syntax(dir, "the folder cannot be read: "+reason(err)))
		return nil
	}
	slices.Sort(names)
	var files []File
	for _, name := range names {
		if text, problem := readFile(root, name); problem != "" {
			findings.Add(syntax(name, problem))
		} else {
			files = append(files, File{Name: name, Text: text})
		}
	}
	return files
}

// readFile returns the text of a file, or what is wrong with it. The root
// refuses symbolic links that leave the folder.
func readFile(root *os.Root, name string) (text, problem string) {
	info, err := root.Stat(name)
	if err != nil {
		return "", "the file cannot be read: " + reason(err)
	}
	if !info.Mode().IsRegular() {
		return "", "this is not a regular file"
	}
	f, err := root.Open(name)
	if err != nil {
		return "", "the file cannot be read: " + reason(err)
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return "", "the file cannot be read: " + reason(err)
	}
	if len(content) > MaxFileBytes {
		return "", "the file is larger than 64MiB"
	}
	return string(content), ""
}

func syntax(file, message string) finding.Finding {
	return finding.Finding{Kind: finding.Syntax, File: filepath.ToSlash(file), Message: message}
}

// reason returns why a call of the file system failed, without the path.
func reason(err error) string {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}
