// Package seeded runs the tests of a package that use rapid from a fixed seed, so that every run
// tries the same cases. Another seed can be given with -rapid.seed.
package seeded

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that Main sets
)

// The number of checks is above rapid's default of 100, which did not find faults that were
// inserted on purpose.
const (
	rapidSeed   = "20261202"
	rapidChecks = "2000"
)

// Main sets the flags of rapid, runs the tests and returns their exit code. It keeps a seed and a
// number of checks that differ from rapid's defaults.
func Main(m *testing.M) int {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", rapidSeed)
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", rapidChecks)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}
