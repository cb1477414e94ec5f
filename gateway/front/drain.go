package front

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Times of a graceful shutdown.
const (
	// directoryExpiryMargin is how much longer than Bounds.Keep, for which callers may keep its
	// address, a leaving instance accepts requests.
	directoryExpiryMargin = 500 * time.Millisecond
	// drainIdleTime is how long no request may have been in progress before a drain ends.
	drainIdleTime = 300 * time.Millisecond
	// drainPollInterval is the time between two checks of the number of requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// forcedEndReserve is the part of Bounds.Grace that is left when requests in progress are ended
	// by force. forcedEndAnswerTimeout is the part of it in which their answers are written.
	forcedEndReserve       = 300 * time.Millisecond
	forcedEndAnswerTimeout = 200 * time.Millisecond
)

// Drain shuts the instance down gracefully and returns when it has ended. The instance reports not
// ready and leaves the directory at once. Requests that still arrive are served, and each answer
// says that its connection closes. Those that may not end in time are refused. The drain ends when
// callers no longer keep the address and no request is in progress, or forcedEndReserve before
// Bounds.Grace is over. Requests in progress at that time are ended, and their callers are told so.
func (f *Front) Drain() {
	log := f.telemetry.Log
	began := time.Now()
	until := began.Add(f.settings.Bounds.Grace - forcedEndReserve)
	log.WithField("open", f.forwarder.OpenRequests()).Info("stopping")
	f.draining.Store(true)
	f.forwarder.Drain(until)
	f.exchange.PublishStatus()
	f.awaitIdle(began, until)
	f.forwarder.RefuseRequests() // no request may start after the last check for open ones
	f.awaitNoRequests(until)
	open := f.forwarder.OpenRequests()
	f.forwarder.CancelRequests()
	f.callers.shutdown(forcedEndAnswerTimeout)
	log.WithFields(logrus.Fields{"open": open, "took_ms": time.Since(began).Milliseconds()}).Info("stopped")
	f.Close()
}

// awaitIdle waits until no caller may still keep the address of the instance and no request has
// been in progress for drainIdleTime, at most until the given time.
func (f *Front) awaitIdle(began, until time.Time) {
	earliest := began.Add(f.settings.Bounds.Keep + directoryExpiryMargin)
	idleSince := began
	for now := began; now.Before(until); now = time.Now() {
		if f.forwarder.OpenRequests() > 0 {
			idleSince = now
		}
		if now.After(earliest) && now.Sub(idleSince) >= drainIdleTime {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// awaitNoRequests waits until no request is in progress, at most until the given time.
func (f *Front) awaitNoRequests(until time.Time) {
	for f.forwarder.OpenRequests() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// Close ends the instance at once, with all connections.
func (f *Front) Close() {
	f.cancel()
	f.callers.close()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.goroutines.Wait()
	f.telemetry.Close()
	f.logWriter.Close()
}
