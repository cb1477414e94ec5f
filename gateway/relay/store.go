package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/core/source"
	"github.com/agateway/agateway/platform"
)

// store asks the platform's store itself.
type store struct {
	relay  *Relay
	choice source.Choice
}

const (
	// probeWait is how long a watch waits that only finds out whether the store answers.
	probeWait = 10 * time.Millisecond
	// listPatience times what the store may take for other answers is what it may take for a list, of which
	// there may be several pages.
	listPatience = 2
)

// List implements [follow.Store].
func (s *store) List(ctx context.Context, kind string) (platform.Page, error) {
	return s.call(ctx, 0, listPatience*s.choice.Timeout, func(ctx context.Context) (platform.Page, error) {
		return s.relay.Store.List(ctx, kind)
	})
}

// Watch implements [follow.Store].
func (s *store) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platform.Page, error) {
	if s.choice.Probe {
		wait = min(wait, probeWait)
	}
	return s.call(ctx, wait, s.choice.Timeout, func(ctx context.Context) (platform.Page, error) {
		return s.relay.Store.Watch(ctx, kind, since, wait)
	})
}

func (s *store) call(ctx context.Context, wait, patience time.Duration, ask func(context.Context) (platform.Page, error)) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	began := s.relay.Clock()
	page, err := ask(ctx)
	took := s.relay.Clock() - began
	if err != nil && !errorx.IsOfType(err, platform.ErrHistoryGone) {
		s.relay.report(func(c *source.Chooser, now time.Duration) { c.StoreFailed(now) })
		return page, err
	}
	if len(page.Objects) > 0 && wait > 0 { // it came at any time of the wait
		s.relay.report(func(c *source.Chooser, now time.Duration) { c.StoreAnswered(now, c.StoreLatency()) })
		return page, err
	}
	if took >= wait {
		page.MinWait = wait // nothing came until the wait was over
	}
	took = max(took-wait, 0)
	s.relay.storeTook(took)
	s.relay.report(func(c *source.Chooser, now time.Duration) { c.StoreAnswered(now, took) })
	return page, err
}
