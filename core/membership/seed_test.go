package membership_test

import "flag"

// init fixes the seed of the property tests, so that every run gives the same
// result. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
