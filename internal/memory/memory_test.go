package memory

import (
	"bytes"
	"testing"
)

func TestBuffersComeBack(t *testing.T) {
	var p Pool
	var out WriteBuffer
	text := bytes.Repeat([]byte("swift"), Size) // five buffers
	out.Append(&p, text[:3])
	out.Append(&p, text[3:])
	if got := bytes.Join(out.Buffers(), nil); !bytes.Equal(got, text) || p.InUse != 5 {
		t.Fatalf("%d bytes in %d buffers", len(got), p.InUse)
	}
	out.Release(&p)
	long := p.Copy(make([]byte, Size+1))
	p.Put(long)
	p.Put(nil)
	if p.InUse != 0 || len(p.free) != 5 || len(out.Buffers()) != 0 {
		t.Errorf("%d out, %d free", p.InUse, len(p.free))
	}
	b := p.Copy([]byte("x"))
	if string(b) != "x" || p.InUse != 1 || len(p.free) != 4 {
		t.Errorf("%q, %d out, %d free", b, p.InUse, len(p.free))
	}
}

func TestTaskStaysUntilAnsweredAndEnded(t *testing.T) {
	var p Pool
	tasks := NewRequests()
	a := &Request{ID: "a", Body: p.Copy([]byte("x")), Running: true}
	tasks.Add(a)
	tasks.Add(&Request{ID: "b"})
	a.Answered = true
	if tasks.RemoveIfDone(&p, a); tasks.Get("a") == nil || tasks.Unanswered() != 1 {
		t.Error("dropped while it runs")
	}
	a.Running = false
	if tasks.RemoveIfDone(&p, a); tasks.Get("a") != nil || p.InUse != 0 || tasks.Len() != 1 || tasks.InArrivalOrder()[0].ID != "b" {
		t.Error("not dropped")
	}
}

func TestKeptEntries(t *testing.T) {
	k := NewCache(1 << 10)
	a, b := &Request{ID: "a", Subject: "row"}, &Request{ID: "b", Subject: "row"}
	k.Track(&Request{ID: "plain"}, 10, false)
	k.Track(a, 10, false)
	if k.Len() != 1 || k.Original(0, "row", 1, 1) != "a" || k.Original(1, "row", 1, 1) != "" || k.Original(0, "", 1, 1) != "" {
		t.Error("wrong entry")
	}
	if _, state := k.LookupOrWait(b, 1); state != Pending {
		t.Error("a result before its end")
	}
	if ids := k.Finish("a", true, true, []byte("r"), 5); len(ids) != 1 || ids[0] != "b" {
		t.Errorf("waiting: %v", ids)
	}
	if result, state := k.LookupOrWait(b, 5); state != Available || string(result) != "r" {
		t.Errorf("%q, %d", result, state)
	}
	if _, state := k.LookupOrWait(b, 6); state != Missing || k.Original(0, "row", 6, 6) != "" {
		t.Error("a result after its time")
	}
	k.Track(b, 10, false) // takes the subject over
	if k.Len() != 1 || k.Original(0, "row", 6, 6) != "b" {
		t.Error("not taken over")
	}
	k.Finish("b", true, false, nil, 0)
	if k.Original(0, "row", 6, 6) != "" {
		t.Error("points to an abandoned one")
	}
	if k.Expire(10); k.Len() != 1 {
		t.Error("swept too early")
	}
	if k.Expire(11); k.Len() != 0 {
		t.Error("stays for ever")
	}
	k.Track(a, 20, false)
	_, _ = k.LookupOrWait(b, 12)
	k.Remove("a")
	if ids := k.Finish("a", true, false, nil, 0); len(ids) != 1 || k.Len() != 0 {
		t.Errorf("forgotten with one waiting: %v, %d", ids, k.Len())
	}
}

func TestEntriesOfWhatMayRunOnce(t *testing.T) {
	k := NewCache(10)
	a, b, c := &Request{ID: "a", Subject: "k"}, &Request{ID: "b", Subject: "k"}, &Request{ID: "c", Subject: "l"}
	k.Track(a, 10, true)
	k.Finish("a", false, false, nil, 0)
	if k.Len() != 0 || k.Original(0, "k", 1, 1) != "" {
		t.Error("it never ran, and stands in the way")
	}
	k.Track(a, 10, true)
	k.Finish("a", true, false, nil, 0)
	if _, state := k.LookupOrWait(b, 1); state != Unrepeatable || k.Original(0, "k", 10, 12) != "a" || k.Original(0, "k", 10.1, 12) != "" {
		t.Error("it ran and is not remembered for its window")
	}
	k.Track(b, 30, true)
	k.Finish("b", true, true, []byte("12345"), 0)
	if result, state := k.LookupOrWait(a, 20); state != Available || string(result) != "12345" {
		t.Errorf("%q, %d", result, state)
	}
	k.Track(c, 30, true)
	k.Finish("c", true, true, []byte("67890"), 0) // over the bound: the oldest result goes, what ran does not
	if _, state := k.LookupOrWait(a, 20); state != Unrepeatable || k.Original(0, "k", 20, 20) != "b" || k.bytes != 6 || len(k.results) != 1 {
		t.Errorf("%d, %d bytes", state, k.bytes)
	}
	if k.Expire(31); k.Len() != 0 || k.bytes != 0 || len(k.results) != 0 {
		t.Errorf("%d entries and %d bytes stay", k.Len(), k.bytes)
	}
}
