package resultcache

import (
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/requesttable"
)

func TestCache_ServesRepeatsUntilExpiry(t *testing.T) {
	c := New(Limits{ResultBytes: 1 << 10})
	a := &requesttable.Request{ID: "a", Subject: "row"}
	b := &requesttable.Request{ID: "b", Subject: "row"}
	c.Track(&requesttable.Request{ID: "plain"}, 10, false)
	c.Track(a, 10, false)
	if c.Len() != 1 {
		t.Errorf("%d entries, want 1, the request with a subject", c.Len())
	}
	if c.Original(0, "row", 1, 1) != "a" || c.Original(1, "row", 1, 1) != "" || c.Original(0, "", 1, 1) != "" {
		t.Errorf("originals %q with the same class and subject, %q with another class, %q without a subject; "+
			"want a, none, none", c.Original(0, "row", 1, 1), c.Original(1, "row", 1, 1), c.Original(0, "", 1, 1))
	}
	if _, state := c.LookupOrWait(b, 1); state != Pending {
		t.Errorf("state %v before the original ended, want pending", state)
	}
	waiting := c.Finish("a", Outcome{Ran: true, Success: true, Result: []byte("r"), FreshUntil: 5})
	if len(waiting) != 1 || waiting[0] != "b" {
		t.Errorf("requests %v wait for the result, want [b]", waiting)
	}
	if result, state := c.LookupOrWait(b, 5); state != Available || string(result) != "r" {
		t.Errorf("result %q, state %v; want r, available", result, state)
	}
	if _, state := c.LookupOrWait(b, 6); state != Missing || c.Original(0, "row", 6, 6) != "" {
		t.Errorf("state %v, original %q after the result ceased to be fresh; want missing and none",
			state, c.Original(0, "row", 6, 6))
	}
	c.Track(b, 10, false) // replaces a, which has the same subject
	if c.Len() != 1 || c.Original(0, "row", 6, 6) != "b" {
		t.Errorf("%d entries, original %q; want 1, b", c.Len(), c.Original(0, "row", 6, 6))
	}
	c.Finish("b", Outcome{Ran: true})
	if c.Original(0, "row", 6, 6) != "" {
		t.Errorf("original %q, want none, as b ended without a result", c.Original(0, "row", 6, 6))
	}
	if c.Expire(10); c.Len() != 1 {
		t.Errorf("%d entries at the expiry time, want 1", c.Len())
	}
	if c.Expire(11); c.Len() != 0 {
		t.Errorf("%d entries after the expiry time, want 0", c.Len())
	}
	c.Track(a, 20, false)
	_, _ = c.LookupOrWait(b, 12)
	c.Remove("a")
	if waiting := c.Finish("a", Outcome{Ran: true}); len(waiting) != 1 || c.Len() != 0 {
		t.Errorf("requests %v wait for the removed entry, %d entries left; want [b], 0", waiting, c.Len())
	}
}

