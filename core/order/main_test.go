package order_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and size for the property tests, unless they are given
// on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "60"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
