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
		{0, 0, false}, {1, 0, false}, {1, 5, false}, {2, 0, true}, {2, 4, true}, {2, 5, false}, {3, 7, true}, {3, 8, false}, {3, 3, true}, {20, 0, true}, {20, 100, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d silent, %d answering", tt.silent, tt.answering), func(t *testing.T) {
			var tracker liveness.Tracker
			sample := []string{"unknown"}
			for i := range tt.silent {
				sample = append(sample, fmt.Sprint("s", i))
				tracker.Unanswered(at(200), at(0), fmt.Sprint("s", i))
			}
			for i := range tt.answering {
				sample = append(sample, fmt.Sprint("a", i))
				tracker.Answered(at(200), fmt.Sprint("a", i))
			}
			tracker.Unanswered(at(200), at(0), "own")
			e := tracker.Evidence(at(300), sample)
			assert.Equal(t, e.Silent, tt.silent)
			assert.Equal(t, e.Answering, tt.answering)
			assert.Equal(t, e.Shared(), tt.want)
		})
	}
}

func TestEvidenceEnds(t *testing.T) {
	var tracker liveness.Tracker
	both := []string{"a", "b"}
	tracker.Answered(at(0), "a")
	tracker.Unanswered(at(100), at(0), "b")
	assert.Equal(t, tracker.Evidence(at(200), both).Known(), 2)
	assert.Equal(t, tracker.Evidence(at(200), both).Age, 200*time.Millisecond)
	assert.Equal(t, tracker.Evidence(at(201), both).Known(), 1)
	assert.Assert(t, !tracker.HasEvidence(at(201), "a"))
	assert.Assert(t, tracker.HasEvidence(at(600), "b"))
	assert.Assert(t, !tracker.HasEvidence(at(601), "b"))
	tracker.Answered(at(60100), "c")
	assert.Assert(t, tracker.LastAnswer("a").IsZero(), "old records are dropped")
}

func TestReturned(t *testing.T) {
	var tracker liveness.Tracker
	tracker.Unanswered(at(200), at(0), "a")
	tracker.Answered(at(300), "a")
	tracker.Answered(at(300), "b")
	tracker.Answered(at(390), "a")
	assert.Equal(t, tracker.Evidence(at(400), []string{"a", "b"}).Returned, 1)
	assert.Equal(t, tracker.Evidence(at(401), []string{"a", "b"}).Returned, 0)
}

// TestLaterWordWins covers answers and silences of the same endpoint.
func TestLaterWordWins(t *testing.T) {
	var tracker liveness.Tracker
	tracker.Answered(at(50), "a")
	tracker.Unanswered(at(200), at(0), "a") // asked before it answered
	assert.Assert(t, tracker.AnsweredSince("a", at(0)))
	tracker.Unanswered(at(300), at(100), "a")
	assert.Assert(t, !tracker.AnsweredSince("a", at(0)))
	tracker.Answered(at(400), "a")
	assert.Assert(t, tracker.AnsweredSince("a", at(300)))
	assert.Assert(t, !tracker.AnsweredSince("a", at(400)))
	assert.Assert(t, !tracker.AnsweredSince("unknown", at(0)))
}
