//go:build race

package exchange

// raceEnabled tells that the race detector runs: fleets of hundreds then take minutes.
const raceEnabled = true
