package exchange

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/gateway/crashes"
)

// Crashes holds what this instance knows of requests that end endpoints.
type Crashes interface {
	// Heard takes facts of another instance. complete says that the other one knows all stops that
	// are kept in the store.
	Heard(from string, facts []crashers.Fact, complete bool)
	// Facts returns the facts for an instance that asks, and whether this one knows all stops that
	// are kept in the store.
	Facts() (facts []crashers.Fact, complete bool)
	// Forget drops the trials of an instance that is gone.
	Forget(instance string)
}

const (
	// maxFactBytes bounds the facts in a datagram to what two packets hold.
	maxFactBytes = 2800
	// instancesPerQuestion is how many instances are asked for stopped requests at once, since
	// answers may be lost.
	instancesPerQuestion = 2
	// minQuestionGap is the least time between two such questions: when hundreds of instances start
	// at once, each of them is noticed separately.
	minQuestionGap = 200 * time.Millisecond
	// maxWaitingToBeAsked bounds the instances that wait to be asked. When hundreds return at once,
	// the answers of a few are enough.
	maxWaitingToBeAsked = 6
)

// crashQuestions selects the instances to ask for stopped requests.
type crashQuestions struct {
	askedAt time.Duration // 0 before the first question
	waiting []string
}

// add adds instances that have just been heard. Of too many it keeps a random selection.
func (q *crashQuestions) add(ids []string) {
	for _, id := range ids {
		if !slices.Contains(q.waiting, id) {
			q.waiting = append(q.waiting, id)
		}
	}
	rand.Shuffle(len(q.waiting), func(i, j int) { q.waiting[i], q.waiting[j] = q.waiting[j], q.waiting[i] })
	q.waiting = q.waiting[:min(len(q.waiting), maxWaitingToBeAsked)]
}

// next returns the instances to ask now. The others wait until minQuestionGap has passed.
func (q *crashQuestions) next(now time.Duration) []string {
	if len(q.waiting) == 0 || q.askedAt > 0 && now-q.askedAt < minQuestionGap {
		return nil
	}
	q.askedAt = now
	n := min(len(q.waiting), instancesPerQuestion)
	ids := q.waiting[:n]
	q.waiting = slices.Clone(q.waiting[n:])
	return ids
}

// TellCrashes tells all others facts about requests, at once: an instance that does not know them
// lets the request end another endpoint. complete says that this instance knows all stops that are
// kept in the store.
func (x *Exchange) TellCrashes(facts []crashers.Fact, complete bool) {
	x.sendFacts(facts, complete, x.roster().allAddresses(false)...)
}

// sendFacts sends facts in as many datagrams as they need.
func (x *Exchange) sendFacts(facts []crashers.Fact, complete bool, to ...net.Addr) {
	all := crashes.EncodeFacts(time.Now(), facts)
	for {
		n := countThatFits(all)
		x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Crashes{Crashes: &peerv1.Crashes{
			Instance: x.Self.ID, Complete: complete, Facts: all[:n],
		}}}, to...)
		if all = all[n:]; len(all) == 0 {
			return
		}
	}
}

// countThatFits returns how many of the facts go into one datagram, at least one.
func countThatFits(facts []*peerv1.CrashFact) int {
	size := 0
	for n, f := range facts {
		if size += proto.Size(f); size > maxFactBytes && n > 0 {
			return n
		}
	}
	return len(facts)
}

// askForCrashes asks some of the instances that have just been heard for stopped requests. They
// were unreachable before, or this instance was.
func (x *Exchange) askForCrashes(ids []string) {
	x.sendMu.Lock()
	x.crashQuestions.add(ids)
	next := x.crashQuestions.next(x.Clock())
	x.sendMu.Unlock()
	if len(next) == 0 {
		return
	}
	x.send(&peerv1.Datagram{Body: &peerv1.Datagram_Crashes{Crashes: &peerv1.Crashes{Instance: x.Self.ID, Ask: true}}}, x.refreshRoster().addressesOf(next...)...)
}

// askWaitingForCrashes asks instances that had to wait for minQuestionGap.
func (x *Exchange) askWaitingForCrashes() { x.askForCrashes(nil) }

// askAnyForCrashes asks any others for stopped requests.
func (x *Exchange) askAnyForCrashes() {
	alive := x.roster().alive
	ids := make([]string, len(alive))
	for i := range alive {
		ids[i] = alive[i].ID
	}
	x.askForCrashes(ids)
}

// receiveCrashes takes the facts of another instance, or answers its question for them.
func (x *Exchange) receiveCrashes(c *peerv1.Crashes, from net.Addr) {
	if c.Instance == "" || c.Instance == x.Self.ID {
		x.metrics.malformed.Inc(1)
		return
	}
	if c.Ask {
		facts, complete := x.Crashes.Facts()
		x.sendFacts(facts, complete, from)
		return
	}
	x.Crashes.Heard(c.Instance, crashes.DecodeFacts(time.Now(), c.Facts), c.Complete)
}
