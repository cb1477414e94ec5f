package sharedqueue

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateway/agateway/core/fairqueue"
)

// Update reports the waiting requests of an instance to an owner.
type Update struct {
	Service string
	fairqueue.Report
}

// State is what an owner has decided about the requests of an instance.
type State struct {
	// Owner is the instance that sends it, and Process identifies its run.
	Owner   string
	Process uint64
	// Sequence is that of the newest update of the receiver that the state follows from.
	Sequence uint64
	Service  string
	// ShortRenewals says that the owner takes Renewed in reports. Owners of older builds don't.
	ShortRenewals bool
	fairqueue.State
}

// Network carries the messages. A message that can't be sent counts as lost.
type Network interface {
	// QueueOwners returns the instances that own a queue, highest rank first; this one may be among
	// them.
	QueueOwners(key string) []string
	// SendQueueUpdate and SendQueueState send to another instance.
	SendQueueUpdate(owner string, u *Update)
	SendQueueState(instance string, s *State)
}

// MaxTeamBytes is the longest name of a team in an update.
const MaxTeamBytes = 256

// TeamName returns the name of a team as it is used in queues: one that does not fit an update is
// replaced by its hash.
func TeamName(team string) string {
	if len(team) <= MaxTeamBytes {
		return team
	}
	return fmt.Sprintf("team-%x", xxhash.Sum64String(team))
}

// shardEndpoints is the number of endpoints of a service up to which it has one queue. An owner of
// 128 engines handles some hundred updates a second while all instances have waiting requests.
const shardEndpoints = 128

// shards returns the number of queues of a service with the given number of endpoints.
func shards(endpoints int) int { return max(1, (endpoints+shardEndpoints-1)/shardEndpoints) }

// shardOf returns the queue that an instance uses.
func shardOf(instance string, shards int) int {
	return int(xxhash.Sum64String(instance) % uint64(shards))
}

// queueKey is the name of a queue in the choice of its owners.
func queueKey(service string, shard int) string { return fmt.Sprintf("queue/%s/%d", service, shard) }

// Intervals of the messages.
const (
	// minInterval is the shortest time between two updates of an instance, and between two decisions
	// of an owner.
	minInterval = 20 * time.Millisecond
	// renewalInterval is the longest time between two updates that renew all waiting requests. Entries
	// expire after 500 ms, so two renewals in a row may be lost.
	renewalInterval = 200 * time.Millisecond
	// resendDelay is the time after which an update without an answer is sent again, until the owner is passed
	// over. A round trip takes 3 ms.
	resendDelay = 25 * time.Millisecond
	// answerTimeout is when an owner that has not answered is passed over, for passOverTime.
	answerTimeout = 60 * time.Millisecond
	passOverTime  = 2 * time.Second
)
