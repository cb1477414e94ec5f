package crowds

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// A member that drips sends drippedSize bytes, one each dripInterval.
const (
	drippedSize  = 40
	dripInterval = 50 * time.Millisecond
)

// settleTime is how long a crowd stays after it has sent.
const settleTime = 2 * time.Second

// assertOutlasts checks that the system stays sound while a crowd stays, answers beside it, and answers after
// it has left.
func (s *system) assertOutlasts(c *crowd) {
	s.t.Helper()
	s.process.assertOutlasts(s.t, c, s.assertServes)
}

// assertOutlasts checks that a process stays sound while a crowd stays and after it has left, and that it serves.
func (p *process) assertOutlasts(t *testing.T, c *crowd, assertServes func()) {
	t.Helper()
	time.Sleep(settleTime)
	p.assertSound(t)
	assertServes()
	p.assertSound(t)
	c.leave()
	assertServes()
	p.assertSound(t)
}

// bodyShapes are bodies of legal size that most members do not complete.
var bodyShapes = []struct {
	name    string
	members int
	head    func() string
	body    body
	pause   time.Duration
}{
	{"whole", members, func() string { return withLength(ordinaryRequest(), bodySize) }, bodyOf(bodySize, bodySize), 0},
	{"in-pieces", members, func() string { return withLength(ordinaryRequest(), bodySize) }, bodyOf(bodySize, pieceSize), time.Millisecond},
	{"streams", members, func() string { return withLength(ordinaryStream(), bodySize) }, bodyOf(bodySize, bodySize), 0},
	{"large", largeMembers, func() string { return withLength(ordinaryRequest(), largeBodySize) }, bodyOf(largeBodySize, largeChunk), 0},
	{"large-chunks", members, func() string { return chunked(ordinaryRequest()) }, chunksOf(bodySize, largeChunk, 1), 0},
	{"small-chunks", members, func() string { return chunked(ordinaryRequest()) }, chunksOf(smallBodySize, 1, pieceSize), time.Millisecond},
	{"after-many-lines", members, func() string { return withManyLines(ordinaryRequest(), headerSize, pieceSize) }, bodyOf(pieceSize, pieceSize), 0},
	{"after-many-lines-on-a-stream", members, func() string { return withManyLines(ordinaryStream(), headerSize, pieceSize) }, bodyOf(pieceSize, pieceSize), 0},
	{"dripped", members, func() string { return withManyLines(ordinaryRequest(), headerSize, drippedSize) }, drip(drippedSize), dripInterval},
	{"large-in-large-chunks", largeMembers, func() string { return chunked(ordinaryRequest()) }, chunksOf(largeBodySize, largeChunk, 1), 0},
}

// TestHeadersOfManyLines guards against headers of legal size whose lines take many times their size in memory.
func TestHeadersOfManyLines(t *testing.T) {
	for _, shape := range slices.Sorted(maps.Keys(headerShapes)) {
		t.Run(shape, func(t *testing.T) {
			s := startSystem(t, smallProcess)
			s.assertOutlasts(join(t, s.callers, members, sendHeader(headerLines(headerSize, headerShapes[shape]))))
		})
	}
	t.Run("prompt-parts", func(t *testing.T) {
		s := startSystem(t, smallProcess)
		s.assertOutlasts(join(t, s.callers, members, sendParts))
	})
}

// TestBodiesShortOfTheirEnd guards against the sum of bodies that an instance holds while it waits for their
// ends.
func TestBodiesShortOfTheirEnd(t *testing.T) {
	for _, shape := range bodyShapes {
		t.Run(shape.name, func(t *testing.T) {
			s := startSystem(t, smallProcess)
			s.assertOutlasts(join(t, s.callers, shape.members, sendBody(shape.head, shape.body, shape.pause)))
		})
	}
}

// TestRepeatedRequestsOfManyLines guards against whole requests of legal size that come one after the other, and
// whose answers nobody reads.
func TestRepeatedRequestsOfManyLines(t *testing.T) {
	for name, request := range map[string]func() standin.Request{"plain": ordinaryRequest, "stream": ordinaryStream} {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, smallProcess)
			text := func() string { return withManyLines(request(), headerSize, pieceSize) + strings.Repeat("x", pieceSize) }
			s.assertOutlasts(join(t, s.callers, members, sendRepeatedly(text)))
		})
	}
}

// TestAnswersNotRead guards against answers that nobody reads.
func TestAnswersNotRead(t *testing.T) {
	s := startSystem(t, smallProcess)
	text := func() string {
		r := ordinaryRequest()
		r.Path = longPath
		return r.Encode()
	}
	s.assertOutlasts(join(t, s.callers, members, sendRepeatedly(text)))
}

// TestCrowdOfMachine lets a crowd of the size that an instance on the platform may meet send heads of many lines
// and bodies short of their end.
func TestCrowdOfMachine(t *testing.T) { testMachine(t, machineMembers) }

// TestCrowdOfMostConnections is TestCrowdOfMachine with about as many members as wait to be accepted at most. What the
// system receives for those counts as well.
func TestCrowdOfMostConnections(t *testing.T) { testMachine(t, mostMembers) }

