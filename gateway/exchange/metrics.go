package exchange

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the metrics of an exchange.
type metrics struct {
	sent, received, malformed, sentBytes, receivedBytes tally.Counter
	// alive and known count the instances that this one believes to be alive, or knows of,
	// including itself.
	alive, known tally.Gauge
	// sharingRetries counts those with which this one shares the bound on retries, including itself.
	sharingRetries tally.Gauge
	suspected      tally.Counter
	// askDuration is how long the owners of engines took to answer. enginesUnanswered counts
	// engines for which none answered.
	askDuration       tally.Histogram
	enginesUnanswered tally.Counter
	// claimDuration is how long an owner took to grant or refuse room. claimsUnanswered counts
	// requests for which none answered.
	claimDuration    tally.Histogram
	claimsUnanswered tally.Counter
	// queueMessagesDropped counts messages about queues that came late, or that name a service or an
	// owner of which this instance does not know.
	queueMessagesDropped tally.Counter
	// digestAge is the age of a data centre's digest when the next one replaced it.
	digestAge tally.Histogram
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		sent: s.Counter("datagrams_sent_total"), received: s.Counter("datagrams_received_total"), malformed: s.Counter("datagrams_malformed_total"),
		sentBytes: s.Counter("datagram_bytes_sent_total"), receivedBytes: s.Counter("datagram_bytes_received_total"),
		alive: s.Gauge("instances_alive"), known: s.Gauge("instances_known"), sharingRetries: s.Gauge("instances_sharing_retries"), suspected: s.Counter("instances_suspected_total"),
		askDuration: s.Histogram("owners_asked_seconds", tally.DurationBuckets{
			time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond, askTimeout,
		}),
		enginesUnanswered: s.Counter("engines_unknown_total"),
		claimDuration: s.Histogram("claim_seconds", tally.DurationBuckets{
			time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond, askTimeout,
		}),
		claimsUnanswered: s.Counter("claims_unanswered_total"), queueMessagesDropped: s.Counter("queue_messages_dropped_total"),
		digestAge: s.Histogram("digest_age_seconds", tally.DurationBuckets{
			250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second,
		}),
	}
}
