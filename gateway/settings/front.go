package settings

import "time"

// Front holds the settings of an instance that forwards requests on a platform: it reads routes,
// keys and endpoints from the platform's store.
type Front struct {
	Instance   FrontInstance   `ini:"instance"`
	Listen     FrontListen     `ini:"listen"`
	Store      FrontStore      `ini:"store"`
	Bounds     FrontBounds     `ini:"bounds"`
	Retries    FrontRetries    `ini:"retries"`
	Rollouts   FrontRollouts   `ini:"rollouts"`
	Streams    FrontStreams    `ini:"streams"`
	Overload   FrontOverload   `ini:"overload"`
	Process    FrontProcess    `ini:"process"`
	Mechanisms FrontMechanisms `ini:"mechanisms"`
	Logs       FrontLogs       `ini:"logs"`
	Traces     Traces          `ini:"traces"`
}

// FrontInstance names this process and its location.
type FrontInstance struct {
	ID         string `ini:"id" required:"yes" doc:"name of this instance, unique in the fleet"`
	DataCentre string `ini:"data_centre" required:"yes" doc:"data centre this instance runs in"`
	Region     string `ini:"region" required:"yes" doc:"region of the data centre"`
}

// FrontListen holds the addresses to listen on.
type FrontListen struct {
	Callers   string `ini:"callers" required:"yes" check:"address" doc:"address for requests to be forwarded"`
	Ready     string `ini:"ready" required:"yes" check:"address" doc:"address that tells whether this instance serves"`
	Directory string `ini:"directory" required:"yes" check:"address" doc:"address that tells callers which instances to use"`
	Peers     string `ini:"peers" required:"yes" check:"address" doc:"address for datagrams of other instances; they have to reach it"`
	// PeersAdvertised differs from Peers where the address is translated on the way.
	PeersAdvertised string `ini:"peers_advertised" check:"optional-address" doc:"address under which other instances reach peers; empty for the same"`
	Metrics         string `ini:"metrics" check:"optional-address" doc:"address of the metrics; empty for none"`
}

// FrontStore says how the platform's store is reached.
type FrontStore struct {
	Address string        `ini:"address" required:"yes" check:"address" doc:"address of the platform's store"`
	Timeout time.Duration `ini:"timeout" default:"2500ms" min:"400ms" doc:"most time one call may take; a watch may take its wait besides. It is given up sooner while others can be asked"`
	Watch   time.Duration `ini:"watch" default:"0s" min:"0s" doc:"how long a watch waits; the proof that nothing newer exists grows this old in calm times. 0 for 0.45 of [bounds] apply"`
	Readers int           `ini:"readers" default:"1" min:"1" doc:"instances of a region that ask the store; the others follow those"`
}

// watchWaitShare is the share of Bounds.Apply that a watch waits by default. The rest leaves time
// for a second watch, which finds a change that the first one missed, and for noticing a followed
// instance that falls silent, which takes half a second after its watch.
const watchWaitShare = 0.45

// WatchWait returns how long a watch waits: Store.Watch, or if that is 0 a share of Bounds.Apply,
// at most a quarter of Bounds.Revoke.
func (s *Front) WatchWait() time.Duration {
	if s.Store.Watch > 0 {
		return s.Store.Watch
	}
	return min(time.Duration(watchWaitShare*float64(s.Bounds.Apply)), s.Bounds.Revoke/4)
}

// FrontBounds holds the limits that the deployment sets.
type FrontBounds struct {
	Revoke time.Duration `ini:"revoke" default:"5s" min:"100ms" doc:"a key that was taken away must not be served longer than this"`
	Apply  time.Duration `ini:"apply" default:"2s" min:"100ms" doc:"a change of the configuration has to be in force within this"`
	Grace  time.Duration `ini:"grace" default:"8s" min:"1s" doc:"time between the signal to stop and the end by force"`
	Keep   time.Duration `ini:"keep" default:"2s" min:"100ms" doc:"how long callers may keep an answer of the directory"`
}

