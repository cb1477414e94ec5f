package crashes

import (
	"time"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/gateway/clock"
)

// contentSize is the size of a content hash on the wire, in bytes.
const contentSize = len(crashers.ContentHash{})

// EncodeFacts encodes facts for other instances. It sends times as ages relative to now.
func EncodeFacts(now time.Time, facts []crashers.Fact) []*peerv1.CrashFact {
	out := make([]*peerv1.CrashFact, len(facts))
	for i := range facts {
		out[i] = encodeFact(now, &facts[i])
	}
	return out
}

func encodeFact(now time.Time, f *crashers.Fact) *peerv1.CrashFact {
	out := &peerv1.CrashFact{Team: f.Subject.Team, Content: f.Subject.Content[:], Part: f.Subject.Part, Service: f.Service, Trying: f.Trying}
	for _, e := range f.Crashes {
		out.Ends = append(out.Ends, &peerv1.EndUnder{
			Endpoint: e.Endpoint, Sign: peerv1.EndSign(e.Phase), SentAge: clock.EncodeAge(now.Sub(e.Sent)), Age: clock.EncodeAge(now.Sub(e.At)),
		})
	}
	if !f.ClearedAt.IsZero() {
		age := clock.EncodeAge(now.Sub(f.ClearedAt))
		out.ClearedAge = &age
	}
	if s := f.Stop; s.Count > 0 {
		out.Stops, out.Stored = uint32(s.Count), s.Stored
		out.StopAge, out.StopLeft = clock.EncodeAge(now.Sub(s.At)), clock.EncodeAge(s.Until.Sub(now))
	}
	return out
}

// DecodeFacts decodes facts of another instance. It leaves out facts without a valid content hash.
// now is the time that ages are relative to.
func DecodeFacts(now time.Time, facts []*peerv1.CrashFact) []crashers.Fact {
	var out []crashers.Fact
	for _, f := range facts {
		if len(f.GetContent()) == contentSize {
			out = append(out, decodeFact(now, f))
		}
	}
	return out
}

func decodeFact(now time.Time, f *peerv1.CrashFact) crashers.Fact {
	out := crashers.Fact{Subject: crashers.Subject{Team: f.Team, Content: crashers.ContentHash(f.Content), Part: f.Part}, Service: f.Service, Trying: f.Trying}
	ago := func(ms uint64) time.Time { return now.Add(-clock.DecodeAge(ms)) }
	for _, e := range f.Ends {
		out.Crashes = append(out.Crashes, crashers.Crash{Endpoint: e.GetEndpoint(), Phase: crashers.Phase(e.GetSign()), Sent: ago(e.GetSentAge()), At: ago(e.GetAge())})
	}
	if f.ClearedAge != nil {
		out.ClearedAt = ago(*f.ClearedAge)
	}
	if f.Stops > 0 {
		out.Stop = crashers.Stop{Count: int(f.Stops), At: ago(f.StopAge), Until: now.Add(clock.DecodeAge(f.StopLeft)), Stored: f.Stored}
	}
	return out
}