func testMachine(t *testing.T, members int) {
	for _, shape := range []struct {
		name string
		head func() string
		body body
	}{
		{"heads", func() string { return withManyLines(ordinaryStream(), machineHeaderSize, pieceSize) }, bodyOf(pieceSize, pieceSize)},
		{"bodies", func() string { return withLength(ordinaryStream(), bodySize) }, bodyOf(bodySize, bodySize)},
		{"small-chunks", func() string { return chunked(ordinaryStream()) }, chunksOf(smallBodySize, 1, pieceSize)},
	} {
		t.Run(shape.name, func(t *testing.T) {
			s := startSystem(t, machine)
			s.assertOutlasts(join(t, s.callers, members, sendBody(shape.head, shape.body, 0)))
		})
	}
}

// TestMixedCrowd lets all shapes come at once.
func TestMixedCrowd(t *testing.T) {
	s := startSystem(t, smallProcess)
	var senders []sender
	for _, shape := range slices.Sorted(maps.Keys(headerShapes)) {
		senders = append(senders, sendHeader(headerLines(headerSize, headerShapes[shape])))
	}
	for _, shape := range bodyShapes {
		senders = append(senders, sendBody(shape.head, shape.body, shape.pause))
	}
	s.assertOutlasts(join(t, s.callers, members, func(i int, w io.Writer) error { return senders[i%len(senders)](i/len(senders), w) }))
}

// TestIdleConnections guards against connections without a request that take all descriptors.
func TestIdleConnections(t *testing.T) {
	s := startSystem(t, smallProcess)
	s.assertOutlasts(join(t, s.callers, idleMembers, sendNothing))
}

// TestCrowdAtOtherAddresses guards against the same at the addresses for callers' look-ups, readiness, metrics
// and other instances.
func TestCrowdAtOtherAddresses(t *testing.T) {
	for _, part := range []struct {
		name    string
		address func(*system) string
	}{
		{"directory", func(s *system) string { return s.directory }},
		{"ready", func(s *system) string { return s.ready }},
		{"metrics", func(s *system) string { return s.operator }},
		{"peers", func(s *system) string { return s.peers }},
	} {
		t.Run(part.name+"/headers", func(t *testing.T) {
			s := startSystem(t, smallProcess)
			s.assertOutlasts(join(t, part.address(s), members, sendHeader(headerLines(headerSize, headerShapes["short-names"]))))
		})
		t.Run(part.name+"/bodies", func(t *testing.T) {
			s := startSystem(t, smallProcess)
			s.assertOutlasts(join(t, part.address(s), members, sendBody(bodyShapes[0].head, bodyShapes[0].body, 0)))
		})
		t.Run(part.name+"/idle", func(t *testing.T) {
			s := startSystem(t, smallProcess)
			s.assertOutlasts(join(t, part.address(s), idleMembers, sendNothing))
		})
	}
}

// TestSingleLegalRequest guards against bounds that refuse a request which is within the limits of the
// configuration, while there is no other.
func TestSingleLegalRequest(t *testing.T) {
	for _, memoryMB := range []int{32, 134, 2000} {
		t.Run(fmt.Sprint(memoryMB, "MB"), func(t *testing.T) {
			s := startSystem(t, processLimits{memoryMB: memoryMB, descriptors: machine.descriptors})
			s.assertLegalRequestsAreAnswered()
			s.assertLives(t)
		})
	}
}

// assertLegalRequestsAreAnswered sends a request of each shape, one after the other.
func (s *system) assertLegalRequestsAreAnswered() {
	s.t.Helper()
	for _, shape := range slices.Sorted(maps.Keys(headerShapes)) {
		text := withHeader(ordinaryRequest(), headerLines(headerSize, headerShapes[shape]))
		assert.Assert(s.t, strings.Index(text, "\r\n\r\n") < maxHeaderBytes)
		s.assertAnsweredAtOnce(shape, text)
	}
	s.assertAnsweredAtOnce("prompt-parts", withManyParts())
	for _, shape := range bodyShapes {
		s.assertAnsweredAtOnce(shape.name, shape.head()+shape.body.text())
	}
	for name, b := range map[string]body{"largest": bodyOf(maxBodyBytes, maxBodyBytes), "largest in pieces": bodyOf(maxBodyBytes, pieceSize)} {
		s.assertAnsweredAtOnce(name, withLength(ordinaryRequest(), maxBodyBytes)+b.text())
	}
	largest := chunksOf(maxBodyBytes, largeChunk, 1)
	s.assertAnsweredAtOnce("largest in chunks", chunked(ordinaryRequest())+largest.text())
	s.assertSlowIsAnswered()
}

// assertSlowIsAnswered sends a request byte by byte.
func (s *system) assertSlowIsAnswered() {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.callers)
	assert.NilError(s.t, err)
	defer func() { _ = conn.Close() }()
	r := ordinaryRequest()
	assert.NilError(s.t, sendBody(func() string { return withLength(r, drippedSize) }, drip(drippedSize), dripInterval)(0, conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(s.t, err)
	assert.Equal(s.t, resp.StatusCode, http.StatusOK)
}

// assertAnsweredAtOnce checks that a request is answered at the first try.
func (s *system) assertAnsweredAtOnce(name, text string) {
	s.t.Helper()
	if err := ask(s.callers, text); err != nil {
		s.t.Errorf("%s: %v", name, err)
	}
}
