package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"acaciapath.example/core/config"
	"acaciapath.example/core/finding"
)

// FuzzParse checks that Parse returns, for any text, either a configuration or
// findings that each have a file, a line and a kind, and that the result does not
// depend on the order of the files.
func FuzzParse(f *testing.F) {
	seeds, err := filepath.Glob("testdata/*/*.ini")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range seeds {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text), classes)
	}
	f.Add("\ufeff[limits]\r\nbody-bytes = \"2MiB\" ; quoted\r\n", "[DEFAULT]\n-=\n[DEFAULT]\n")
	f.Add("[a]]\nx='\n", "[limits]\n\"\"\"x = y\nretry-budget=5% #\nx\\\n")
	f.Fuzz(func(t *testing.T, first, second string) {
		a, b := config.File{Name: "a.ini", Text: first}, config.File{Name: "b.ini", Text: second}
		conf, err := config.Parse([]config.File{a, b})
		_, swapped := config.Parse([]config.File{b, a})
		if (err == nil) != (conf != nil) || (err == nil) != (swapped == nil) {
			t.Fatalf("configuration %v, error %v, with the files swapped %v", conf, err, swapped)
		}
		if err == nil {
			return
		}
		var findings *finding.List
		if !errors.As(err, &findings) {
			t.Fatalf("the error is not a list of findings: %v", err)
		}
		if err.Error() != swapped.Error() {
			t.Fatalf("findings depend on the order of the files:\n%v\n%v", err, swapped)
		}
		for _, x := range findings.Findings {
			if x.File == "" || x.Line == 0 || x.Kind == "" {
				t.Fatalf("finding without a file, line or kind: %+v", x)
			}
		}
	})
}
