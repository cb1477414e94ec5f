package crashes

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Calls to the store: each is paid for, so one instance makes them for all.
const (
	// readSpread is the time over which instances read the store that start together: the first one tells the others.
	readSpread = 600 * time.Millisecond
	// readAgain is the pause after the store did not answer, and half to three times that at random.
	readAgain = time.Second
	// writeLate is how long others wait for the instance that decided a stop to have written it, and writeSpread the time for each
	// instance of the fleet over which they try then.
	writeLate   = 2 * time.Second
	writeSpread = 50 * time.Millisecond
	// callGap bounds the calls of an instance.
	callGap = 100 * time.Millisecond
	// sweepAfter is how long after its end a stop is taken out of the store by whoever reads it: a request that did no harm for
	// so long begins anew. sweepMost bounds how many are at a time.
	sweepAfter = 24 * time.Hour
	sweepMost  = 8
)

// stopEntry is a stop as the store keeps it, under its content.
type stopEntry struct {
	Team    string    `json:"team"`
	Service string    `json:"service"`
	Times   int       `json:"times"`
	At      time.Time `json:"at"`
	Until   time.Time `json:"until"`
}

// keep reads the stops that are kept, again when others may know of some that this instance can't hear of, and writes those
// that are not.
func (r *Register) keep(ctx context.Context) {
	select {
	case <-r.Met():
	case <-ctx.Done():
		return
	}
	r.read(ctx, rand.N(readSpread))
	for ctx.Err() == nil {
		r.read(ctx, 0)
		req, wait := r.nextWrite()
		if wait > 0 {
			pause.Until(ctx, wait, r.keeperWake)
			continue
		}
		r.write(ctx, req)
		pause.For(ctx, callGap)
	}
}

// writeAt plans to write a stop. The caller holds mu.
func (r *Register) writeAt(req crashers.Request, at time.Time) {
	r.writes[req] = at
	notify(r.keeperWake)
}

// read learns which stops are kept, from another instance or from the store.
func (r *Register) read(ctx context.Context, wait time.Duration) {
	for ; !r.isComplete() && pause.For(ctx, wait) && !r.isComplete(); wait = readAgain/2 + rand.N(3*readAgain) {
		page, err := r.Store.List(ctx, platform.KindStoppedRequest)
		if err != nil {
			r.Log.WithError(err).Warn("stopped requests not read yet")
			continue
		}
		facts := r.decode(page.Objects)
		r.Heard("the store", facts, true)
		r.Tell(facts, true)
		r.sweep(facts)
	}
}

// sweep takes stops out of the store that are long over.
func (r *Register) sweep(facts []crashers.Fact) {
	swept := 0
	for i := range facts {
		if time.Since(facts[i].Stop.Until) >= sweepAfter && swept < sweepMost {
			swept++
			r.unstore(facts[i].Request)
		}
	}
}

// readAfterEnd plans to read the store, since an endpoint ended under a request here and some others are not heard: they
// may have stopped it. The caller holds mu.
func (r *Register) readAfterEnd() {
	if alive, known := r.Instances(); alive < known {
		r.complete = false
		notify(r.keeperWake)
	}
}

func (r *Register) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// decode returns the stops in some objects of the store.
func (r *Register) decode(objects []platform.Object) []crashers.Fact {
	var out []crashers.Fact
	for _, o := range objects {
		var e stopEntry
		content, err := hex.DecodeString(o.Name)
		if err == nil {
			err = json.Unmarshal(o.Spec, &e)
		}
		if err != nil || len(content) != len(crashers.ContentHash{}) {
			r.Log.WithField("object", o.Name).Warn("stopped request can't be read")
			continue
		}
		// The times of the store's objects are those of another machine's clock, and may be some seconds off.
		out = append(out, crashers.Fact{
			Request: crashers.Request{Team: e.Team, Content: crashers.ContentHash(content)}, Service: e.Service,
			Stop: crashers.Stop{Count: e.Times, At: earlier(e.At, time.Now()), Until: e.Until, Stored: true},
		})
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// mayWrite plans to write a stop of another instance, in case that one does not. The caller holds mu.
func (r *Register) mayWrite(now time.Time, req crashers.Request) {
	s := r.core.Stop(req)
	_, planned := r.writes[req]
	switch {
	case s.Stored || !now.Before(s.Until):
		delete(r.writes, req)
	case !planned:
		_, known := r.Instances()
		r.writeAt(req, now.Add(writeLate+rand.N(max(writeSpread*time.Duration(known), writeLate))))
	}
}

// nextWrite returns the stop that is to be written next, and how long that is from now.
func (r *Register) nextWrite() (next crashers.Request, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait = never
	for req, due := range r.writes {
		if d := time.Until(due); d < wait {
			next, wait = req, d
		}
	}
	return next, wait
}

// never is waited where nothing is to be written.
const never = time.Hour

// write keeps a stop in the store.
func (r *Register) write(ctx context.Context, req crashers.Request) {
	r.mu.Lock()
	f, _ := r.core.Fact(time.Now(), req, r.Self)
	r.mu.Unlock()
	s := f.Stop
	name := hex.EncodeToString(req.Content[:])
	spec, err := json.Marshal(stopEntry{Team: req.Team, Service: f.Service, Times: s.Count, At: s.At.UTC(), Until: s.Until.UTC()})
	if err == nil && s.Count > 0 {
		_, err = r.Store.Create(ctx, platform.KindStoppedRequest, name, spec)
		switch {
		case platform.IsConflict(err) && s.Count > 1:
			_, err = r.Store.Replace(ctx, platform.KindStoppedRequest, name, spec, 0)
		case platform.IsConflict(err): // another instance was first
			err = nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.writes[req] = time.Now().Add(readAgain/2 + rand.N(3*readAgain))
		r.log(req, nil).WithError(err).Warn("stop not written yet")
		return
	}
	delete(r.writes, req)
	r.core.MarkStored(req)
	r.tell(req)
}

// unstore takes a stop out of the store. One that stays there by mischance ends by its time.
func (r *Register) unstore(req crashers.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), writeLate)
	defer cancel()
	if err := r.Store.Delete(ctx, platform.KindStoppedRequest, hex.EncodeToString(req.Content[:]), 0); err != nil {
		r.log(req, nil).WithError(err).Warn("stop not taken out of the store")
	}
}