func TestCache_KeepsRunOnceRequestsForWindow(t *testing.T) {
	c := New(Limits{ResultBytes: 10})
	a := &requesttable.Request{ID: "a", Subject: "k"}
	b := &requesttable.Request{ID: "b", Subject: "k"}
	other := &requesttable.Request{ID: "c", Subject: "l"}
	c.Track(a, 10, true)
	c.Finish("a", Outcome{})
	if c.Len() != 0 || c.Original(0, "k", 1, 1) != "" {
		t.Errorf("%d entries, original %q; want none, as the request did not run and a repeat may run",
			c.Len(), c.Original(0, "k", 1, 1))
	}
	c.Track(a, 10, true)
	c.Finish("a", Outcome{Ran: true})
	if _, state := c.LookupOrWait(b, 1); state != Unrepeatable {
		t.Errorf("state %v, want unrepeatable", state)
	}
	if c.Original(0, "k", 10, 12) != "a" || c.Original(0, "k", 10.1, 12) != "" {
		t.Errorf("original %q for arrival at 10, %q at 10.1; want a until the window ends at 10, then none",
			c.Original(0, "k", 10, 12), c.Original(0, "k", 10.1, 12))
	}
	c.Track(b, 30, true)
	c.Finish("b", Outcome{Ran: true, Success: true, Result: []byte("12345")})
	if result, state := c.LookupOrWait(a, 20); state != Available || string(result) != "12345" {
		t.Errorf("result %q, state %v; want 12345, available", result, state)
	}
	c.Track(other, 30, true)
	// The result exceeds the limit: the oldest result is evicted, but its entry stays.
	c.Finish("c", Outcome{Ran: true, Success: true, Result: []byte("67890")})
	if _, state := c.LookupOrWait(a, 20); state != Unrepeatable || c.Original(0, "k", 20, 20) != "b" {
		t.Errorf("state %v, original %q; want unrepeatable, b", state, c.Original(0, "k", 20, 20))
	}
	if c.bytes != 6 || len(c.withResults) != 1 {
		t.Errorf("%d bytes of %d results, want 6 bytes of 1", c.bytes, len(c.withResults))
	}
	if c.Expire(31); c.Len() != 0 || c.bytes != 0 || len(c.withResults) != 0 {
		t.Errorf("%d entries, %d bytes, %d results after the expiry, want 0 of each",
			c.Len(), c.bytes, len(c.withResults))
	}
}

// Guards against clients that ask for ever new subjects: what is kept of their requests must be bounded in
// bytes, whatever the length of the subjects, and entries that are gone must not count.
func TestCache_BoundsEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20 * entryOverheadBytes
		c := New(Limits{ResultBytes: 100, EntryBytes: limit})
		now := 0.0
		for i := range rapid.IntRange(1, 300).Draw(t, "requests") {
			subject := strings.Repeat("s", rapid.IntRange(1, 4*entryOverheadBytes).Draw(t, "length")) +
				strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "number"))
			request := &requesttable.Request{ID: strconv.Itoa(i), Subject: subject}
			runsOnce := rapid.Bool().Draw(t, "runs once")
			if !runsOnce || c.HasRoom(subject, true) {
				c.Track(request, now+rapid.Float64Range(0, 10).Draw(t, "lifetime"), runsOnce)
			}
			if runsOnce && c.entryBytes <= limit-entrySize(subject) != c.HasRoom(subject, true) {
				t.Fatalf("%d bytes of entries: room %t", c.entryBytes, c.HasRoom(subject, true))
			}
			switch rapid.IntRange(0, 3).Draw(t, "end") {
			case 0:
				c.Finish(request.ID, Outcome{Ran: true, Success: true, Result: []byte("r"), FreshUntil: now + 1})
			case 1:
				c.Finish(request.ID, Outcome{})
			case 2:
				c.Remove(request.ID)
			}
			now += rapid.Float64Range(0, 1).Draw(t, "pause")
			c.Expire(now)
			total := 0
			for _, e := range c.byID {
				total += entrySize(e.key.subject)
			}
			if c.EntryBytes() != total || total > limit {
				t.Fatalf("%d bytes of entries, want %d and at most %d", c.EntryBytes(), total, limit)
			}
		}
		if c.Expire(now + 20); c.EntryBytes() != 0 || c.Len() != 0 {
			t.Fatalf("%d bytes of %d entries after the last expiry, want 0 of 0", c.EntryBytes(), c.Len())
		}
	})
}

// A request that may run more than once leaves half of the room to those that may not.
func TestCache_LeavesRoomForRunOnceRequests(t *testing.T) {
	c := New(Limits{EntryBytes: 10 * (entryOverheadBytes + 1)})
	for i := range 10 {
		c.Track(&requesttable.Request{ID: strconv.Itoa(i), Subject: strconv.Itoa(i)}, 10, false)
	}
	if c.Len() != 5 || !c.HasRoom("k", true) {
		t.Errorf("%d entries, room for one more that runs once %t; want 5, true", c.Len(), c.HasRoom("k", true))
	}
}
