package usage_test

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is the seed of property tests.
const defaultSeed = "1"

// TestMain sets a fixed seed and size for the property tests, unless they are given
// on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.checks": "1000", "rapid.steps": "60", "rapid.nofailfile": "true", "rapid.shrinktime": "3s"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
