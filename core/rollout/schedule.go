package rollout

import "time"

// Settings are the parameters of rollouts. ExposureShare, ExposureReserve and MaxRollBackDelay come
// from the deployment's settings. [DefaultSettings] has the others.
type Settings struct {
	// A bad target may get ExposureShare of a service's requests, plus ExposureReserve requests,
	// until the order's deadline.
	ExposureShare, ExposureReserve float64
	// MaxRollBackDelay is the time within which requests to a bad target have to stop. It starts at
	// the target's bad answer number BadAnswerLimit.
	MaxRollBackDelay time.Duration
	// UnknownRateShare is the part of ExposureShare that a route's canary gets while the route's
	// request rate is not known.
	UnknownRateShare float64
	// MaxRouteShare is the largest share of one route's requests that a canary gets.
	MaxRouteShare float64
	// MoveStdDevs is the safety margin in the number of requests that a move is expected to send to
	// the target, in standard deviations.
	MoveStdDevs float64
	// PauseExcess is how many requests of the target may fail or be slow beyond the baseline's rate
	// before the canary pauses.
	PauseExcess float64
	// BadAnswerLimit is the number of bad answers that starts the MaxRollBackDelay period. The
	// canary may pause earlier. It does so PauseAfterShare of that period after the target's answer
	// number BadAnswerLimit, good or bad, if there is evidence against the target.
	BadAnswerLimit  uint64
	PauseAfterShare float64
	// The load test sends the target its usual load for LoadTest near the end of the canary. It
	// starts LoadTestLead before the move. A service whose requests take longer than
	// LoadTestMaxDrain has none: with long requests the usual load is not reached within the
	// exposure bound.
	LoadTest, LoadTestLead, LoadTestMaxDrain time.Duration
	// Ramp is the time over which requests move to the target, in RampSteps steps.
	Ramp      time.Duration
	RampSteps int
	// MinDrain is the least time between the end of the ramp and the stop of the baseline. Requests
	// that are left there end meanwhile, or get a copy at the target.
	MinDrain time.Duration
	// The margin for writing the outcome to the store is WriteMarginShare of the duration, but at
	// least MinWriteMargin and at most MaxWriteMargin.
	WriteMarginShare               float64
	MinWriteMargin, MaxWriteMargin time.Duration
	// MaxMoveEvidence is the evidence against a target from which on requests do not move to it. It
	// is below 0 on purpose: a bad build that gets all requests harms all callers, while a good one
	// that is rolled back can be ordered again.
	MaxMoveEvidence float64
	// MinAnswers is how many good answers a target needs before requests move to it.
	// MinAnswersAfterLoss replaces it if all instances have lost what they had counted.
	MinAnswers, MinAnswersAfterLoss uint64
	Judge                           JudgeSettings
	// judge computes the judgement. canaryShare computes the share of a canary; nil means
	// [Rollout.canaryShare]. Tests replace both to compare variants.
	judge       func(t Tally, s JudgeSettings) Judgement
	canaryShare func(s *Settings, perSecond float64, routes int, age, until time.Duration) float64
}

// DefaultSettings returns the settings that are evaluated in docs/design/rollouts.md.
func DefaultSettings() Settings {
	return Settings{
		ExposureShare: 0.1, ExposureReserve: 50, MaxRollBackDelay: 5 * time.Second, UnknownRateShare: 0.4, MaxRouteShare: 0.5, MoveStdDevs: 2.5, PauseExcess: 15,
		BadAnswerLimit: 50, PauseAfterShare: 0.5,
		LoadTest: 350 * time.Millisecond, LoadTestLead: 1500 * time.Millisecond, LoadTestMaxDrain: 500 * time.Millisecond,
		Ramp: 200 * time.Millisecond, RampSteps: 2, MinDrain: 200 * time.Millisecond,
		WriteMarginShare: 0.05, MinWriteMargin: 500 * time.Millisecond, MaxWriteMargin: 30 * time.Second, MaxMoveEvidence: -0.2, MinAnswers: 5, MinAnswersAfterLoss: 20,
		Judge: DefaultJudgeSettings(),
		judge: Judge,
	}
}

// schedule holds the times of an order, as durations since it was given.
type schedule struct {
	// Requests start to move between earliestMove and latestMove. The outcome is written at
	// earliestCompletion if no request is left at the baseline.
	earliestMove, latestMove, earliestCompletion time.Duration
	// latestCompletion is when the outcome is written although requests are left at the baseline.
	latestCompletion time.Duration
	// minMoveTime is the time before the deadline at which the move has to start, so that it is
	// complete by then.
	minMoveTime time.Duration
	// loadTest is when the load test starts; 0 means that there is none.
	loadTest time.Duration
}

// canaryDivisor: the canary takes at least 1/canaryDivisor of an order's duration. The drain time
// counts for at most as much.
const canaryDivisor = 3

// schedule returns the times of an order. drain is how long requests that are left at the baseline
// usually take to end or to become movable.
func (s *Settings) schedule(duration, drain time.Duration) schedule {
	margin := min(max(time.Duration(s.WriteMarginShare*float64(duration)), s.MinWriteMargin), s.MaxWriteMargin)
	complete := max(duration-margin, duration/canaryDivisor)
	if margin/2 <= maxResumeWait {
		complete = max(duration-margin/2, complete)
	}
	moving := s.Ramp + min(max(drain, s.MinDrain), duration/canaryDivisor)
	move := max(complete-moving, duration/canaryDivisor)
	out := schedule{earliestMove: move, latestMove: max(duration-moving, move), earliestCompletion: complete, latestCompletion: duration - margin/2, minMoveTime: moving + margin/2}
	if drain <= s.LoadTestMaxDrain && move > 2*s.LoadTestLead {
		out.loadTest = move - s.LoadTestLead
	}
	return out
}

// maxResumeWait bounds how long a stream that lost its engine waits for the order's deadline before
// it goes on at the target. Its caller waits as long.
const maxResumeWait = 300 * time.Millisecond

// rampShare returns the share of the requests that go to the target at a time after the start of
// the move.
func (s *Settings) rampShare(passed time.Duration) float64 {
	steps := max(s.RampSteps, 1)
	step := 1 + int(float64(steps)*float64(passed)/float64(max(s.Ramp, 1)))
	return min(float64(step)/float64(steps), 1)
}

// unmovedRampShare returns the share of all requests during the ramp that still go to the baseline.
func (s *Settings) unmovedRampShare() float64 {
	steps := float64(max(s.RampSteps, 1))
	return (steps - 1) / (2 * steps)
}
