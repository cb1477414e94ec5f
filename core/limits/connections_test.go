package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFirstInstancesAfterAReturn: the pattern is a fleet of 295 that lost power. The first two instances of each of five data
// centres are ready half a second before the others, so 500 requests a second, and those that were repeated meanwhile,
// meet ten instances. Five endpoints take 1,800 connections each; a request takes 30 ms. With equal shares of six
// connections, one instance refused 57 callers though the endpoints were idle.
func TestFirstInstancesAfterAReturn(t *testing.T) {
	const (
		instances, firstReady = 295, 10
		endpoints, bound      = 5, 1800
		took                  = 30 // ms
		repeated              = 400
		idle                  = 1 // connection of each other instance to each endpoint
	)
	tests := []struct {
		name    string
		most    int // connections of an instance to an endpoint
		refuses bool
	}{
		{"equal shares", bound / instances, true},
		{"with a burst", Connections(bound, instances), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var open [firstReady]int
			ends := map[int][]int{} // by millisecond, the instances of the requests that end then
			refused, peak, next := 0, 0, 0
			arrive := func(now, n int) {
				for range n {
					i := next % firstReady
					next++
					if open[i] >= endpoints*tt.most {
						refused++
						continue
					}
					open[i]++
					ends[now+took] = append(ends[now+took], i)
				}
			}
			arrive(0, repeated)
			for now := 1; now < int(500*time.Millisecond/time.Millisecond); now++ {
				for _, i := range ends[now] {
					open[i]--
				}
				arrive(now, now%2) // 500 a second
				all := 0
				for _, n := range open {
					all += n
				}
				peak = max(peak, all)
			}
			assert.Equal(t, refused > 0, tt.refuses, "%d refused", refused)
			assert.Assert(t, peak/endpoints+idle*(instances-firstReady) <= bound, "%d open", peak)
		})
	}
}

// TestConnections: small fleets divide the bound evenly.
func TestConnections(t *testing.T) {
	for _, tt := range []struct{ bound, instances, want int }{
		{210, 9, 23}, {150, 6, 25}, {1800, 295, 90}, {650, 87, 32}, {10, 300, 2}, {100, 0, 100},
	} {
		assert.Equal(t, Connections(tt.bound, tt.instances), tt.want)
	}
}
