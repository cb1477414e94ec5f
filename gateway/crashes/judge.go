package crashes

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/gateway/pause"
)

const (
	// begunWithin is how long after an answer has begun, and before its first event, the end of its endpoint says much about its
	// request. A usual stream is in that state for some tens of milliseconds.
	begunWithin = 500 * time.Millisecond
	// ServedAfter is how long a stream has to run for its request to be cleared, and TriedAfter for its trial to be over: a request
	// that ends its engine has done so by then.
	ServedAfter = time.Second
	TriedAfter  = 250 * time.Millisecond
	// atOnce is how soon after it was sent a request is lost on a connection whose endpoint had ended before.
	atOnce = 20 * time.Millisecond
	// unsureFor is how long the others' news of failures is awaited before an end is held against a request that may not
	// have begun to run.
	unsureFor = 500 * time.Millisecond
	// atOneMoment is how long before an end others of the data centre may have failed that were lost with it.
	atOneMoment = 100 * time.Millisecond
	// unsureMost bounds the ends for which news is awaited at a time.
	unsureMost = 64
)

// Loss is a request that an endpoint lost, and how far it was with it.
type Loss struct {
	Request crashers.Request
	// ID is that of the caller's attempt, for the log.
	ID                string
	Endpoint, Service string
	// SentAt and HeadAt are when the request was sent and when its answer began, EventAt when its first event came; zero
	// where they did not.
	SentAt, HeadAt, EventAt time.Time
	// Reused tells that the connection had served another request.
	Reused bool
	// Served tells that the caller had been served for a while when the request was sent there.
	Served bool
	// Urgent tells that the caller has events already and must not wait: nothing is found out before Blame returns.
	Urgent bool
}

// sign returns what the end of the endpoint at a time would say about the request; 0 for nothing.
func (l *Loss) sign(at time.Time) crashers.Phase {
	switch {
	case l.Served, !l.EventAt.IsZero() && at.Sub(l.EventAt) >= ServedAfter:
		return crashers.Late
	case !l.HeadAt.IsZero() && l.EventAt.IsZero() && at.Sub(l.HeadAt) <= begunWithin:
		return crashers.Begun
	case l.Reused && at.Sub(l.SentAt) <= atOnce:
		return 0
	}
	return crashers.Present
}

// Judge finds out whether a request is to blame for the end of an endpoint. It is safe for concurrent use.
type Judge struct {
	// Ended takes what is held against a request; nil where nothing is.
	Ended func(req crashers.Request, end crashers.Crash, inputs logrus.Fields)
	// HasEnded tells whether the process of an endpoint is gone that was not told to leave.
	HasEnded func(endpoint string) bool
	// Unreachable tells whether an endpoint that was not told to leave can't be connected to; nil where silence says nothing.
	Unreachable func(endpoint string) bool
	// Nearby returns how many endpoints there are in the data centre of an endpoint, and how many of them failed last
	// within a time.
	Nearby func(endpoint string, from, to time.Time) (failed, all int)

	unsure atomic.Int64 // ends of which it is not known yet whether they count
}

// Blame finds out whether an endpoint has ended, and holds that against the request that it lost. Where that says much, or
// is not the first time for this attempt of the caller, it is done when Blame returns, so that the request is not sent to
// another one before. before are the losses of this attempt.
func (j *Judge) Blame(ctx context.Context, before *Losses, l Loss) {
	at := time.Now()
	sign := l.sign(at)
	if sign == 0 || j.Ended == nil {
		return
	}
	if l.Urgent {
		l.Urgent = false
		go j.Blame(context.Background(), before, l)
		return
	}
	end := crashers.Crash{Endpoint: l.Endpoint, Service: l.Service, Phase: sign, Sent: l.SentAt, At: at}
	if sign == crashers.Begun {
		if j.HasEnded(l.Endpoint) {
			j.Ended(l.Request, end, logrus.Fields{"request": l.ID})
			return
		}
		j.blameUnreachable(&l, end)
		return
	}
	judged := j.blameLater(&l, end, j.HasEnded, func(inputs logrus.Fields) {
		before.take(&end, func() { j.Ended(l.Request, end, inputs) })
	})
	if judged == nil || before.count.Add(1) == 1 {
		return
	}
	select {
	case <-judged:
	case <-ctx.Done():
	}
}

// BlameSilence checks whether an endpoint that fell silent between the head of its answer and the first event can still be reached, and
// counts it as ended if not. Silence at any other moment is ignored, since it has too many causes.
func (j *Judge) BlameSilence(l Loss) {
	if j.Ended == nil || l.Served || l.HeadAt.IsZero() || !l.EventAt.IsZero() {
		return
	}
	j.blameUnreachable(&l, crashers.Crash{Endpoint: l.Endpoint, Service: l.Service, Phase: crashers.Begun, Sent: l.SentAt, At: time.Now()})
}

// blameUnreachable holds an end against a request in the background, if connections to the endpoint are not answered.
func (j *Judge) blameUnreachable(l *Loss, end crashers.Crash) {
	if j.Unreachable == nil {
		return
	}
	j.blameLater(l, end, j.Unreachable, func(inputs logrus.Fields) {
		inputs["unreachable"] = true
		j.Ended(l.Request, end, inputs)
	})
}

// blameLater reports an end in the background, if the endpoint is gone and did not go with most of its data centre. It returns a channel
// that is closed when that is decided; nil where too many are to be decided already.
func (j *Judge) blameLater(l *Loss, end crashers.Crash, gone func(endpoint string) bool, report func(inputs logrus.Fields)) chan struct{} {
	if j.unsure.Add(1) > unsureMost {
		j.unsure.Add(-1)
		return nil
	}
	judged := make(chan struct{})
	go func() {
		defer close(judged)
		defer j.unsure.Add(-1)
		if gone(end.Endpoint) {
			if inputs, alone := j.alone(l, end); alone {
				report(inputs)
			}
		}
	}()
	return judged
}

// alone reports whether an endpoint ended by itself, not with most of its data centre, and the inputs of that decision.
func (j *Judge) alone(l *Loss, end crashers.Crash) (inputs logrus.Fields, alone bool) {
	pause.For(context.Background(), unsureFor)
	failed, all := j.Nearby(end.Endpoint, end.At.Add(-atOneMoment), end.At.Add(unsureFor))
	return logrus.Fields{"request": l.ID, "failed_nearby": failed, "endpoints_nearby": all}, 2*failed < all || failed <= 1
}
