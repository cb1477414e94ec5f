package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWaitQueueOrder(t *testing.T) {
	l, latest := &WaitQueue{}, epoch.Add(time.Minute)
	l.Join(epoch, 1, 5, latest)
	l.Join(epoch, 2, 1, latest)
	l.Join(epoch, 3, 5, latest)
	l.Join(epoch, 4, 1, latest)
	for _, want := range []uint64{2, 4, 1, 3} {
		assert.Assert(t, l.IsFirst(want), "request %d", want)
		l.Leave(want)
	}
	assert.Assert(t, l.Empty())
}

// TestWaitQueueRefusesLateRequestsOnArrival: ten requests per second are admitted. A request that
// would be admitted too late is refused on arrival, with the expected wait.
func TestWaitQueueRefusesLateRequestsOnArrival(t *testing.T) {
	l := &WaitQueue{}
	for i := range 30 {
		l.RecordAdmission(epoch.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	now := epoch.Add(2950 * time.Millisecond)
	l.Join(now, 0, 1, now.Add(time.Second))
	l.RecordFull(now)
	n := uint64(1)
	for ; n < 100; n++ {
		waits, expected := l.Join(now, n, 1, now.Add(time.Second))
		if !waits {
			assert.Assert(t, expected > time.Second && expected < 1300*time.Millisecond, "expected wait %v", expected)
			break
		}
	}
	assert.Equal(t, n, uint64(10))
	waits, _ := l.Join(now, 99, 0, now.Add(time.Second)) // a lower rank than all waiting requests
	assert.Assert(t, waits)
	assert.Assert(t, l.IsFirst(99))
}

// TestEmptyWaitQueueAcceptsAnyRequest: a request that finds the queue empty may wait, whatever the
// recent admission rate is.
func TestEmptyWaitQueueAcceptsAnyRequest(t *testing.T) {
	l := &WaitQueue{}
	waits, _ := l.Join(epoch, 1, 1, epoch.Add(10*time.Millisecond))
	assert.Assert(t, waits)
	l.RecordFull(epoch)
	waits, expected := l.Join(epoch, 2, 1, epoch.Add(time.Second))
	assert.Assert(t, !waits, "there was no admission within the window")
	assert.Equal(t, expected, admissionWindow)
}

// TestWaitQueueAcceptsBurstUntilFull: twelve callers arrive at the same moment at an instance that
// has just started, or that admitted one request in the last seconds. No request has found the
// endpoints full, so none is refused.
func TestWaitQueueAcceptsBurstUntilFull(t *testing.T) {
	for _, admitted := range []int{0, 1} {
		l := &WaitQueue{}
		for range admitted {
			l.RecordAdmission(epoch)
		}
		for id := range uint64(12) {
			waits, _ := l.Join(epoch, id, 1, epoch.Add(time.Second))
			assert.Assert(t, waits, "request %d", id)
		}
		l.RecordFull(epoch)
		waits, _ := l.Join(epoch, 99, 1, epoch.Add(time.Second))
		assert.Assert(t, !waits)
		for id := range uint64(12) {
			l.Leave(id)
		}
		l.Join(epoch, 100, 1, epoch.Add(time.Second))
		waits, _ = l.Join(epoch, 101, 1, epoch.Add(time.Second))
		assert.Assert(t, waits, "an empty queue is not full")
	}
}

// TestWaitQueueRecentlyFull: a queue stays recently full for admissionWindow after a request found
// no capacity, also when nobody waits any more.
func TestWaitQueueRecentlyFull(t *testing.T) {
	l := &WaitQueue{}
	assert.Assert(t, !l.RecentlyFull(epoch))
	l.Join(epoch, 1, 1, epoch.Add(time.Second))
	l.RecordFull(epoch)
	l.Leave(1)
	assert.Assert(t, l.RecentlyFull(epoch.Add(admissionWindow-time.Millisecond)))
	assert.Assert(t, !l.RecentlyFull(epoch.Add(admissionWindow)))
}
