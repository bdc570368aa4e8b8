package config_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"acaciapath.example/core/config"
)

func TestReadFolderSortsAndIgnoresOtherFiles(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	write(c, dir, "20-b.ini", "[limits]\n")
	write(c, dir, "10-a.ini", "[billing]\n")
	write(c, dir, "10-a.ini.orig", "[nothing]\n")
	c.Assert(os.Symlink("20-b.ini", filepath.Join(dir, "30-c.ini")), qt.IsNil)
	files, err := config.ReadFolder(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.DeepEquals, []config.File{
		{Name: "10-a.ini", Text: "[billing]\n"},
		{Name: "20-b.ini", Text: "[limits]\n"},
		{Name: "30-c.ini", Text: "[limits]\n"},
	})
}

func TestReadFolderFindings(t *testing.T) {
	c := qt.New(t)
	dir, outside := c.TempDir(), c.TempDir()
	write(c, outside, "secret", "[limits]\n")
	c.Assert(os.Mkdir(filepath.Join(dir, "10-folder.ini"), 0o755), qt.IsNil)
	c.Assert(os.Symlink(filepath.Join(outside, "secret"), filepath.Join(dir, "20-outside.ini")), qt.IsNil)
	c.Assert(os.Symlink("absent.ini", filepath.Join(dir, "30-dangling.ini")), qt.IsNil)
	write(c, dir, "40-oversized.ini", "")
	c.Assert(os.Truncate(filepath.Join(dir, "40-oversized.ini"), config.MaxFileBytes+1), qt.IsNil)
	_, err := config.ReadFolder(dir)
	c.Assert(err, qt.ErrorMatches, `10-folder.ini: this is not a regular file \(syntax\)
20-outside.ini: the file cannot be read: path escapes from parent \(syntax\)
30-dangling.ini: the file cannot be read: no such file or directory \(syntax\)
40-oversized.ini: the file is larger than 64MiB \(syntax\)`)
}

func TestReadFolderWithoutFiles(t *testing.T) {
	c := qt.New(t)
	_, err := config.ReadFolder(c.TempDir())
	c.Assert(err, qt.ErrorMatches, `.*: the folder contains no file with the extension .ini \(syntax\)`)
	_, err = config.ReadFolder("testdata/absent")
	c.Assert(err, qt.ErrorMatches, `testdata/absent: the folder cannot be read: no such file or directory \(syntax\)`)
}

func write(c *qt.C, dir, name, text string) {
	c.Assert(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644), qt.IsNil)
}
