package generation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestExpectFirstTokenDelaysSuspicion: an engine prefills a prompt of 8,000 tokens in a second, and
// delivers the first token right after. Without an expected time nearly every such stream was
// probed after 0.7 s, each time on a new connection.
func TestExpectFirstTokenDelaysSuspicion(t *testing.T) {
	const usual, expected = 700 * time.Millisecond, 1250 * time.Millisecond
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	tests := []struct {
		name string
		due  time.Duration // expected time of the first token, 0 for unknown
		want time.Duration // when the engine is probed
	}{
		{"nothing is known", 0, usual},
		{"a long prompt", expected, expected},
		{"a short prompt", 100 * time.Millisecond, usual},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := DefaultConfig(Move)
			cfg.Unverified, cfg.FirstTokenSilence = true, usual
			m := New(cfg, Origin{}, true, 8000, epoch, at(time.Minute))
			m.Ready()
			m.Acked(epoch, 1, stream1, 0, 0, 0)
			if tt.due > 0 {
				m.ExpectFirstToken(1, at(tt.due))
			}
			assert.Equal(t, m.Deadline(epoch), at(tt.want))
			m.Tick(at(tt.want - time.Millisecond))
			assert.Equal(t, len(m.Ready()), 0)
			m.Tick(at(tt.want))
			actions := m.Ready()
			assert.Equal(t, len(actions), 1)
			_, asked := actions[0].(Probe)
			assert.Assert(t, asked)
			m.Probed(at(tt.want), 1, true, 0)
			assert.Equal(t, m.Deadline(at(tt.want)), at(tt.want+usual), "after a late first token the usual threshold applies")
		})
	}
}

// TestExpectFirstTokenDoesNotDelayLaterSuspicion: the time expected of the first token does not
// apply to later tokens.
func TestExpectFirstTokenDoesNotDelayLaterSuspicion(t *testing.T) {
	cfg := DefaultConfig(Move)
	cfg.Unverified = true
	m := New(cfg, Origin{}, true, 8000, epoch, epoch.Add(time.Minute))
	m.Ready()
	m.Acked(epoch, 1, stream1, 0, 0, 0)
	m.ExpectFirstToken(1, epoch.Add(10*time.Second))
	m.Token(epoch.Add(time.Second), 1, 0, nil)
	assert.Equal(t, m.Deadline(epoch.Add(time.Second)), epoch.Add(time.Second+cfg.SilenceFloor))
}
