package front_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

const (
	// firstPauseDay is the first day with streams, and with endpoints that are stopped for a time. Earlier
	// days stay as they were.
	firstPauseDay = 100
	// sideBySideBound is how long a request may run at two endpoints at once.
	sideBySideBound = 400 * time.Millisecond
	// streamInterval is the mean time between two streams.
	streamInterval = 120 * time.Millisecond
	// broadShare is the share of the engines from which a pause is certainly shared. Of the streams running
	// then, prefilledAgainShare may be prefilled again, and prefilledSoonShare within sharedSilenceBound,
	// for which streams stay at an engine whose silence is shared.
	broadShare                              = 0.4
	prefilledAgainShare, prefilledSoonShare = 0.1, 0.05
	sharedSilenceBound                      = 2 * time.Second
)

// stoppedTime is a time in which the process of an endpoint was stopped.
type stoppedTime struct {
	endpoint    *standin.Worker
	from, until time.Time
}

// dayStream is a stream that was sent, and its answer.
type dayStream struct {
	id, front   string
	answer      standin.Answer
	err         error
	sent, ended time.Time
}

// pause makes an endpoint refuse for a time, and ask for pauses.
func (d *day) pause() {
	e := d.plains[d.rnd.IntN(len(d.plains))]
	d.pauseEndpoints([]*standin.Worker{e}, fmt.Sprint(askedPause.Seconds()), refusingFor)
	d.tell("%s asks for pauses of %v", e.Config().ID, askedPause)
}

// checkPauses checks that endpoints that asked an instance for a pause got next to nothing from it meanwhile.
func (d *day) checkPauses() {
	for _, e := range d.plains {
		for _, refusal := range e.PauseRequests() {
			from, _, _ := net.SplitHostPort(refusal.From)
			n := 0
			for _, a := range arrivalsByInstance(e, refusal.At.Add(pauseNotice))[from] {
				if a.At.Sub(refusal.At) < askedPause {
					n++
				}
			}
			if n > pauseSlack && !d.startedWithin(from, refusal.At, refusal.At.Add(askedPause)) && !d.stoppedBetween(e, refusal.At, refusal.At.Add(askedPause)) {
				d.fail("%s got %d requests of %s in the pause it asked for at %v", e.Config().ID, n, from, refusal.At.Sub(d.began))
			}
		}
	}
}

// startedWithin reports whether an instance started between two times.
func (d *day) startedWithin(host string, from, to time.Time) bool {
	for _, at := range d.starts[host] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// playPauses stops a share of the engines or plain endpoints, a tenth to all, for 0.3 to 5 s, alone or in a
// series.
func (d *day) playPauses(rnd *rand.Rand) {
	for time.Since(d.began) < randomDay {
		time.Sleep(time.Duration(500+rnd.IntN(5000)) * time.Millisecond)
		all, count, longest := d.engines, 1, 4700
		if rnd.IntN(4) == 0 {
			all = d.plains
		}
		if rnd.IntN(3) == 0 {
			count, longest = 2+rnd.IntN(3), 1200
		}
		n := max(int((0.1+0.9*rnd.Float64())*float64(len(all))), 1)
		for range count {
			length := time.Duration(300+rnd.IntN(longest)) * time.Millisecond
			d.tell("%d of %d, as %s, are stopped for %v", n, len(all), all[0].Config().ID, length)
			for _, i := range rnd.Perm(len(all))[:n] {
				d.stopEndpoint(all[i], length)
			}
			time.Sleep(length + time.Duration(200+rnd.IntN(1000))*time.Millisecond)
		}
	}
}

func (d *day) stopEndpoint(e *standin.Worker, length time.Duration) {
	e.Pause(length)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = append(d.stopped, stoppedTime{e, time.Now(), time.Now().Add(length)})
}

// stoppedBetween reports whether an endpoint was stopped between two times. It reads late what came then.
func (d *day) stoppedBetween(e *standin.Worker, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.stopped, func(s stoppedTime) bool {
		return s.endpoint == e && !s.from.After(to) && !s.until.Before(from)
	})
}

