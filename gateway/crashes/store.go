package crashes

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/times"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// Store calls are billed, so one instance makes each of them for the whole fleet.
const (
	// readJitter is the time over which instances that start together spread their reads. The first
	// one tells the others, which then don't read.
	readJitter = 600 * time.Millisecond
	// retryDelay scales the wait after the store did not answer: half of it plus a random time of
	// up to three times it.
	retryDelay = time.Second
	// regainedJitter is the time over which instances spread their reads once the store answers again, and
	// regainedSpread is that for each instance of the fleet where it is longer.
	regainedJitter = 150 * time.Millisecond
	regainedSpread = 10 * time.Millisecond
	// backupWriteDelay is how long other instances wait for the instance that decided a stop to
	// write it. After that they spread their own attempts over backupWriteSpread for each instance
	// of the fleet, and over at least backupWriteDelay. It is also the timeout of a deletion.
	backupWriteDelay  = 2 * time.Second
	backupWriteSpread = 50 * time.Millisecond
	// minCallGap is the least time between two writes of an instance.
	minCallGap = 100 * time.Millisecond
	// deleteAfter is how long after its end a stop is deleted from the store by an instance that
	// reads it. A request that did no harm for so long starts over. maxDeletes bounds the deletions
	// per read.
	deleteAfter = 24 * time.Hour
	maxDeletes  = 8
)

// stopEntry is a stop as the store keeps it. The object's name is the content hash in hexadecimal.
type stopEntry struct {
	Team string `json:"team"`
	// Part is the id of the stopped part of prompts; empty if a request as a whole is stopped.
	Part    string    `json:"part,omitempty"`
	Service string    `json:"service"`
	Times   int       `json:"times"`
	At      time.Time `json:"at"`
	Until   time.Time `json:"until"`
}

// syncStore reads the stops from the store, and again whenever other instances may know of stops
// that this one can't hear of. It writes the stops that are not stored yet. It returns when ctx
// ends.
func (r *Registry) syncStore(ctx context.Context) {
	select {
	case <-r.Discovered():
	case <-ctx.Done():
		return
	}
	r.loadStops(ctx, rand.N(readJitter))
	for ctx.Err() == nil {
		r.loadStops(ctx, 0)
		req, wait := r.nextWrite()
		if wait > 0 {
			pause.UntilWoken(ctx, wait, r.storeWake)
			continue
		}
		r.writeStop(ctx, req)
		pause.For(ctx, minCallGap)
	}
}

// scheduleWrite schedules the write of a stop. The caller holds mu.
func (r *Registry) scheduleWrite(req crashers.Subject, at time.Time) {
	r.writes[req] = at
	notify(r.storeWake)
}

// loadStops waits until the stops in the store are known: another instance tells them, or this one
// reads them after wait. It retries until the store answers or ctx ends, soon after the store answers other calls.
func (r *Registry) loadStops(ctx context.Context, wait time.Duration) {
	var regained <-chan struct{}
	for ; !r.isComplete() && r.awaitRead(ctx, wait, regained) && !r.isComplete(); wait = retryDelay/2 + rand.N(3*retryDelay) {
		regained = r.Regained.Next()
		page, err := r.Store.List(ctx, platform.KindStoppedRequest)
		if err != nil {
			r.Log.WithError(err).Warn("stopped requests can't be read from the store, retrying")
			continue
		}
		r.Unusable.Listed(platform.KindStoppedRequest, page.Objects)
		facts := r.decode(page.Objects)
		r.Heard("the store", facts, true)
		r.Broadcast(facts, true)
		r.deleteOldStops(facts)
	}
}

// awaitRead waits until the next read of the stops. It returns false if ctx has ended.
func (r *Registry) awaitRead(ctx context.Context, wait time.Duration, regained <-chan struct{}) bool {
	if pause.UntilNotified(ctx, wait, regained) {
		_, known := r.Instances()
		pause.For(ctx, rand.N(max(regainedJitter, regainedSpread*time.Duration(known))))
	}
	return ctx.Err() == nil
}

// deleteOldStops deletes stops from the store that ended long ago.
func (r *Registry) deleteOldStops(facts []crashers.Fact) {
	deleted := 0
	for i := range facts {
		if time.Since(facts[i].Stop.Until) >= deleteAfter && deleted < maxDeletes {
			deleted++
			r.deleteStop(facts[i].Subject)
		}
	}
}

// reloadIfPeersMissing schedules a read of the store if some instances can't be heard. It is called
// after a crash here, since those instances may have stopped the request. The caller holds mu.
func (r *Registry) reloadIfPeersMissing() {
	if alive, known := r.Instances(); alive < known {
		r.complete = false
		notify(r.storeWake)
	}
}

func (r *Registry) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// errNameLength says that the name of an object is no hash of a content.
var errNameLength = errors.New("the name has another length than a content hash")

