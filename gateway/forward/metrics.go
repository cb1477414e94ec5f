package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// metrics holds the counters and histograms of forwarding.
type metrics struct {
	scope                               tally.Scope
	accepted, answered                  tally.Counter
	silences, moved, movedByCopy        tally.Counter
	keptSilent, leftSilent              tally.Counter // streams kept at a silent engine at an assessment, and moved away from one
	recovered, brokenOff, callersLeft   tally.Counter
	stoppedRefused                      tally.Counter
	claimsRefused                       tally.Counter
	deadlineRefusals                    tally.Counter // claims refused since a stream would miss its deadline
	cooldowns                           tally.Counter // refusals that asked for a pause
	pausedEndpoints                     tally.Gauge   // endpoints in a pause when the last one asked for one
	limitedEndpoints                    tally.Gauge   // endpoints that state limits
	forPeers                            tally.Counter // requests that peers passed on
	firstEvent, plainAnswer, streamMove tally.Histogram
	// speeds are those of the engines that streams were placed at. speedsUnknown counts the streams
	// placed at others.
	speeds        tally.Histogram
	speedsUnknown tally.Counter
	// Parts of the recovery after a restart: from the start of the process to the first read of the
	// store and to the first placed stream, the search for a prompt, and from the arrival of a
	// caller that resumes a stream to its next event.
	startToSync, startToFirstStream, promptSearch, callerResumed tally.Histogram
}

func newMetrics(s tally.Scope) metrics {
	latency := tally.DurationBuckets{
		5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
		100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond,
		time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	}
	return metrics{
		scope: s, accepted: s.Counter("requests_accepted_total"), answered: s.Counter("requests_answered_total"),
		silences: s.Counter("streams_silent_total"),
		moved:    s.Counter("streams_moved_total"), keptSilent: s.Counter("streams_kept_silent_total"), leftSilent: s.Counter("streams_left_silent_total"), movedByCopy: s.Counter("streams_moved_to_copy_total"),
		recovered: s.Counter("streams_recovered_total"), brokenOff: s.Counter("streams_broken_off_total"),
		callersLeft: s.Counter("callers_left_total"), stoppedRefused: s.Counter("stopped_requests_refused_total"),
		claimsRefused: s.Counter("claims_refused_total"), deadlineRefusals: s.Counter("claims_refused_for_deadline_total"), cooldowns: s.Counter("endpoint_pauses_total"), pausedEndpoints: s.Gauge("endpoints_paused"), limitedEndpoints: s.Gauge("endpoints_limited"), forPeers: s.Counter("requests_for_peers_total"),
		firstEvent: s.Histogram("first_event_seconds", latency), plainAnswer: s.Histogram("plain_answer_seconds", latency),
		speeds: s.Histogram("engine_speed", speedBuckets), speedsUnknown: s.Counter("engine_speeds_unknown_total"),
		streamMove:  s.Histogram("stream_move_seconds", latency),
		startToSync: s.Histogram("start_to_known_seconds", latency), startToFirstStream: s.Histogram("start_to_first_stream_seconds", latency),
		promptSearch: s.Histogram("prompt_search_seconds", latency), callerResumed: s.Histogram("caller_went_on_seconds", latency),
	}
}

// countLimitClaim counts a claim at an endpoint that states limits.
func (m *metrics) countLimitClaim(l admission.Limits, granted bool) {
	if l.Stated() {
		m.scope.Tagged(map[string]string{"granted": strconv.FormatBool(granted), "fragile": strconv.FormatBool(l.Fragile)}).Counter("limit_claims_total").Inc(1)
	}
}

// countRetry counts a request that was sent again.
func (m *metrics) countRetry(service string) {
	m.forService(service).Counter("requests_sent_again_total").Inc(1)
}

// countRetryDenied counts a request that was not sent again, since the retry budget has no room.
func (m *metrics) countRetryDenied(service string) {
	m.forService(service).Counter("requests_not_sent_again_total").Inc(1)
}

// setRetriesKnown sets for how long the retries of all instances are known, up to the length of the window.
func (m *metrics) setRetriesKnown(d time.Duration) {
	m.scope.Gauge("retries_known_seconds").Update(d.Seconds())
}

// updateRetryUsage sets the gauges of a service's retry budget.
func (m *metrics) updateRetryUsage(service string, u *limits.RetryUsage) {
	s := m.forService(service)
	s.Gauge("retry_window_requests").Update(float64(u.Requests))
	s.Gauge("retry_window_retries").Update(float64(u.Retries))
	s.Gauge("retry_window_allowed").Update(u.RecoveryAllowed)
	s.Gauge("retry_window_withheld").Update(u.Withheld)
	s.Gauge("retry_oldest_report_seconds").Update(u.OldestReport.Seconds())
}

func (m *metrics) forService(service string) tally.Scope {
	return m.scope.Tagged(map[string]string{"service": service})
}

// countWithheld counts a request or call that was not sent to the endpoint that was chosen.
func (m *metrics) countWithheld(why routing.Withholding) {
	m.scope.Tagged(map[string]string{"why": string(why)}).Counter("requests_withheld_total").Inc(1)
}

// countPassedOn counts a request that was passed on to a peer, by its outcome.
func (m *metrics) countPassedOn(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_via_peers_total").Inc(1)
}

func (m *metrics) countRefusal(status int) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("requests_refused_total").Inc(1)
}
