package clock

import "time"

// MaxAge bounds the ages that are accepted from other instances.
const MaxAge = 30 * 24 * time.Hour

// EncodeAge returns an age in whole milliseconds; 0 if it is negative. Instances exchange ages
// instead of times, since their clocks differ.
func EncodeAge(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

// DecodeAge returns an age that another instance sent in milliseconds, at most [MaxAge].
func DecodeAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(MaxAge.Milliseconds()))) * time.Millisecond
}
