// Package times compares points in time. It does no I/O and reads no clock.
package times

import "time"

// Earlier returns the earlier one of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Later returns the later one of two times.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