// FrontRetries bounds the number of retries.
type FrontRetries struct {
	Share   float64       `ini:"share" default:"0.2" min:"0" doc:"requests sent once more, per request"`
	Reserve float64       `ini:"reserve" default:"50" min:"0" doc:"requests sent once more besides, shared by all instances"`
	Window  time.Duration `ini:"window" default:"10s" min:"1s" doc:"time within which they are counted"`
}

// FrontRollouts bounds the requests that a service's new build may get before it is known to be
// good. Services are not moved if both Share and Reserve are 0.
type FrontRollouts struct {
	Share    float64       `ini:"share" default:"0" min:"0" doc:"requests of a service that a bad build may get, per request, until the order's deadline"`
	Reserve  float64       `ini:"reserve" default:"0" min:"0" doc:"requests that it may get besides"`
	RollBack time.Duration `ini:"roll_back" default:"5s" min:"100ms" doc:"time within which a build found bad must get nothing more, on any instance"`
}

// FrontStreams says when the engine of a stream counts as lost.
type FrontStreams struct {
	Silence    time.Duration `ini:"silence" default:"400ms" min:"10ms" doc:"least silence of a stream that counts as the loss of its engine"`
	FirstEvent time.Duration `ini:"first_event" default:"700ms" min:"10ms" doc:"an engine without a first event is asked this often whether it is alive"`
	Probe      time.Duration `ini:"probe" default:"200ms" min:"5ms" doc:"time an engine may take to say that it is alive"`
	Connect    time.Duration `ini:"connect" default:"120ms" min:"5ms" doc:"time a connection to an endpoint may take"`
}

// FrontOverload says how streams share engines that have too little room for all.
type FrontOverload struct {
	Deadlines   bool   `ini:"deadlines" default:"false" doc:"an engine takes no prompt for which a stream that runs there would miss its deadline"`
	Speeds      bool   `ini:"speeds" default:"false" doc:"engines are chosen by their measured speed, which instances share"`
	OnlyRanked  bool   `ini:"only_ranked" default:"false" doc:"deadlines and shared_queue apply only to services whose streaming routes have different priorities"`
	SharedQueue bool   `ini:"shared_queue" default:"false" doc:"streams of all instances wait in one queue a service, in which teams have equal shares"`
	Shares      string `ini:"shares" check:"shares" doc:"weights of teams in the shared queue, such as desk:2, field:0.5; those that are not named have 1"`
}

// TeamWeights returns the weights of the teams that Shares names.
func (s *FrontOverload) TeamWeights() map[string]float64 {
	weights, _ := ParseShares(s.Shares) // checked when the settings were read
	return weights
}

// FrontProcess holds the limits of the process and of its network link.
type FrontProcess struct {
	Memory int `ini:"memory_mb" default:"256" min:"32" doc:"memory that the process may use, in MB"`
	// Descriptors bounds connections: about half of them are for those of callers.
	Descriptors int     `ini:"descriptors" default:"0" min:"0" doc:"descriptors that the process may have open; 0 for the limit that the system sets"`
	Link        float64 `ini:"link_mbps" default:"0" min:"0" doc:"bandwidth of the instance's network link in Mbit/s; those with the widest links pass the most on to others. 0 for unknown"`
	Source      string  `ini:"source_ip" check:"optional-ip" doc:"IP number from which connections are made, on a machine with several; empty for any"`
}

