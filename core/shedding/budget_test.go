package shedding

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const connectionCost = 16

var start = time.Unix(0, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// open opens a connection that must fit and is in a state since a time.
func open(t *testing.T, b *Budget, since time.Time, s State) *Holder {
	t.Helper()
	h, _ := b.Open(since, connectionCost)
	assert.Assert(t, h != nil)
	b.SetState(since, h, s)
	return h
}

// TestLargestAndOldestIsClosedFirst guards against small requests that are refused since others hold megabytes.
func TestLargestAndOldestIsClosedFirst(t *testing.T) {
	b := New(Settings{Bytes: 1000, Connections: 100})
	old, large, served := open(t, b, at(0), Receiving), open(t, b, at(500), Receiving), open(t, b, at(0), Serving)
	for _, r := range []struct {
		h *Holder
		n int64
	}{{large, 400}, {old, 100}, {served, 200}} {
		_, ok := b.Reserve(at(500), r.h, Body, r.n)
		assert.Assert(t, ok)
	}
	small := open(t, b, at(1000), Receiving)
	shed, ok := b.Reserve(at(1000), small, Body, 150)
	assert.Assert(t, ok)
	assert.Equal(t, len(shed), 1)
	assert.Assert(t, shed[0] == large)
	assert.Assert(t, large.Shed() && !old.Shed() && !served.Shed())
}

// TestRequestThatHoldsMostIsRefused guards against a request that drives out others which hold less.
func TestRequestThatHoldsMostIsRefused(t *testing.T) {
	b := New(Settings{Bytes: 1000, Connections: 100})
	large, small := open(t, b, at(0), Receiving), open(t, b, at(0), Receiving)
	_, ok := b.Reserve(at(0), large, Body, 400)
	assert.Assert(t, ok)
	_, ok = b.Reserve(at(0), small, Body, 100)
	assert.Assert(t, ok)
	shed, ok := b.Reserve(at(1000), large, Body, 400)
	assert.Assert(t, !ok)
	assert.Equal(t, len(shed), 0)
	assert.Assert(t, !large.Shed(), "a refused request can still be answered")
}

// TestServedRequestsLeaveRoomForSmallOnes guards against served requests, which are not closed, that take the whole
// budget.
func TestServedRequestsLeaveRoomForSmallOnes(t *testing.T) {
	b := New(Settings{Bytes: 10000, Connections: 100})
	for range 50 {
		h := open(t, b, at(0), Serving)
		_, _ = b.Reserve(at(0), h, Body, 2000)
	}
	_, ok := b.Reserve(at(0), open(t, b, at(0), Receiving), Body, 100)
	assert.Assert(t, ok)
}

// TestNothingIsClosedWithoutResult guards against connections that are closed for a request which finds no room anyway.
func TestNothingIsClosedWithoutResult(t *testing.T) {
	b := New(Settings{Bytes: 1000, Connections: 100})
	open(t, b, at(0), Idle)
	shed, ok := b.Reserve(at(1000), open(t, b, at(1000), Receiving), Body, 2000)
	assert.Assert(t, !ok)
	assert.Equal(t, len(shed), 0)
}

// TestIdleConnectionsMakeWayForNewOnes guards against connections without requests that keep callers out.
func TestIdleConnectionsMakeWayForNewOnes(t *testing.T) {
	b := New(Settings{Bytes: 1 << 20, Connections: 10})
	first := open(t, b, at(0), Idle)
	served := open(t, b, at(0), Serving)
	for i := range 100 {
		h, shed := b.Open(at(i+1), connectionCost)
		assert.Assert(t, h != nil)
		for _, victim := range shed {
			b.Close(victim)
		}
	}
	assert.Assert(t, first.Shed() && !served.Shed())
	assert.Assert(t, b.Usage().Connections <= 10)
}

// TestClosingConnectionsAreBounded guards against connections that are opened faster than others are closed.
func TestClosingConnectionsAreBounded(t *testing.T) {
	b := New(Settings{Bytes: 1 << 20, Connections: 100})
	for i := range 1000 {
		_, _ = b.Open(at(i), connectionCost)
	}
	assert.Equal(t, b.Usage().Connections, 125)
}

// TestChargeIsNeverRefused checks that answers that were made are held, and that others make way for them.
func TestChargeIsNeverRefused(t *testing.T) {
	b := New(Settings{Bytes: 1000, Connections: 100})
	idle, served := open(t, b, at(0), Idle), open(t, b, at(0), Serving)
	_, ok := b.Reserve(at(0), idle, Head, 400)
	assert.Assert(t, ok)
	shed := b.Charge(at(10), served, Answer, 450)
	assert.Equal(t, len(shed), 1)
	assert.Assert(t, shed[0] == idle)
	assert.Equal(t, served.Held(Answer), int64(450))
}

// TestExcessOfAnswersIsRelieved checks that only as many connections are closed as brings the sum within its bound.
func TestExcessOfAnswersIsRelieved(t *testing.T) {
	b := New(Settings{Bytes: 1000, Connections: 100})
	var holders []*Holder
	for i := range 10 {
		holders = append(holders, open(t, b, at(i), Serving))
	}
	for i, h := range holders {
		b.Charge(at(i), h, Answer, 200)
	}
	for i, h := range holders {
		b.SetState(at(i), h, Sending)
	}
	assert.Assert(t, b.Exceeded())
	shed := b.Relieve(at(1000))
	assert.Equal(t, len(shed), 6)
	assert.Assert(t, !b.Exceeded())
}

// TestSumStaysWithinBounds draws operations in any order.
func TestSumStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, connections = 10000, 20
		b := New(Settings{Bytes: limit, Connections: connections})
		var holders []*Holder
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if len(holders) == 0 || rapid.IntRange(0, 3).Draw(t, "operation") == 0 {
				if h, _ := b.Open(now, connectionCost); h != nil {
					holders = append(holders, h)
				}
				continue
			}
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			h := holders[i]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				_, _ = b.Reserve(now, h, Kind(rapid.IntRange(1, 3).Draw(t, "kind")), rapid.Int64Range(0, 3000).Draw(t, "bytes"))
			case 1:
				b.SetState(now, h, State(rapid.IntRange(0, 3).Draw(t, "state")))
			case 2:
				b.ReleaseAll(h, Kind(rapid.IntRange(1, 3).Draw(t, "kind")))
			case 3:
				b.Close(h)
				holders = append(holders[:i], holders[i+1:]...)
			}
			assertConsistent(t, b, holders)
		}
	})
}

