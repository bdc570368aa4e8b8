package folder_test

import (
	"os"
	"path/filepath"
	"testing"

	"acaciapath.example/acaciapath/folder"
	"acaciapath.example/core/config"

	qt "github.com/frankban/quicktest"
)

const keysFileText = `# Keys of the shop.
[key web]
client-account = shop
hash = 00
default-class = chat ; urgent

[key van]
client-account = shop
hash = 01
withdrawn = false
default-class = chat`

func TestBaseRevision(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	base, err := folder.BaseRevision(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(base, qt.Equals, uint64(0))
	c.Assert(folder.SetBaseRevision(dir, 7), qt.IsNil)
	base, err = folder.BaseRevision(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(base, qt.Equals, uint64(7))
	c.Assert(os.WriteFile(filepath.Join(dir, folder.BaseRevisionFile), []byte("seven"), 0o600), qt.IsNil)
	_, err = folder.BaseRevision(dir)
	c.Assert(err, qt.ErrorIs, folder.ErrInvalidBaseRevision)
}

func TestReplace(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(t.TempDir(), "new")
	one, two := config.File{Name: "1.ini", Text: "1"}, config.File{Name: "2.ini", Text: "2"}
	c.Assert(folder.Replace(dir, []config.File{one, two}), qt.IsNil)
	c.Assert(folder.Replace(dir, []config.File{two}), qt.IsNil)
	files, err := config.ReadFolder(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.DeepEquals, []config.File{two})
	for _, name := range []string{"../up.ini", "sub/x.ini", ".ssh", folder.BaseRevisionFile} {
		c.Assert(folder.Replace(dir, []config.File{{Name: name}}), qt.ErrorIs, folder.ErrInvalidFileName)
	}
}

func TestAddKey(t *testing.T) {
	c := qt.New(t)
	files := []config.File{{Name: "30.ini", Text: keysFileText}}
	key := config.Key{Name: "till", ClientAccount: "shop", DefaultClass: "chat"}
	got, err := folder.AddKey(files, "", key)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, config.File{Name: "30.ini", Text: keysFileText + "\n\n" + config.KeySection(key)})
	key.ClientAccount = "other"
	got, err = folder.AddKey(files, "", key)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, config.File{Name: "keys.ini", Text: config.KeySection(key)})
	key.Name = "web"
	_, err = folder.AddKey(files, "", key)
	c.Assert(err, qt.ErrorIs, folder.ErrKeyExists)
}

func TestWithdrawKey(t *testing.T) {
	c := qt.New(t)
	files := []config.File{{Name: "30.ini", Text: keysFileText}}
	tests := []struct{ name, key, want string }{
		{"setting absent", "web", `# Keys of the shop.
[key web]
client-account = shop
hash = 00
default-class = chat ; urgent
withdrawn = true

[key van]
client-account = shop
hash = 01
withdrawn = false
default-class = chat`},
		{"setting present", "van", `# Keys of the shop.
[key web]
client-account = shop
hash = 00
default-class = chat ; urgent

[key van]
client-account = shop
hash = 01
withdrawn = true
default-class = chat`},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			got, err := folder.WithdrawKey(files, test.key)
			c.Assert(err, qt.IsNil)
			c.Assert(got.Text, qt.Equals, test.want)
		})
	}
	_, err := folder.WithdrawKey(files, "none")
	c.Assert(err, qt.ErrorIs, folder.ErrKeyNotFound)
}