// FrontMechanisms switch single mechanisms off, to measure the effect of each one on a deployment.
// All of them are on by default.
type FrontMechanisms struct {
	Copies        bool `ini:"copies" default:"true" doc:"engines keep a copy of each stream's memory elsewhere"`
	CopyElsewhere bool `ini:"copy_elsewhere" default:"true" doc:"that copy is kept in another data centre"`
	Search        bool `ini:"search" default:"true" doc:"engines are asked for a prompt that no instance remembers"`
	ByPrompt      bool `ini:"by_prompt" default:"true" doc:"engines are compared that rank highest for the prompt; else random ones"`
	Health        bool `ini:"health" default:"true" doc:"endpoints that fail requests get less of them"`
	Pace          bool `ini:"pace" default:"true" doc:"engines that read prompts slowly get fewer of them"`
	Doubt         bool `ini:"doubt" default:"true" doc:"endpoints that failed other instances, and data centres of which many fail, are avoided"`
	SharedRetries bool `ini:"shared_retries" default:"true" doc:"instances count together what they sent once more; else each has its part"`
	Line          bool `ini:"line" default:"true" doc:"streams wait for room at an engine in the order of their rank; else they are sent at once"`
	Announcements bool `ini:"announcements" default:"true" doc:"instances tell each other what they placed and found out"`
	Owners        bool `ini:"owners" default:"true" doc:"in a fleet too large for all to tell all, the owners of engines are asked before a choice"`
	Claims        bool `ini:"claims" default:"true" doc:"room at an engine is claimed at one of its owners right before a stream is sent there"`
	Limits        bool `ini:"limits" default:"true" doc:"what all instances send to an endpoint that states a rate stays within it"`
	Room          bool `ini:"room" default:"true" doc:"endpoints that fail when they refuse too much get no more than they run at once"`
	ViaPeers      bool `ini:"via_peers" default:"true" doc:"an instance that reaches no endpoint passes requests on to instances that do"`
	Departures    bool `ini:"departures" default:"true" doc:"endpoints that say in their answers that they leave get nothing new"`
	Pauses        bool `ini:"pauses" default:"true" doc:"endpoints that refuse a request and ask for a pause get nothing until it is over"`
	Stay          bool `ini:"stay" default:"true" doc:"streams stay at a silent engine until another one is known to be better"`
	SharedSilence bool `ini:"shared_silence" default:"true" doc:"a silence that many engines share suspects none of them, and moves only streams with a copy elsewhere"`
	OwnPauses     bool `ini:"own_pauses" default:"true" doc:"while this process was paused, its engines do not count as silent"`
	Eras          bool `ini:"eras" default:"true" doc:"revisions of a store that has returned from an older copy are told apart from those before, and what it has lost stays in force"`
	Restore       bool `ini:"restore" default:"true" doc:"what instances wrote and the store has lost by returning from an older copy is written again"`
	Tree          bool `ini:"tree" default:"true" doc:"instances follow each other; else each asks the store"`
	FirstLook     bool `ini:"first_look" default:"true" doc:"callers wait while an instance that has started reads routes and endpoints"`
	Rollouts      bool `ini:"rollouts" default:"true" doc:"services move to other builds under the bounds of [rollouts]"`
	Crashes       bool `ini:"crashes" default:"true" doc:"requests that end the endpoints that run them are stopped"`
	PromptParts   bool `ini:"prompt_parts" default:"true" doc:"parts of prompts that end the endpoints that run them are stopped"`
	Ranks         bool `ini:"ranks" default:"true" doc:"where streaming routes of a service have different priorities, these order the streams of a team, at engines too"`
	Shedding      bool `ini:"shedding" default:"true" doc:"what connections make the process hold is bounded; those that make no progress are closed first"`
	AnswerBounds  bool `ini:"answer_bounds" default:"true" doc:"heads of answers that endpoints send without end are given up"`
}

// FrontLogs holds the settings of the log.
type FrontLogs struct {
	Level string `ini:"level" default:"info" check:"level" doc:"debug, info, warning or error"`
}

// contradictions returns an error text for each pair of keys whose values exclude each other.
func (s *Front) contradictions() []string {
	var out []string
	if 2*s.WatchWait() >= s.Bounds.Revoke {
		out = append(out, "[store] watch: has to be less than half of [bounds] revoke")
	}
	out = append(out, s.Traces.contradictions()...)
	if s.WatchWait() >= s.Bounds.Apply {
		out = append(out, "[store] watch: has to be less than [bounds] apply")
	}
	return out
}
