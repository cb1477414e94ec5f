// Package uploads tests what callers get of endpoints that answer before they have read a long request, and then
// reset the connection. Both products run in the process of the test, on loopback addresses: which system call meets
// a reset first, and what the buffers of a connection hold by then, is up to the operating system.
package uploads

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// maxReceived is how many bytes of a request an endpoint may have received without having read them.
const maxReceived = 256 << 10

// result is what the caller got.
type result struct {
	status   int
	complete bool // the answer was framed and whole
}

// succeeded reports whether the caller got a complete success.
func (r result) succeeded() bool { return r.status == http.StatusOK && r.complete }

// system is one of the products, with endpoints that reset uploads.
type system interface {
	setFault(*standin.ResetUpload)
	// send sends a request with a body of some bytes on a new connection.
	send(bodySize int) result
}

// assertNoParts checks that no caller gets a part of an answer as the whole one. Which system call meets a reset first
// is up to chance, so each kind of request is sent several times.
func assertNoParts(t *testing.T, start func(*testing.T) system, rounds int, bodySizes ...int) {
	t.Helper()
	for _, size := range bodySizes {
		for _, reads := range []int{0, size / 4, size / 2} {
			for _, closesFirst := range []bool{false, true} {
				if closesFirst && size-reads <= maxReceived {
					continue // the endpoint has received all and closes in order
				}
				s := start(t)
				fault := &standin.ResetUpload{Reads: int64(reads), ClosesFirst: closesFirst}
				s.setFault(fault)
				parts, sent := 0, 0
				for range rounds {
					before := fault.Served()
					if s.send(size).succeeded() {
						parts++
					}
					if fault.Served() > before {
						sent++
					}
				}
				assert.Check(t, sent > 0, "no endpoint was reached")
				assert.Check(t, parts == 0, "%d of %d answers are a part: body of %d bytes, %d read, closes first: %t", parts, sent, size, reads, closesFirst)
			}
		}
	}
}

// awaitStart waits until a try succeeds.
func awaitStart(t *testing.T, try func() error) {
	t.Helper()
	deadline := time.Now().Add(startTimeout)
	for err := try(); err != nil; err = try() {
		assert.Assert(t, time.Now().Before(deadline), "%v", err)
		time.Sleep(50 * time.Millisecond)
	}
}

// asError returns an error for a request that did not succeed.
func (r result) asError() error {
	if r.succeeded() {
		return nil
	}
	return fmt.Errorf("the answer is no success: %+v", r)
}
