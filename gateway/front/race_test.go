//go:build race

package front_test

// raceEnabled tells that the race detector runs: fleets of hundreds then take minutes.
const raceEnabled = true
