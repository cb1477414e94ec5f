package generation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestALongPromptIsWaitedFor: a prompt of 8,000 tokens takes an engine a second to read, and the first token comes right
// after. Engines were asked after 0.7 s whether they live, once for nearly each stream, on a new connection each time.
func TestALongPromptIsWaitedFor(t *testing.T) {
	const usual, expected = 700 * time.Millisecond, 1250 * time.Millisecond
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	tests := []struct {
		name string
		due  time.Duration // of the first token, 0 for unknown
		want time.Duration // when the engine is asked
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
			m.Acked(epoch, 1, first, 0, 0, 0)
			if tt.due > 0 {
				m.Expect(1, at(tt.due))
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
			assert.Equal(t, m.Deadline(at(tt.want)), at(tt.want+usual), "it is late now, so it is asked as often as usual")
		})
	}
}

// TestSilenceAfterTheFirstToken: what was expected of the first token does not hold for those after it.
func TestSilenceAfterTheFirstToken(t *testing.T) {
	cfg := DefaultConfig(Move)
	cfg.Unverified = true
	m := New(cfg, Origin{}, true, 8000, epoch, epoch.Add(time.Minute))
	m.Ready()
	m.Acked(epoch, 1, first, 0, 0, 0)
	m.Expect(1, epoch.Add(10*time.Second))
	m.Token(epoch.Add(time.Second), 1, 0, nil)
	assert.Equal(t, m.Deadline(epoch.Add(time.Second)), epoch.Add(time.Second+cfg.SilenceFloor))
}
