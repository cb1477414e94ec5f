package bench

import "time"

// Profile is a workload and the fleet that serves it.
type Profile struct {
	Name        string
	Deployment  string
	Model       string
	Team        string
	Class       string
	DataCentres [3]string
	Engines     int
	Gateways    int
	// Slots is the number of streams that an engine runs at once, Load the share of all slots kept
	// busy.
	Slots int
	Load  float64
	// Interval is the time of one step of an engine, in which each stream gets one token.
	// PrefillRate is in tokens per second.
	Interval    time.Duration
	PrefillRate float64
	// PromptTokens is the length of a prompt. The first SharedTokens of it are the same in all
	// prompts. AnswerTokens is the mean length of an answer.
	PromptTokens, SharedTokens, AnswerTokens int
	// Duration is how long requests are sent.
	Duration time.Duration
	// Deadline is the time for a whole answer, Queue the time that a request may wait for a slot.
	Deadline time.Duration
	Queue    time.Duration
}

// Profiles are the two target workloads, by name. Slots per engine are few enough that one machine
// can run the whole fleet. Answers are as long as a run of about a minute allows.
var Profiles = map[string]Profile{
	"dala": {
		Name: "dala", Deployment: "brief-llm", Model: "brief", Team: "almaty-desk", Class: "urgent",
		DataCentres: [3]string{"alm-hall-a", "alm-hall-b", "shym-hall"}, Engines: 24, Gateways: 6, Slots: 8, Load: 0.6,
		Interval: 33 * time.Millisecond, PrefillRate: 20000, PromptTokens: 600, SharedTokens: 128, AnswerTokens: 150,
		Duration: 20 * time.Second, Deadline: 20 * time.Second, Queue: 1500 * time.Millisecond,
	},
	"kurosawa": {
		Name: "kurosawa", Deployment: "plan-writer", Model: "plan", Team: "sapporo-coaches", Class: "long",
		DataCentres: [3]string{"kita-hall", "chuo-hall", "toyo-hall"}, Engines: 36, Gateways: 6, Slots: 8, Load: 0.6,
		Interval: 33 * time.Millisecond, PrefillRate: 20000, PromptTokens: 400, SharedTokens: 320, AnswerTokens: 500,
		Duration: 40 * time.Second, Deadline: 5 * time.Minute, Queue: 30 * time.Second,
	},
}

// answerTime is the time in which an engine prefills a prompt and generates an answer of mean length.
func (p *Profile) answerTime() time.Duration {
	return time.Duration(p.AnswerTokens)*p.Interval + time.Duration(float64(p.PromptTokens)/p.PrefillRate*float64(time.Second))
}

// answerLength is the length of answer i in tokens. It is between a half and one and a half of
// AnswerTokens, so that answers that began together don't all end together.
func (p *Profile) answerLength(i int) int {
	const step = 37 // has no common factor with AnswerTokens+1, so all lengths occur
	return p.AnswerTokens/2 + i*step%(p.AnswerTokens+1)
}

// requestRate is the number of requests per second that keeps the share Load of the slots busy.
func (p *Profile) requestRate() float64 {
	return p.Load * float64(p.Engines*p.Slots) / p.answerTime().Seconds()
}