// sendStreams sends streams until the day ends, and waits for their answers.
func (d *day) sendStreams(rnd *rand.Rand) {
	var open sync.WaitGroup
	for i := 0; time.Since(d.began) < randomDay; i++ {
		open.Go(func() {
			front := d.running(i)
			s := dayStream{id: d.newRequestID(), front: frontIP(front), sent: time.Now()}
			r := briefRequest(s.id)
			r.ID = s.id
			s.answer, s.err = d.send(front, r)
			s.ended = time.Now()
			d.mu.Lock()
			defer d.mu.Unlock()
			d.streams = append(d.streams, s)
		})
		time.Sleep(time.Duration(rnd.Int64N(int64(2 * streamInterval))))
	}
	open.Wait()
}

// dayRun is a run of a request at an endpoint.
type dayRun struct {
	standin.Run
	endpoint *standin.Worker
}

// checkStreams checks that no stream was broken off whose engine was only stopped for a time, and that no
// request ran at two endpoints at once for longer than allowed.
func (d *day) checkStreams() {
	runs := map[string][]dayRun{}
	for _, e := range slices.Concat(d.engines, d.plains) {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], dayRun{r, e})
		}
	}
	for id, all := range runs {
		slices.SortFunc(all, func(a, b dayRun) int { return a.At.Compare(b.At) })
		for i := 1; i < len(all); i++ {
			both := min(all[i-1].EndedAt.Sub(all[i].At), all[i].EndedAt.Sub(all[i].At))
			if both > sideBySideBound {
				d.fail("%s ran at %s and %s side by side for %v, at %v", id, all[i-1].endpoint.Config().ID, all[i].endpoint.Config().ID, both, all[i].At.Sub(d.began))
			}
		}
	}
	d.checkPrefilledAgain(runs)
	for i := range d.streams {
		d.checkStream(&d.streams[i], runs[d.streams[i].id])
	}
}

func (d *day) checkStream(s *dayStream, runs []dayRun) {
	whole := s.err == nil && s.answer.Status == http.StatusOK && s.answer.Complete && len(s.answer.Events) == streamEvents
	if whole || s.ended.Sub(s.sent) >= briefRequest("").Timeout || d.startedWithin(s.front, s.sent, s.ended.Add(settleTime)) {
		return
	}
	for _, r := range runs {
		if r.Ended == "cut" && d.stoppedBetween(r.endpoint, r.At, r.EndedAt) {
			d.fail("stream %s of %s, sent at %v, was broken off after %v with %d events (status %d, %v), and %s was only stopped",
				s.id, s.front, s.sent.Sub(d.began), s.ended.Sub(s.sent), len(s.answer.Events), s.answer.Status, s.err, r.endpoint.Config().ID)
			return
		}
	}
}

// checkPrefilledAgain checks how many of the streams that ran when many engines were stopped were prefilled
// again at others.
func (d *day) checkPrefilledAgain(runs map[string][]dayRun) {
	running, again, soon := 0, 0, 0
	for from, stopped := range d.broadPauses() {
		for _, all := range runs {
			i := slices.IndexFunc(all, func(r dayRun) bool { return r.At.Before(from) && r.EndedAt.After(from) })
			if i < 0 {
				continue
			}
			running++
			until := stopped[all[i].endpoint]
			next := slices.IndexFunc(all[i+1:], func(r dayRun) bool { return r.Read > promptTokens/2 && r.At.Before(until) })
			if next < 0 {
				continue
			}
			again++
			if all[i+1+next].At.Sub(from) < sharedSilenceBound {
				soon++
			}
		}
	}
	d.t.Logf("%d of %d streams were prefilled again, %d of them soon", again, running, soon)
	if float64(again) > prefilledAgainShare*float64(running) || float64(soon) > prefilledSoonShare*float64(running) {
		d.fail("%d of %d streams were prefilled again beside pauses of many engines, %d of them soon", again, running, soon)
	}
}

// broadPauses returns the pauses of many engines, by when they began: the engines that were stopped, and until
// when.
func (d *day) broadPauses() map[time.Time]map[*standin.Worker]time.Time {
	all := map[time.Time]map[*standin.Worker]time.Time{}
	for _, s := range d.stopped {
		if s.endpoint.Config().Service == d.engines[0].Config().Service {
			if all[s.from] == nil {
				all[s.from] = map[*standin.Worker]time.Time{}
			}
			all[s.from][s.endpoint] = s.until
		}
	}
	maps.DeleteFunc(all, func(_ time.Time, stopped map[*standin.Worker]time.Time) bool {
		return float64(len(stopped)) < broadShare*float64(len(d.engines))
	})
	return all
}
