package front

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Times of a graceful shutdown.
const (
	// drainMargin is by how much longer a leaving instance takes requests than callers keep its address.
	drainMargin = 500 * time.Millisecond
	// drainQuiet is how long no request may have been in progress before the process ends.
	drainQuiet = 300 * time.Millisecond
	// drainStep is how often that is looked at.
	drainStep = 20 * time.Millisecond
	// drainSpare is what is left of the grace when requests are ended by force, drainAnswers the part of it in which their answers are
	// written.
	drainSpare   = 300 * time.Millisecond
	drainAnswers = 200 * time.Millisecond
)

// Drain shuts down gracefully: the instance is not ready and out of the directory at once, and requests that still come are served,
// each with the word that its connection closes. It ends when none is left, or when the grace is nearly over. Requests in progress are
// told so then.
func (f *Front) Drain() {
	log := f.telemetry.Log
	began := time.Now()
	until := began.Add(f.settings.Bounds.Grace - drainSpare)
	log.WithField("open", f.forwarder.Open()).Info("stopping")
	f.draining.Store(true)
	f.forwarder.Drain(until)
	f.exchange.PublishStatus()
	f.awaitQuiet(began, until)
	f.forwarder.Refuse() // before the last look at what is open
	f.awaitNone(until)
	open := f.forwarder.Open()
	f.forwarder.End()
	f.callers.shutdown(drainAnswers)
	log.WithFields(logrus.Fields{"open": open, "took_ms": time.Since(began).Milliseconds()}).Info("stopped")
	f.Close()
}

// awaitQuiet waits until callers know that the instance leaves and no request has been in progress for a while.
func (f *Front) awaitQuiet(began, until time.Time) {
	least := began.Add(f.settings.Bounds.Keep + drainMargin)
	quietSince := began
	for now := began; now.Before(until); now = time.Now() {
		if f.forwarder.Open() > 0 {
			quietSince = now
		}
		if now.After(least) && now.Sub(quietSince) >= drainQuiet {
			return
		}
		time.Sleep(drainStep)
	}
}

// awaitNone waits until no request is in progress.
func (f *Front) awaitNone(until time.Time) {
	for f.forwarder.Open() > 0 && time.Now().Before(until) {
		time.Sleep(drainStep)
	}
}

// Close ends the instance at once.
func (f *Front) Close() {
	f.cancel()
	f.callers.close()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.work.Wait()
	f.telemetry.Close()
	f.output.Close()
}
