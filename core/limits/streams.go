package limits

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// StreamTimes estimates the shortest time that a stream of a service takes, from the streams that
// this instance served recently. A stream that can't end before its deadline is refused at once:
// prefilling its prompt would delay others, and its caller would wait without result.
//
// Prompts and outputs are estimated from those of about the same size. The time to the first event has a
// part that does not grow with the prompt, and a caller states the maximum of its output, which says how
// much it will get only where others with such a maximum got about as much of it.
//
// An estimate with which streams are refused gets no observations of them. Samples therefore expire, and
// [StreamTimes.MayCheck] lets some of these streams through, to find out whether they end in time.
//
// It does no I/O and reads no clock, and is not safe for concurrent use. The zero value has no
// samples and estimates nothing.
type StreamTimes struct {
	// prefills are the times until the first event, by class of the prompt's size. eventsPerOutputToken is in
	// events per requested output token, by class of the number requested. timePerEvent is in nanoseconds.
	prefills             [sizeClasses]samples
	eventsPerOutputToken [sizeClasses]samples
	timePerEvent         samples
	checks               map[checkKey]*check
}

// sizeClasses is the number of classes of sizes. Each one is twice as wide as the one below.
const sizeClasses = 32

// sizeClass returns the class of a number of tokens.
func sizeClass(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), sizeClasses-1) }

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
func (t *StreamTimes) ObservePrefill(now time.Time, tokens int, took time.Duration) {
	if tokens > 0 && took > 0 {
		t.prefills[sizeClass(tokens)].add(sample{now, float64(took), tokens})
	}
}

// ObserveStream records a complete stream: the output tokens requested, the total number of events,
// and the time that the given number of gaps between events took together.
func (t *StreamTimes) ObserveStream(now time.Time, outputTokens, events, gaps int, took time.Duration) {
	if outputTokens > 0 && events > 0 {
		t.eventsPerOutputToken[sizeClass(outputTokens)].add(sample{now, float64(events) / float64(outputTokens), outputTokens})
	}
	if gaps > 0 && took > 0 {
		t.timePerEvent.add(sample{now, float64(took) / float64(gaps), gaps})
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
	var everything time.Time
	perEvent, known := t.timePerEvent.low(everything, sample.plain)
	eventsPerToken, outputKnown := t.eventsPerOutputToken[sizeClass(outputTokens)].low(everything, sample.plain)
	return Output{int(math.Ceil(eventsPerToken * float64(outputTokens))), time.Duration(perEvent)}, known && outputKnown
}

// MinDuration returns the time that a stream needs if it is served as fast as the fastest recent
// streams. It returns false if there are too few samples.
func (t *StreamTimes) MinDuration(now time.Time, w StreamWork) (time.Duration, bool) {
	since := now.Add(-sampleTTL)
	perEvent, known := t.timePerEvent.low(since, sample.plain)
	eventsPerToken, outputKnown := t.eventsPerOutputToken[sizeClass(w.OutputTokens)].low(since, sample.plain)
	if !known || !outputKnown {
		return 0, false
	}
	remainingEvents := max(eventsPerToken*float64(w.OutputTokens)-float64(w.DeliveredEvents), 0)
	return t.minPrefill(since, w.PrefillTokens) + time.Duration(perEvent*remainingEvents), true
}

// minPrefill returns the shortest time in which a prompt is prefilled, by the samples since a time; 0 if
// unknown. A prompt takes at least as long as a smaller one, and at least the proportional part of the time of
// a larger one.
func (t *StreamTimes) minPrefill(since time.Time, tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	longest := 0.0
	for i := range t.prefills {
		bound, known := t.prefills[i].low(since, func(s sample) float64 {
			return s.value * min(float64(tokens)/float64(s.size), 1)
		})
		if known {
			longest = max(longest, bound)
		}
	}
	return time.Duration(longest)
}

const (
	// maxSamples is how many samples are kept, and minSamples how many an estimate needs.
	maxSamples, minSamples = 64, 4
	// sampleTTL is the age up to which streams are refused by a sample.
	sampleTTL = time.Minute
	// lowQuantile is the quantile of the samples that an estimate uses: this share of them is
	// lower.
	lowQuantile = 0.1
)

// sample is an observed value, and the size of the work that it was observed at.
type sample struct {
	at    time.Time
	value float64
	size  int
}

func (s sample) plain() float64 { return s.value }

// samples holds the most recent samples of a quantity.
type samples struct {
	values []sample
	next   int
}

func (s *samples) add(x sample) {
	if len(s.values) < maxSamples {
		s.values = append(s.values, x)
		return
	}
	s.values[s.next] = x
	s.next = (s.next + 1) % maxSamples
}

// low returns the lowQuantile of what valueOf returns for the samples since a time. It returns false if there
// are too few.
func (s *samples) low(since time.Time, valueOf func(sample) float64) (float64, bool) {
	if len(s.values) < minSamples {
		return 0, false // saves the allocation, as most classes are empty
	}
	values := make([]float64, 0, len(s.values))
	for _, x := range s.values {
		if !x.at.Before(since) {
			values = append(values, valueOf(x))
		}
	}
	if len(values) < minSamples {
		return 0, false
	}
	slices.Sort(values)
	return values[int(math.Floor(lowQuantile*float64(len(values)-1)))], true
}
