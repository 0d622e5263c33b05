package resultcache

import (
	"testing"

	"swiftcourse/internal/requesttable"
)

func TestCache_EntryServesRepeatsUntilItExpires(t *testing.T) {
	c := New(1 << 10)
	a := &requesttable.Request{ID: "a", Subject: "row"}
	b := &requesttable.Request{ID: "b", Subject: "row"}
	c.Track(&requesttable.Request{ID: "plain"}, 10, false)
	c.Track(a, 10, false)
	if c.Len() != 1 {
		t.Errorf("%d entries, want the one with a subject", c.Len())
	}
	if c.Original(0, "row", 1, 1) != "a" || c.Original(1, "row", 1, 1) != "" || c.Original(0, "", 1, 1) != "" {
		t.Error("wrong entry")
	}
	if _, state := c.LookupOrWait(b, 1); state != Pending {
		t.Errorf("%v before the request's end", state)
	}
	waiting := c.Finish("a", Outcome{Ran: true, Success: true, Result: []byte("r"), FreshTo: 5})
	if len(waiting) != 1 || waiting[0] != "b" {
		t.Errorf("waiting: %v", waiting)
	}
	if result, state := c.LookupOrWait(b, 5); state != Available || string(result) != "r" {
		t.Errorf("%q, %v", result, state)
	}
	if _, state := c.LookupOrWait(b, 6); state != Missing || c.Original(0, "row", 6, 6) != "" {
		t.Error("a result after its time")
	}
	c.Track(b, 10, false) // takes the subject over
	if c.Len() != 1 || c.Original(0, "row", 6, 6) != "b" {
		t.Error("not taken over")
	}
	c.Finish("b", Outcome{Ran: true})
	if c.Original(0, "row", 6, 6) != "" {
		t.Error("refers to an abandoned request")
	}
	if c.Expire(10); c.Len() != 1 {
		t.Error("expired too early")
	}
	if c.Expire(11); c.Len() != 0 {
		t.Error("never expires")
	}
	c.Track(a, 20, false)
	_, _ = c.LookupOrWait(b, 12)
	c.Remove("a")
	if waiting := c.Finish("a", Outcome{Ran: true}); len(waiting) != 1 || c.Len() != 0 {
		t.Errorf("removed while one waits: %v, %d", waiting, c.Len())
	}
}

func TestCache_RequestThatRunsOnceIsRemembered(t *testing.T) {
	c := New(10)
	a := &requesttable.Request{ID: "a", Subject: "k"}
	b := &requesttable.Request{ID: "b", Subject: "k"}
	other := &requesttable.Request{ID: "c", Subject: "l"}
	c.Track(a, 10, true)
	c.Finish("a", Outcome{})
	if c.Len() != 0 || c.Original(0, "k", 1, 1) != "" {
		t.Error("it never ran, and keeps the next try from running")
	}
	c.Track(a, 10, true)
	c.Finish("a", Outcome{Ran: true})
	if _, state := c.LookupOrWait(b, 1); state != Unrepeatable {
		t.Errorf("%v, want unrepeatable", state)
	}
	if c.Original(0, "k", 10, 12) != "a" || c.Original(0, "k", 10.1, 12) != "" {
		t.Error("it ran and is not remembered for its window")
	}
	c.Track(b, 30, true)
	c.Finish("b", Outcome{Ran: true, Success: true, Result: []byte("12345")})
	if result, state := c.LookupOrWait(a, 20); state != Available || string(result) != "12345" {
		t.Errorf("%q, %v", result, state)
	}
	c.Track(other, 30, true)
	// Over the bound: the oldest result goes, that its request ran does not.
	c.Finish("c", Outcome{Ran: true, Success: true, Result: []byte("67890")})
	if _, state := c.LookupOrWait(a, 20); state != Unrepeatable || c.Original(0, "k", 20, 20) != "b" {
		t.Errorf("%v, original %q", state, c.Original(0, "k", 20, 20))
	}
	if c.bytes != 6 || len(c.withResults) != 1 {
		t.Errorf("%d bytes of %d results", c.bytes, len(c.withResults))
	}
	if c.Expire(31); c.Len() != 0 || c.bytes != 0 || len(c.withResults) != 0 {
		t.Errorf("%d entries and %d bytes stay", c.Len(), c.bytes)
	}
}
