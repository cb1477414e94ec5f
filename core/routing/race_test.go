//go:build race

package routing

// raceDetector reports whether the tests run with the race detector, under which simulations take ten
// times as long.
const raceDetector = true
