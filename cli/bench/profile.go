package bench

import "time"

// Profile is a workload at the brief's sizes.
type Profile struct {
	Name       string
	Deployment string
	Model      string
	Team       string
	Class      string
	DataCentre [3]string
	Engines    int
	Gateways   int
	// Slots per engine, and the share of them that the load keeps busy.
	Slots int
	Load  float64
	// Interval is the time of a step of an engine, PrefillRate in tokens per second.
	Interval    time.Duration
	PrefillRate float64
	// Prompt, of which Shared are the same in all prompts, and Answer on average, in tokens.
	Prompt, Shared, Answer int
	// Duration is how long requests are sent.
	Duration time.Duration
	Deadline time.Duration
	Queue    time.Duration
}

// Profiles are the two workloads of the brief. Slots are chosen so that one machine
// carries the whole; the answers are as long as a run of about a minute allows.
var Profiles = map[string]Profile{
	"dala": {
		Name: "dala", Deployment: "brief-llm", Model: "brief", Team: "almaty-desk", Class: "urgent",
		DataCentre: [3]string{"alm-hall-a", "alm-hall-b", "shym-hall"}, Engines: 24, Gateways: 6, Slots: 8, Load: 0.6,
		Interval: 33 * time.Millisecond, PrefillRate: 20000, Prompt: 600, Shared: 128, Answer: 150,
		Duration: 20 * time.Second, Deadline: 20 * time.Second, Queue: 1500 * time.Millisecond,
	},
	"kurosawa": {
		Name: "kurosawa", Deployment: "plan-writer", Model: "plan", Team: "sapporo-coaches", Class: "long",
		DataCentre: [3]string{"kita-hall", "chuo-hall", "toyo-hall"}, Engines: 36, Gateways: 6, Slots: 8, Load: 0.6,
		Interval: 33 * time.Millisecond, PrefillRate: 20000, Prompt: 400, Shared: 320, Answer: 500,
		Duration: 40 * time.Second, Deadline: 5 * time.Minute, Queue: 30 * time.Second,
	},
}

// answerTime is how long an answer takes at an engine.
func (p *Profile) answerTime() time.Duration {
	return time.Duration(p.Answer)*p.Interval + time.Duration(float64(p.Prompt)/p.PrefillRate*float64(time.Second))
}

// tokens is the length of answer i: from half of the profile's to half as much again, so
// that answers that began together do not all end together.
func (p *Profile) tokens(i int) int {
	const step = 37 // shares no factor with the steps of an answer
	return p.Answer/2 + i*step%(p.Answer+1)
}

// rate is the requests per second that keep the share of the slots busy.
func (p *Profile) rate() float64 {
	return p.Load * float64(p.Engines*p.Slots) / p.answerTime().Seconds()
}