func assertConsistent(t *rapid.T, b *Budget, holders []*Holder) {
	var total, open int64
	for _, h := range holders {
		total += h.total
		if !h.shed {
			open += h.total
		}
	}
	switch limit := b.settings.Bytes; {
	case total != b.total || total-open != b.shed:
		t.Fatalf("sums %d and %d, counted %d and %d", b.total, b.shed, total, total-open)
	case open > limit || total > limit+limit/overshootDivisor:
		t.Fatalf("%d bytes, %d with those that are being closed", open, total)
	case len(holders) != len(b.holders):
		t.Fatalf("%d holders, counted %d", len(b.holders), len(holders))
	}
}

// TestHeadEnds checks that a head ends at its first empty line, in whichever pieces it arrives.
func TestHeadEnds(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\na: b\r\n\r\nbody": len("GET / HTTP/1.1\r\na: b\r\n\r\n"),
		"GET / HTTP/1.1\na:b,c\n\nbody":      len("GET / HTTP/1.1\na:b,c\n\n"),
		"\r\nGET / HTTP/1.1\r\n\r\nx":        len("\r\nGET / HTTP/1.1\r\n\r\n"),
		"GET / HTTP/1.1\r\na:":               len("GET / HTTP/1.1\r\na:"),
	} {
		whole := HeadScanner{}
		cost := whole.Scan([]byte(text))
		var pieces HeadScanner
		var inPieces int64
		for i := range text {
			inPieces += pieces.Scan([]byte(text[i : i+1]))
		}
		assert.Equal(t, cost, inPieces, "%q", text)
		head := text[:want]
		assert.Equal(t, cost, HeadCost(want, strings.Count(head, "\n"), strings.Count(head, ",")), "%q", text)
		assert.Equal(t, whole.Ended(), want < len(text), "%q", text)
	}
}

// BenchmarkReserve is the cost of a request for which there is room, beside 2,000 connections.
func BenchmarkReserve(b *testing.B) {
	budget := New(Settings{Bytes: 64 << 20, Connections: 4000})
	var h *Holder
	for i := range 2000 {
		h, _ = budget.Open(at(i), connectionCost)
	}
	for b.Loop() {
		_, _ = budget.Reserve(start, h, Head, 5000)
		budget.ReleaseAll(h, Head)
	}
}

// BenchmarkReserveUnderPressure is the cost of a request for which others are closed.
func BenchmarkReserveUnderPressure(b *testing.B) {
	const size = 16 << 10
	budget := New(Settings{Bytes: 64 << 20, Connections: 8000})
	for i := 0; b.Loop(); i++ {
		_, shed := budget.Open(at(i), size)
		for _, h := range shed {
			budget.Close(h)
		}
	}
}
