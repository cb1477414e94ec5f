// Package seeded runs tests that explore with rapid from a fixed seed, so that every run
// tries the same orderings. Another seed can be given with -rapid.seed.
package seeded

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // for its flags
)

// More orderings than rapid's default of 100, which left faults put in on purpose unfound.
const (
	seed   = "20261202"
	checks = "2000"
)

// Main runs the tests and returns their exit code.
func Main(m *testing.M) int {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", checks)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}
