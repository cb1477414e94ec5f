package limits

import (
	"math"
	"slices"
	"time"
)

// StreamTimes estimates the shortest time that a stream of a service takes, from the streams that
// this instance served recently. A stream that can't end before its deadline is refused at once:
// prefilling its prompt would delay others, and its caller would wait in vain.
//
// It does no I/O and reads no clock, and is not safe for concurrent use. The zero value has no
// samples and estimates nothing.
type StreamTimes struct {
	// timePerPromptToken and timePerEvent are in nanoseconds; eventsPerOutputToken is in events per
	// requested output token.
	timePerPromptToken, timePerEvent, eventsPerOutputToken samples
}

// StreamWork is the remaining work of a stream.
type StreamWork struct {
	// PrefillTokens is how many prompt tokens have to be prefilled.
	PrefillTokens int
	// OutputTokens is the maximum number of output tokens of the whole stream, and DeliveredEvents
	// how many of its events the caller already has.
	OutputTokens, DeliveredEvents int
}

// ObservePrefill records how long an engine took to prefill the given number of tokens, until the
// first event.
func (t *StreamTimes) ObservePrefill(tokens int, took time.Duration) {
	if tokens > 0 && took > 0 {
		t.timePerPromptToken.add(float64(took) / float64(tokens))
	}
}

// ObserveStream records a complete stream: the output tokens requested, the total number of events,
// and the time that the given number of gaps between events took together.
func (t *StreamTimes) ObserveStream(outputTokens, events, gaps int, took time.Duration) {
	if outputTokens > 0 && events > 0 {
		t.eventsPerOutputToken.add(float64(events) / float64(outputTokens))
	}
	if gaps > 0 && took > 0 {
		t.timePerEvent.add(float64(took) / float64(gaps))
	}
}

// Output is the output of a stream as it is expected to be at the best speed.
type Output struct {
	// Events is how many events the whole stream has, and TimePerEvent how long each takes.
	Events       int
	TimePerEvent time.Duration
}

// ExpectedOutput returns the output of a stream for which some output tokens were requested. It returns
// false if there are too few samples.
func (t *StreamTimes) ExpectedOutput(outputTokens int) (Output, bool) {
	perEvent, known := t.timePerEvent.quantile()
	eventsPerToken, outputKnown := t.eventsPerOutputToken.quantile()
	return Output{int(math.Ceil(eventsPerToken * float64(outputTokens))), time.Duration(perEvent)}, known && outputKnown
}

// MinDuration returns the time that a stream needs if it is served as fast as the fastest recent
// streams. It returns false if there are too few samples.
func (t *StreamTimes) MinDuration(w StreamWork) (time.Duration, bool) {
	perEvent, known := t.timePerEvent.quantile()
	eventsPerToken, outputKnown := t.eventsPerOutputToken.quantile()
	if !known || !outputKnown {
		return 0, false
	}
	remainingEvents := max(eventsPerToken*float64(w.OutputTokens)-float64(w.DeliveredEvents), 0)
	perToken, _ := t.timePerPromptToken.quantile()
	return time.Duration(perToken*float64(w.PrefillTokens) + perEvent*remainingEvents), true
}

const (
	// maxSamples is how many samples are kept, and minSamples how many an estimate needs.
	maxSamples, minSamples = 64, 4
	// lowQuantile is the quantile of the samples that an estimate uses: this share of them is
	// lower.
	lowQuantile = 0.1
)

// samples holds the most recent samples of a quantity.
type samples struct {
	values []float64
	next   int
}

func (s *samples) add(x float64) {
	if len(s.values) < maxSamples {
		s.values = append(s.values, x)
		return
	}
	s.values[s.next] = x
	s.next = (s.next + 1) % maxSamples
}

// quantile returns the lowQuantile of the samples. It returns false if there are too few.
func (s *samples) quantile() (float64, bool) {
	if len(s.values) < minSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.values))
	return sorted[int(math.Floor(lowQuantile*float64(len(sorted)-1)))], true
}
