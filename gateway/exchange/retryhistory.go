package exchange

import (
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/limits"
)

// Retries holds what this instance knows of the requests that all instances have sent again. Sources are by
// service.
type Retries interface {
	// History returns what was sent within the last window, and for how long this instance knows what all have
	// sent. process is this instance's process.
	History(process uint64) (sources map[string][]limits.RetrySource, knownFor time.Duration)
	// MergeHistory takes the history of another instance.
	MergeHistory(process uint64, sources map[string][]limits.RetrySource, knownFor time.Duration)
	// NeedsHistory reports whether this instance does not know what was sent in the whole last window.
	NeedsHistory() bool
}

const (
	// maxHistoryBytes bounds the sources in a datagram to what two packets hold.
	maxHistoryBytes = 2800
	// maxHistoryLimits bounds the endpoints whose limits are in an answer.
	maxHistoryLimits = 40
	// maxHistoryParts bounds the parts of an answer that are waited for.
	maxHistoryParts = 256
	// minHistoryGap is the least time between two questions for the history.
	minHistoryGap = 200 * time.Millisecond
)

// retryQuestions is the state of the questions for the history of retries.
type retryQuestions struct {
	// askedAt is when this instance last asked; it counts only if asked is set.
	asked   bool
	askedAt time.Duration
	// heardAgain is set if instances became alive since.
	heardAgain bool
	// parts holds the parts that have come of each answer.
	parts map[uint64]map[uint32]bool
}

// onJoinedForRetries asks for the history of retries if instances have become alive. This instance has just started, or
// it was cut off from them: then processes may have come and gone of which it knows nothing.
func (x *Exchange) onJoinedForRetries(joined []string) {
	if len(joined) == 0 {
		return
	}
	x.sendMu.Lock()
	x.retryQuestions.heardAgain = true
	x.sendMu.Unlock()
	x.askForRetryHistory()
}

// askForRetryHistory asks two of the others for the history of retries, if this instance needs it.
func (x *Exchange) askForRetryHistory() {
	if x.Retries == nil {
		return
	}
	needed, r := x.Retries.NeedsHistory(), x.refreshRoster()
	if len(r.alive) == 0 {
		return
	}
	now := x.Clock()
	x.sendMu.Lock()
	q := &x.retryQuestions
	due := (needed || q.heardAgain && r.fullMesh()) && (!q.asked || now-q.askedAt >= minHistoryGap)
	if due {
		*q = retryQuestions{asked: true, askedAt: now, parts: map[uint64]map[uint32]bool{}}
	}
	x.sendMu.Unlock()
	if !due {
		return
	}
	to := make([]string, 0, instancesPerQuestion)
	for _, i := range rand.Perm(len(r.alive))[:min(len(r.alive), instancesPerQuestion)] {
		to = append(to, r.alive[i].ID)
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_RetryHistory{RetryHistory: &peerv1.RetryHistory{Instance: x.Self.ID, Ask: true}}}, r.addressesOf(to...)...)
}

// receiveRetryHistory takes a part of another instance's history, or answers its question.
func (x *Exchange) receiveRetryHistory(h *peerv1.RetryHistory, from net.Addr) {
	if x.Retries == nil || h.Instance == "" || h.Instance == x.Self.ID {
		x.metrics.malformed.Inc(1)
		return
	}
	if h.Ask {
		for _, part := range x.encodeRetryHistory() {
			x.send(part, from)
		}
		return
	}
	x.Endpoints.ReportLimits(decodeLimits(h.Limits, time.Now()))
	x.Retries.MergeHistory(x.process, decodeRetrySources(h.Sources), 0)
	if x.isWholeAnswer(h) {
		first, needed := !x.historyHeard.Swap(true), x.Retries.NeedsHistory()
		x.Retries.MergeHistory(x.process, nil, time.Duration(min(h.KnownMs, uint64(x.RetryWindow.Milliseconds())))*time.Millisecond)
		if known := !x.Retries.NeedsHistory(); needed && (first || known) {
			x.Log.WithFields(logrus.Fields{"peer": h.Instance, "parts": h.Parts, "known_ms": h.KnownMs, "whole_window": known}).Info("learned the retries of the last window")
		}
	}
}

