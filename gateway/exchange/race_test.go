//go:build race

package exchange

// raceEnabled says that the race detector is on. Fleets of hundreds of instances then take minutes.
const raceEnabled = true