// decode decodes the stops in objects of the store. It leaves out objects that can't be decoded.
func (r *Registry) decode(objects []platform.Object) []crashers.Fact {
	var out []crashers.Fact
	for _, o := range objects {
		var e stopEntry
		content, err := hex.DecodeString(o.Name)
		if err == nil {
			err = json.Unmarshal(o.Spec, &e)
		}
		if err == nil && len(content) != len(crashers.ContentHash{}) {
			err = errNameLength
		}
		if err != nil {
			r.Unusable.Found(platform.KindStoppedRequest, &o, err, "nothing is stopped")
			continue
		}
		r.Unusable.Gone(platform.KindStoppedRequest, o.Name)
		// Times in the store come from another machine's clock, which may be some seconds off.
		out = append(out, crashers.Fact{
			Subject: crashers.Subject{Team: e.Team, Content: crashers.ContentHash(content), Part: e.Part}, Service: e.Service,
			Stop: crashers.Stop{Count: e.Times, At: times.Earlier(e.At, time.Now()), Until: e.Until, Stored: true},
		})
	}
	return out
}

// RestoreStops writes the stops again that the store has lost by returning from an older copy, with one list
// and one call for each missing stop. The error says that the list failed; writes that fail are tried again.
func (r *Registry) RestoreStops(ctx context.Context) error {
	page, err := r.Store.List(ctx, platform.KindStoppedRequest)
	if err != nil {
		r.Log.WithError(err).Warn("stopped requests can't be read from the store to restore them")
		return err
	}
	listed := page.Names()
	r.mu.Lock()
	defer r.mu.Unlock()
	now, restored := time.Now(), 0
	for _, req := range r.core.StoppedRequests() {
		if !listed[hex.EncodeToString(req.Content[:])] && now.Before(r.core.Stop(req).Until) {
			r.scheduleWrite(req, now)
			restored++
		}
	}
	r.Log.WithFields(logrus.Fields{"listed": len(listed), "restored": restored}).Info("stopped requests compared after the store returned")
	return nil
}

// scheduleBackupWrite schedules the write of a stop that another instance decided, in case that
// instance does not write it. It cancels the write of a stop that is stored or over. The caller
// holds mu.
func (r *Registry) scheduleBackupWrite(now time.Time, req crashers.Subject) {
	s := r.core.Stop(req)
	_, planned := r.writes[req]
	switch {
	case s.Stored || !now.Before(s.Until):
		delete(r.writes, req)
	case !planned:
		_, known := r.Instances()
		r.scheduleWrite(req, now.Add(backupWriteDelay+rand.N(max(backupWriteSpread*time.Duration(known), backupWriteDelay))))
	}
}

// nextWrite returns the stop to write next and the time until then. It returns maxStoreWait if
// there is none.
func (r *Registry) nextWrite() (next crashers.Subject, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait = maxStoreWait
	for req, due := range r.writes {
		if d := time.Until(due); d < wait {
			next, wait = req, d
		}
	}
	return next, wait
}

// maxStoreWait is how long syncStore waits if there is nothing to write.
const maxStoreWait = time.Hour

// writeStop writes a stop to the store. If that fails, it schedules another attempt.
func (r *Registry) writeStop(ctx context.Context, req crashers.Subject) {
	r.mu.Lock()
	f, _ := r.core.Fact(time.Now(), req, r.Self)
	r.mu.Unlock()
	s := f.Stop
	name := hex.EncodeToString(req.Content[:])
	spec, err := json.Marshal(stopEntry{Team: req.Team, Part: req.Part, Service: f.Service, Times: s.Count, At: s.At.UTC(), Until: s.Until.UTC()})
	if err == nil && s.Count > 0 {
		_, err = r.Store.Create(ctx, platform.KindStoppedRequest, name, spec)
		switch {
		case platform.IsConflict(err) && s.Count > 1:
			_, err = r.Store.Replace(ctx, platform.KindStoppedRequest, name, spec, revision.Position{})
		case platform.IsConflict(err): // another instance has written it
			err = nil
		}
	}
	if err != nil {
		r.log(req, nil).WithError(err).Warn("stop can't be written to the store, retrying")
		r.mu.Lock()
		r.writes[req] = time.Now().Add(retryDelay/2 + rand.N(3*retryDelay))
		r.mu.Unlock()
		return
	}
	r.announceStored(req)
}

// announceStored records that a stop is stored and tells the others without the delay of
// [broadcastGap], since each of them may be about to write it.
func (r *Registry) announceStored(req crashers.Subject) {
	r.mu.Lock()
	delete(r.writes, req)
	r.core.MarkStored(req)
	f, known := r.core.Fact(time.Now(), req, r.Self)
	complete := r.complete
	r.scheduleBroadcast(req) // again, since datagrams get lost
	r.mu.Unlock()
	if known {
		r.Broadcast([]crashers.Fact{f}, complete)
	}
}

// deleteStop deletes a stop from the store. One that can't be deleted expires there.
func (r *Registry) deleteStop(req crashers.Subject) {
	ctx, cancel := context.WithTimeout(context.Background(), backupWriteDelay)
	defer cancel()
	if err := r.Store.Delete(ctx, platform.KindStoppedRequest, hex.EncodeToString(req.Content[:]), revision.Position{}); err != nil {
		r.log(req, nil).WithError(err).Warn("stop can't be deleted from the store")
	}
}
