package exchange

import (
	"math/rand/v2"
	"net"
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/crashers"
)

// Crashes is what this instance knows of requests that end endpoints.
type Crashes interface {
	// Heard takes what another instance told. complete tells that it knows the stops that are kept in the store.
	Heard(from string, facts []crashers.Fact, complete bool)
	// Facts returns what is to be told to an instance that asks, and whether this one knows the stops that are kept.
	Facts() (facts []crashers.Fact, complete bool)
	// Forget drops what an instance was doing that is gone.
	Forget(instance string)
}

const (
	// factsMost bounds the facts in a datagram, of some 150 bytes each, to what two packets hold.
	factsMost = 16
	// askedOf is how many instances are asked for what is stopped, since answers may be lost.
	askedOf = 2
	// askGap is the least time between two such questions: where hundreds start at once, each is heard on its own.
	askGap = 200 * time.Millisecond
	// contentSize is the size of a content on the wire, in bytes.
	contentSize = len(crashers.Content{})
	// ageMost bounds the ages that are believed.
	ageMost = 30 * 24 * time.Hour
)

// TellCrashes tells all others of requests, at once: an instance that does not know lets another endpoint end.
func (x *Exchange) TellCrashes(facts []crashers.Fact, complete bool) {
	x.tellFacts(facts, complete, x.roster().everybody(false)...)
}

func (x *Exchange) tellFacts(facts []crashers.Fact, complete bool, to ...net.Addr) {
	for {
		n := min(len(facts), factsMost)
		x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Crashes{Crashes: &peerv1.Crashes{
			Instance: x.Self.ID, Complete: complete, Facts: encodeFacts(time.Now(), facts[:n]),
		}}}, to...)
		if facts = facts[n:]; len(facts) == 0 {
			return
		}
	}
}

// askCrashes asks some of those that were just heard for what is stopped: they, or this instance, were away.
func (x *Exchange) askCrashes(ids []string) {
	x.sendMu.Lock()
	early := x.askedCrashes > 0 && x.Clock()-x.askedCrashes < askGap
	if !early {
		x.askedCrashes = x.Clock()
	}
	x.sendMu.Unlock()
	if early || len(ids) == 0 {
		return
	}
	r := x.refresh()
	var to []net.Addr
	for _, i := range rand.Perm(len(ids))[:min(len(ids), askedOf)] {
		to = append(to, r.to(ids[i])...)
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Crashes{Crashes: &peerv1.Crashes{Instance: x.Self.ID, Ask: true}}}, to...)
}

// askSomeCrashes asks any others for what is stopped.
func (x *Exchange) askSomeCrashes() {
	alive := x.roster().alive
	ids := make([]string, len(alive))
	for i := range alive {
		ids[i] = alive[i].ID
	}
	x.askCrashes(ids)
}

// crashed takes what another instance tells of requests, or asks for.
func (x *Exchange) crashed(c *peerv1.Crashes, from net.Addr) {
	if c.Instance == "" || c.Instance == x.Self.ID {
		x.metrics.malformed.Inc(1)
		return
	}
	if c.Ask {
		facts, complete := x.Crashes.Facts()
		x.tellFacts(facts, complete, from)
		return
	}
	x.Crashes.Heard(c.Instance, decodeFacts(time.Now(), c.Facts), c.Complete)
}

func encodeFacts(now time.Time, facts []crashers.Fact) []*peerv1.CrashFact {
	out := make([]*peerv1.CrashFact, len(facts))
	for i := range facts {
		out[i] = encodeFact(now, &facts[i])
	}
	return out
}

func encodeFact(now time.Time, f *crashers.Fact) *peerv1.CrashFact {
	out := &peerv1.CrashFact{Team: f.Request.Team, Content: f.Request.Content[:], Service: f.Service, Trying: f.Trying}
	for _, e := range f.Ends {
		out.Ends = append(out.Ends, &peerv1.EndUnder{
			Endpoint: e.Endpoint, Sign: peerv1.EndSign(e.Sign), SentAge: milliseconds(now.Sub(e.Sent)), Age: milliseconds(now.Sub(e.At)),
		})
	}
	if !f.Cleared.IsZero() {
		age := milliseconds(now.Sub(f.Cleared))
		out.ClearedAge = &age
	}
	if s := f.Stop; s.Times > 0 {
		out.Stops, out.Stored = uint32(s.Times), s.Stored
		out.StopAge, out.StopLeft = milliseconds(now.Sub(s.At)), milliseconds(s.Until.Sub(now))
	}
	return out
}

// milliseconds returns a time in whole milliseconds, 0 for less than none.
func milliseconds(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

func decodeFacts(now time.Time, facts []*peerv1.CrashFact) []crashers.Fact {
	var out []crashers.Fact
	for _, f := range facts {
		if len(f.GetContent()) == contentSize {
			out = append(out, decodeFact(now, f))
		}
	}
	return out
}

func decodeFact(now time.Time, f *peerv1.CrashFact) crashers.Fact {
	out := crashers.Fact{Request: crashers.Request{Team: f.Team, Content: crashers.Content(f.Content)}, Service: f.Service, Trying: f.Trying}
	ago := func(ms uint64) time.Time { return now.Add(-ofMilliseconds(ms)) }
	for _, e := range f.Ends {
		out.Ends = append(out.Ends, crashers.End{Endpoint: e.GetEndpoint(), Sign: crashers.Sign(e.GetSign()), Sent: ago(e.GetSentAge()), At: ago(e.GetAge())})
	}
	if f.ClearedAge != nil {
		out.Cleared = ago(*f.ClearedAge)
	}
	if f.Stops > 0 {
		out.Stop = crashers.Stop{Times: int(f.Stops), At: ago(f.StopAge), Until: now.Add(ofMilliseconds(f.StopLeft)), Stored: f.Stored}
	}
	return out
}

func ofMilliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(ageMost.Milliseconds()))) * time.Millisecond
}
