package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/platform"
)

// directStore reads from the platform's store itself.
type directStore struct {
	relay  *Relay
	choice source.Choice
}

const (
	// probeWait bounds the wait of a watch that only finds out whether the store answers.
	probeWait = 10 * time.Millisecond
	// listTimeoutFactor is how many times as long as for other calls the store has for a list,
	// which may have several pages.
	listTimeoutFactor = 2
)

// List implements [follow.Store].
func (s *directStore) List(ctx context.Context, kind string) (platform.Page, error) {
	return s.call(ctx, 0, listTimeoutFactor*s.choice.Timeout, func(ctx context.Context) (platform.Page, error) {
		return s.relay.Store.List(ctx, kind)
	})
}

// Watch implements [follow.Store].
func (s *directStore) Watch(ctx context.Context, kind string, since revision.Position, wait time.Duration) (platform.Page, error) {
	if s.choice.Probe {
		wait = min(wait, probeWait)
	}
	if wait <= probeWait { // a longer one may still be answered
		unlessRegained, cancel := s.relay.untilRegained(ctx)
		defer cancel()
		ctx = unlessRegained
	}
	return s.call(ctx, wait, s.choice.Timeout, func(ctx context.Context) (platform.Page, error) {
		page, err := s.relay.Store.Watch(ctx, kind, since.Revision, wait)
		if err == nil && page.Era != since.Era { // the store does not know which era since belongs to
			return page, platform.ErrHistoryGone.New("the store is in era %d, not %d", page.Era, since.Era)
		}
		return page, err
	})
}

func (s *directStore) call(ctx context.Context, wait, timeout time.Duration, read func(context.Context) (platform.Page, error)) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	began := s.relay.Clock()
	page, err := read(ctx)
	if err != nil && isEndedByRegained(ctx) {
		return page, err
	}
	if err == nil && !s.relay.acceptsEra(&page) {
		err = platform.ErrUnavailable.New("the answer is of era %d, which is over", page.Era)
	}
	latency := s.relay.Clock() - began
	if err != nil && !errorx.IsOfType(err, platform.ErrHistoryGone) {
		s.relay.report(func(c *source.Chooser, now time.Duration) { c.StoreFailed(now) })
		return page, err
	}
	if len(page.Objects) > 0 && wait > 0 { // the latency is unknown: the change may have come at any time of the wait
		s.relay.report(func(c *source.Chooser, now time.Duration) { c.StoreAnswered(now, c.StoreLatency()) })
		return page, err
	}
	if latency >= wait {
		page.MinWait = wait // nothing changed until the wait was over
	}
	latency = max(latency-wait, 0)
	s.relay.setStoreLatency(latency)
	s.relay.report(func(c *source.Chooser, now time.Duration) { c.StoreAnswered(now, latency) })
	return page, err
}
