package liveness_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/liveness"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestSharedSilence covers what counts as a silence of many.
func TestSharedSilence(t *testing.T) {
	tests := []struct {
		silent, answering int
		want              bool
	}{
		{0, 0, false}, {1, 0, false}, {1, 5, false}, {2, 0, true}, {2, 6, true}, {2, 7, false}, {3, 3, true}, {20, 0, true}, {20, 100, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d silent, %d answering", tt.silent, tt.answering), func(t *testing.T) {
			var tracker liveness.Tracker
			for i := range tt.silent {
				tracker.Unanswered(at(200), at(0), "engines", fmt.Sprint("s", i))
			}
			for i := range tt.answering {
				tracker.Answered(at(200), "engines", fmt.Sprint("a", i))
			}
			tracker.Unanswered(at(200), at(0), "engines", "own")
			tracker.Unanswered(at(200), at(0), "plain", "p1")
			e := tracker.Evidence(at(300), "engines", "own")
			assert.Equal(t, e.Silent, tt.silent)
			assert.Equal(t, e.Answering, tt.answering)
			assert.Equal(t, e.Shared(), tt.want)
		})
	}
}

func TestEvidenceEnds(t *testing.T) {
	var tracker liveness.Tracker
	tracker.Answered(at(0), "engines", "a")
	tracker.Unanswered(at(100), at(0), "engines", "b")
	assert.Equal(t, tracker.Evidence(at(500), "engines", "").Known(), 2)
	assert.Equal(t, tracker.Evidence(at(500), "engines", "").Age, 500*time.Millisecond)
	assert.Equal(t, tracker.Evidence(at(550), "engines", "").Known(), 1)
	assert.Assert(t, !tracker.HasEvidence(at(550), "a"))
	tracker.Answered(at(60100), "engines", "c")
	assert.Assert(t, tracker.LastAnswer("a").IsZero(), "old records are dropped")
}

// TestLaterWordWins covers answers and silences of the same endpoint.
func TestLaterWordWins(t *testing.T) {
	var tracker liveness.Tracker
	tracker.Answered(at(50), "engines", "a")
	tracker.Unanswered(at(200), at(0), "engines", "a") // asked before it answered
	assert.Assert(t, tracker.AnsweredSince("a", at(0)))
	tracker.Unanswered(at(300), at(100), "engines", "a")
	assert.Assert(t, !tracker.AnsweredSince("a", at(0)))
	tracker.Answered(at(400), "engines", "a")
	assert.Assert(t, tracker.AnsweredSince("a", at(300)))
	assert.Assert(t, !tracker.AnsweredSince("a", at(400)))
	assert.Assert(t, !tracker.AnsweredSince("unknown", at(0)))
}
