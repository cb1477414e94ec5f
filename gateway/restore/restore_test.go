package restore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturnWhileWriting guards against objects that the store loses for a second time, while what it lost before
// is being written: they are written after the second hold too.
func TestReturnWhileWriting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hold = 5 * time.Second
		began := time.Now()
		var writes []time.Duration
		var l *Loop
		l = New(Options{
			Hold: hold, LongerRunning: func() int { return 0 }, StoreAnswers: func() bool { return true },
			Write: func(context.Context) error {
				writes = append(writes, time.Since(began))
				if len(writes) == 1 {
					l.StoreReturned()
					return errors.New("the store does not answer")
				}
				return nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		l.StoreReturned()
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.DeepEqual(t, writes, []time.Duration{hold, 7 * time.Second, 12 * time.Second})
		cancel()
		synctest.Wait()
	})
}
