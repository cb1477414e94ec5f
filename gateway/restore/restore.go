// Package restore writes again what instances had written to the platform's store, after that has
// returned from an older copy of itself. Package core/restoration decides when.
//
// Failure modes: while the store does not answer, an instance waits for its turn. What could not be
// written is tried again until it is.
package restore

import (
	"context"
	"time"

	"github.com/agateway/agateway/core/restoration"
	"github.com/agateway/agateway/gateway/pause"
)

// checkInterval is the time between two checks whether it is this instance's turn.
const checkInterval = 500 * time.Millisecond

// Options configure a [Loop].
type Options struct {
	// Hold is the time after a return in which the operator and the endpoints write theirs.
	Hold time.Duration
	// LongerRunning returns how many other instances that are alive have run longer.
	LongerRunning func() int
	// StoreAnswers reports whether the store answers this instance, or the one that it follows.
	StoreAnswers func() bool
	// Write writes what is missing. An error says that some of it may still be missing.
	Write func(ctx context.Context) error
}

// Loop writes again what is missing after each return of the store. It is safe for concurrent use.
type Loop struct {
	Options
	returned chan struct{}
}

// New returns a loop. It does nothing before Run.
func New(o Options) *Loop { return &Loop{Options: o, returned: make(chan struct{}, 1)} }

// StoreReturned records that the store has returned from an older copy.
func (l *Loop) StoreReturned() {
	select {
	case l.returned <- struct{}{}:
	default: // the loop has not taken the former return yet
	}
}

// Run waits for returns of the store until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case <-l.returned:
		case <-ctx.Done():
			return
		}
		l.restore(ctx)
	}
}

func (l *Loop) restore(ctx context.Context) {
	duty := restoration.New(time.Now().Add(l.Hold))
	for pause.For(ctx, checkInterval) {
		switch duty.Next(time.Now(), l.LongerRunning(), l.StoreAnswers()) {
		case restoration.Done:
			return
		case restoration.Write:
			if l.Write(ctx) == nil {
				return
			}
			duty.Failed(time.Now())
		}
	}
}
