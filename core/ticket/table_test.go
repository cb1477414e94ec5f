package ticket

import (
	"errors"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateway/agateway/core/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m)) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ttl = time.Minute

// Checks the answer of Begin for each state of a ticket.
func TestAnswers(t *testing.T) {
	done := Outcome{Status: 200, Body: []byte("logged")}
	for name, c := range map[string]struct {
		before func(*Table, ID, time.Time)
		after  time.Duration
		want   Answer
	}{
		"fresh":            {func(*Table, ID, time.Time) {}, 0, Run},
		"running":          {func(b *Table, id ID, e time.Time) { b.Begin(epoch, id, e, 1) }, 0, Running},
		"ran":              {func(b *Table, id ID, e time.Time) { b.Begin(epoch, id, e, 1); b.End(id, done) }, 0, Ran},
		"not run":          {func(b *Table, id ID, e time.Time) { b.Begin(epoch, id, e, 1); b.EndNotRun(id) }, 0, NotRun},
		"answer lost":      {func(b *Table, id ID, e time.Time) { b.Begin(epoch, id, e, 1); b.EndUnknown(id) }, 0, Unknown},
		"asked before":     {func(b *Table, id ID, e time.Time) { b.Ask(epoch, id, e) }, 0, NotRun},
		"another request":  {func(b *Table, id ID, e time.Time) { b.Begin(epoch, id, e, 2) }, 0, Mismatch},
		"expired unused":   {func(*Table, ID, time.Time) {}, ttl, Expired},
		"expired outcome":  {func(b *Table, id ID, e time.Time) { b.Begin(epoch, id, e, 1); b.End(id, done) }, ttl, Expired},
		"runs past expiry": {func(b *Table, id ID, e time.Time) { b.Begin(epoch, id, e, 1) }, ttl, Running},
		"handed over":      {func(b *Table, _ ID, _ time.Time) { b.Close() }, 0, NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewTable(10, 1000, ttl)
			id, expires := b.Mint(epoch)
			c.before(b, id, expires)
			got, outcome := b.Begin(epoch.Add(c.after), id, expires, 1)
			assert.Equal(t, got, c.want)
			if got == Ran {
				assert.DeepEqual(t, outcome, done)
			}
		})
	}
}

// A ticket that this table did not mint, or whose expiry was forged, must not run a call.
func TestTicketsNeverMintedAreExpired(t *testing.T) {
	b := NewTable(10, 1000, ttl)
	got, _ := b.Begin(epoch, 1, epoch.Add(ttl), 1)
	assert.Equal(t, got, Expired)
	b.Mint(epoch)
	got, _ = b.Begin(epoch, 1, epoch.Add(2*ttl), 1) // its expiry was forged
	assert.Equal(t, got, Expired)
}

// Dropping an entry early would let its call run twice. A full table must refuse new calls until
// entries have expired.
func TestFullTableRefusesInsteadOfForgetting(t *testing.T) {
	b := NewTable(2, 1000, ttl)
	var ids []ID
	for range 3 {
		id, _ := b.Mint(epoch)
		ids = append(ids, id)
	}
	for i, want := range []Answer{Run, Run, Full} {
		got, _ := b.Begin(epoch, ids[i], epoch.Add(ttl), 1)
		assert.Equal(t, got, want)
	}
	got, _ := b.Begin(epoch, ids[0], epoch.Add(ttl), 1)
	assert.Equal(t, got, Running)
	got, _ = b.Begin(epoch.Add(ttl), ids[2], epoch.Add(2*ttl), 1) // expired, but still running, so it is kept
	assert.Equal(t, got, Full)
	b.End(ids[0], Outcome{})
	b.EndNotRun(ids[1])
	got, _ = b.Ask(epoch.Add(3*ttl), ids[0], epoch.Add(ttl))
	assert.Equal(t, got, Expired)
	assert.Equal(t, b.Len(), 0)
}