// isWholeAnswer notes a part of an answer, and reports whether all its parts have come.
func (x *Exchange) isWholeAnswer(h *peerv1.RetryHistory) bool {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	parts := x.retryQuestions.parts
	if parts == nil || h.Part >= h.Parts || h.Parts > maxHistoryParts {
		return false
	}
	if parts[h.Answer] == nil {
		parts[h.Answer] = map[uint32]bool{}
	}
	parts[h.Answer][h.Part] = true
	return len(parts[h.Answer]) == int(h.Parts)
}

// encodeRetryHistory returns the history of retries in as many parts as it needs, and one for the limits of endpoints.
func (x *Exchange) encodeRetryHistory() []*peerv1.Datagram {
	sources, knownFor := x.Retries.History(x.process)
	parts := [][]*peerv1.RetrySource{nil}
	size := 0
	for _, s := range encodeRetrySources(sources) {
		n := proto.Size(s)
		if size += n; size > maxHistoryBytes && size > n {
			parts, size = append(parts, nil), n
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], s)
	}
	known := encodeKnownLimits(x.Endpoints.KnownLimits(), time.Now())
	if len(known) > 0 {
		parts = append(parts, nil)
	}
	answer := rand.Uint64()
	out := make([]*peerv1.Datagram, len(parts))
	for i, p := range parts {
		h := &peerv1.RetryHistory{Instance: x.Self.ID, Answer: answer, Part: uint32(i), Parts: uint32(len(parts)), KnownMs: uint64(knownFor.Milliseconds()), Sources: p}
		if len(known) > 0 && i == len(parts)-1 {
			h.Limits = known
		}
		out[i] = &peerv1.Datagram{Body: &peerv1.Datagram_RetryHistory{RetryHistory: h}}
	}
	return out
}

// encodeKnownLimits returns the limits for an instance that starts, those of fragile endpoints first.
func encodeKnownLimits(all map[string]admission.Statement, now time.Time) []*peerv1.StatedLimits {
	fragile := maps.Clone(all)
	maps.DeleteFunc(fragile, func(_ string, st admission.Statement) bool { return !st.Fragile })
	out := encodeLimits(fragile, maxHistoryLimits, now)
	maps.DeleteFunc(all, func(_ string, st admission.Statement) bool { return st.Fragile })
	return append(out, encodeLimits(all, maxHistoryLimits-len(out), now)...)
}

func encodeRetrySources(byService map[string][]limits.RetrySource) []*peerv1.RetrySource {
	var out []*peerv1.RetrySource
	for service, sources := range byService {
		for i := range sources {
			s := &sources[i]
			e := &peerv1.RetrySource{Service: service, Name: s.Instance, Requests: s.Last.Requests, Repeats: s.Last.Retries, Process: s.Last.Process, Silent: s.Silent}
			for _, st := range s.Steps {
				e.StepRequests, e.StepRepeats = setStep(e.StepRequests, st.Age, st.Requests), setStep(e.StepRepeats, st.Age, st.Retries)
			}
			out = append(out, e)
		}
	}
	return out
}

func decodeRetrySources(sources []*peerv1.RetrySource) map[string][]limits.RetrySource {
	out := map[string][]limits.RetrySource{}
	for _, e := range sources {
		s := limits.RetrySource{Instance: e.Name, Last: limits.RetryCounts{Requests: e.Requests, Retries: e.Repeats, Process: e.Process}, Silent: e.Silent}
		for age := range max(len(e.StepRequests), len(e.StepRepeats)) {
			st := limits.RetryStep{Age: age, Requests: stepAt(e.StepRequests, age), Retries: stepAt(e.StepRepeats, age)}
			if st.Requests+st.Retries > 0 {
				s.Steps = append(s.Steps, st)
			}
		}
		out[e.Service] = append(out[e.Service], s)
	}
	return out
}

// setStep sets the count of a time step. Steps after the last one that is set are left out.
func setStep(counts []uint32, age int, count uint64) []uint32 {
	if count == 0 {
		return counts
	}
	counts = append(counts, make([]uint32, max(age+1-len(counts), 0))...)
	counts[age] = uint32(min(count, math.MaxUint32))
	return counts
}

func stepAt(counts []uint32, age int) uint64 {
	if age >= len(counts) {
		return 0
	}
	return uint64(counts[age])
}
