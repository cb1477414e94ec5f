//go:build !race

package front_test

const raceEnabled = false