// Outcomes that fill the byte limit must stop new calls, so that memory stays bounded.
func TestOutcomeBytesAreBounded(t *testing.T) {
	b := NewTable(10, 4, ttl)
	id, expires := b.Mint(epoch)
	b.Begin(epoch, id, expires, 1)
	b.End(id, Outcome{Body: []byte("12345")})
	other, _ := b.Mint(epoch)
	got, _ := b.Begin(epoch, other, expires, 1)
	assert.Equal(t, got, Full)
}

// The table that inherits the entries must answer for every ticket of the process that left, and
// run none.
func TestHandover(t *testing.T) {
	b := NewTable(10, 1000, ttl)
	var ids []ID
	for range 4 {
		id, expires := b.Mint(epoch)
		ids = append(ids, id)
		if len(ids) < 4 {
			b.Begin(epoch, id, expires, 1)
		}
	}
	b.End(ids[0], Outcome{Status: 200})
	b.EndNotRun(ids[1])
	inherited := Inherit(closedLastID(b), closedRecords(b), 10, ttl)
	for i, want := range []Answer{Ran, NotRun, Unknown, NotRun} {
		got, _ := inherited.Ask(epoch, ids[i], epoch.Add(ttl))
		assert.Equal(t, got, want, "ticket %d", i)
		got, _ = inherited.Begin(epoch, ids[i], epoch.Add(ttl), 1)
		assert.Equal(t, got, want, "ticket %d", i)
	}
}

func closedLastID(b *Table) ID        { id, _ := b.Close(); return id }
func closedRecords(b *Table) []Record { _, all := b.Close(); return all }

// A token survives encoding, and changed or foreign texts are refused.
func TestToken(t *testing.T) {
	key := []byte("0123456789abcdef")
	want := Token{Team: "t", Instance: "i", Peer: "10.0.0.1:1", Process: 1 << 63, ID: 7, Expires: time.Hour}
	text := want.Encode(key)
	got, err := Decode(key, text)
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	_, err = Decode([]byte("another key 0123"), text)
	assert.Assert(t, errors.Is(err, ErrSignature))
	for _, bad := range []string{"", "x", "a.b", text[1:], text + "A", "." + text} {
		_, err := Decode(key, bad)
		assert.Assert(t, err != nil, bad)
	}
}

// Begins, ends, questions, time and the handover come in random order. No ticket may run twice, or
// run after it was reported as not run, or be reported as run when it did not.
func TestAtMostOneRunInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTable(rapid.IntRange(1, 6).Draw(t, "entries"), 1000, ttl)
		now := epoch
		expires := map[ID]time.Time{}
		var ids []ID
		runs, denied := map[ID]int{}, map[ID]bool{}
		check := func(id ID, a Answer) {
			switch a {
			case Run:
				if runs[id]++; runs[id] > 1 {
					t.Fatalf("ticket %d runs again", id)
				}
				if denied[id] {
					t.Fatalf("ticket %d runs after it was reported as not run", id)
				}
			case NotRun:
				denied[id] = true
			case Ran:
				if runs[id] == 0 {
					t.Fatalf("ticket %d is reported as run but did not run", id)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			if len(ids) == 0 || rapid.IntRange(0, 4).Draw(t, "mint") == 0 {
				id, e := b.Mint(now)
				ids, expires[id] = append(ids, id), e
			}
			id := rapid.SampledFrom(ids).Draw(t, "ticket")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				a, _ := b.Begin(now, id, expires[id], uint64(id))
				check(id, a)
			case 2:
				b.End(id, Outcome{Status: 200})
			case 3:
				a, _ := b.Ask(now, id, expires[id])
				check(id, a)
			case 4:
				b.EndUnknown(id)
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
					b.Close()
				}
			}
		}
	})
}

func BenchmarkBegin(b *testing.B) {
	t := NewTable(1<<20, 1<<30, ttl)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		id, expires := t.Mint(now)
		t.Begin(now, id, expires, 1)
		t.End(id, Outcome{Status: 200})
	}
}
