package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFirstReadyInstancesAfterFleetRestart simulates a fleet of 295 instances that lost power. The
// first two instances of each of five data centres are ready half a second before the others. They
// get all requests, 500 per second, and those that were retried meanwhile. Five endpoints accept
// 1,800 connections each; a request takes 30 ms. With equal shares of six connections, one instance
// refused 57 callers while the endpoints were idle.
func TestFirstReadyInstancesAfterFleetRestart(t *testing.T) {
	const (
		instances, firstReady = 295, 10
		endpoints, limit      = 5, 1800
		serviceTime           = 30 // ms
		initialBurst          = 400
		idleConnections       = 1 // connections of each other instance to each endpoint
	)
	tests := []struct {
		name    string
		maxOpen int // connections of an instance to an endpoint
		refuses bool
	}{
		{"equal shares", limit / instances, true},
		{"with a burst", MaxConnections(limit, instances), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var open [firstReady]int
			ends := map[int][]int{} // instances of the requests that end, by millisecond
			refused, peak, next := 0, 0, 0
			arrive := func(now, n int) {
				for range n {
					i := next % firstReady
					next++
					if open[i] >= endpoints*tt.maxOpen {
						refused++
						continue
					}
					open[i]++
					ends[now+serviceTime] = append(ends[now+serviceTime], i)
				}
			}
			arrive(0, initialBurst)
			for now := 1; now < int(500*time.Millisecond/time.Millisecond); now++ {
				for _, i := range ends[now] {
					open[i]--
				}
				arrive(now, now%2) // 500 per second
				total := 0
				for _, n := range open {
					total += n
				}
				peak = max(peak, total)
			}
			assert.Equal(t, refused > 0, tt.refuses, "%d requests refused", refused)
			assert.Assert(t, peak/endpoints+idleConnections*(instances-firstReady) <= limit, "%d connections open", peak)
		})
	}
}

// TestMaxConnections checks equal shares in small fleets, and the minimum and burst in large ones.
func TestMaxConnections(t *testing.T) {
	for _, tt := range []struct{ limit, instances, want int }{
		{210, 9, 23}, {150, 6, 25}, {1800, 295, 90}, {650, 87, 32}, {10, 300, 2}, {100, 0, 100},
	} {
		assert.Equal(t, MaxConnections(tt.limit, tt.instances), tt.want)
	}
}
