package restoration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestTurns: the instances that have run longest write one after the other, and the others give up once the
// store has answered for all turns.
func TestTurns(t *testing.T) {
	const hold = 5 * time.Second
	for name, c := range map[string]struct {
		rank    int
		answers func(at time.Duration) bool
		rankAt  func(at time.Duration) int
		want    Step
		at      time.Duration
	}{
		"the longest running one": {want: Write, at: hold},
		"the second one":          {rank: 1, want: Write, at: hold + turnInterval},
		"the last writer":         {rank: Writers - 1, want: Write, at: hold + (Writers-1)*turnInterval},
		"another one":             {rank: Writers, want: Done, at: hold + Writers*turnInterval + standbyTime},
		"the store is away when the hold ends": {
			rank: 1, answers: func(at time.Duration) bool { return at < 4*time.Second || at >= 9*time.Second },
			want: Write, at: 9*time.Second + turnInterval,
		},
		"the store is away between the turns": {
			rank: Writers, answers: func(at time.Duration) bool { return at < 7*time.Second || at >= 60*time.Second },
			want: Done, at: 60*time.Second + Writers*turnInterval + standbyTime,
		},
		"a writer ends": {
			rankAt: func(at time.Duration) int {
				if at < 9*time.Second {
					return Writers
				}
				return Writers - 1
			},
			want: Write, at: 9 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(start.Add(hold))
			for at := time.Duration(0); ; at += 500 * time.Millisecond {
				rank, answers := c.rank, true
				if c.rankAt != nil {
					rank = c.rankAt(at)
				}
				if c.answers != nil {
					answers = c.answers(at)
				}
				if step := d.Next(start.Add(at), rank, answers); step != Wait {
					assert.Equal(t, step, c.want)
					assert.Equal(t, at, c.at)
					return
				}
			}
		})
	}
}

// TestFailedTurn: an instance that could not write all tries again, ever more rarely.
func TestFailedTurn(t *testing.T) {
	d, now := New(start), start
	for _, wait := range []time.Duration{minRetryInterval, 2 * minRetryInterval, 4 * minRetryInterval, 8 * minRetryInterval, maxRetryInterval, maxRetryInterval} {
		assert.Equal(t, d.Next(now, 0, true), Write)
		d.Failed(now)
		assert.Equal(t, d.Next(now.Add(wait-1), 0, true), Wait)
		now = now.Add(wait)
	}
}
