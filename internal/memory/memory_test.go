package memory

import (
	"bytes"
	"testing"
)

func TestBuffersComeBack(t *testing.T) {
	var p Pool
	var out Out
	text := bytes.Repeat([]byte("swift"), Size) // five buffers
	out.Add(&p, text[:3])
	out.Add(&p, text[3:])
	if got := bytes.Join(out.Parts(), nil); !bytes.Equal(got, text) || p.Out != 5 {
		t.Fatalf("%d bytes in %d buffers", len(got), p.Out)
	}
	out.Clear(&p)
	long := p.Keep(make([]byte, Size+1))
	p.Put(long)
	p.Put(nil)
	if p.Out != 0 || len(p.free) != 5 || len(out.Parts()) != 0 {
		t.Errorf("%d out, %d free", p.Out, len(p.free))
	}
	b := p.Keep([]byte("x"))
	if string(b) != "x" || p.Out != 1 || len(p.free) != 4 {
		t.Errorf("%q, %d out, %d free", b, p.Out, len(p.free))
	}
}

func TestTaskStaysUntilAnsweredAndEnded(t *testing.T) {
	var p Pool
	tasks := NewTasks()
	a := &Task{ID: "a", Body: p.Keep([]byte("x")), Begun: true}
	tasks.Add(a)
	tasks.Add(&Task{ID: "b"})
	a.Answered = true
	if tasks.Drop(&p, a); tasks.Get("a") == nil || tasks.Open() != 1 {
		t.Error("dropped while it runs")
	}
	a.Begun = false
	if tasks.Drop(&p, a); tasks.Get("a") != nil || p.Out != 0 || tasks.Len() != 1 || tasks.InOrder()[0].ID != "b" {
		t.Error("not dropped")
	}
}

func TestKeptEntries(t *testing.T) {
	k := NewKept(1 << 10)
	a, b := &Task{ID: "a", Subject: "row"}, &Task{ID: "b", Subject: "row"}
	k.Keep(&Task{ID: "plain"}, 10, false)
	k.Keep(a, 10, false)
	if k.Len() != 1 || k.Earlier(0, "row", 1, 1) != "a" || k.Earlier(1, "row", 1, 1) != "" || k.Earlier(0, "", 1, 1) != "" {
		t.Error("wrong entry")
	}
	if _, state := k.Wait(b, 1); state != Pending {
		t.Error("a result before its end")
	}
	if ids := k.Ended("a", true, true, []byte("r"), 5); len(ids) != 1 || ids[0] != "b" {
		t.Errorf("waiting: %v", ids)
	}
	if result, state := k.Wait(b, 5); state != Done || string(result) != "r" {
		t.Errorf("%q, %d", result, state)
	}
	if _, state := k.Wait(b, 6); state != Missing || k.Earlier(0, "row", 6, 6) != "" {
		t.Error("a result after its time")
	}
	k.Keep(b, 10, false) // takes the subject over
	if k.Len() != 1 || k.Earlier(0, "row", 6, 6) != "b" {
		t.Error("not taken over")
	}
	k.Ended("b", true, false, nil, 0)
	if k.Earlier(0, "row", 6, 6) != "" {
		t.Error("points to an abandoned one")
	}
	if k.Sweep(10); k.Len() != 1 {
		t.Error("swept too early")
	}
	if k.Sweep(11); k.Len() != 0 {
		t.Error("stays for ever")
	}
	k.Keep(a, 20, false)
	_, _ = k.Wait(b, 12)
	k.Forget("a")
	if ids := k.Ended("a", true, false, nil, 0); len(ids) != 1 || k.Len() != 0 {
		t.Errorf("forgotten with one waiting: %v, %d", ids, k.Len())
	}
}

func TestEntriesOfWhatMayRunOnce(t *testing.T) {
	k := NewKept(10)
	a, b, c := &Task{ID: "a", Subject: "k"}, &Task{ID: "b", Subject: "k"}, &Task{ID: "c", Subject: "l"}
	k.Keep(a, 10, true)
	k.Ended("a", false, false, nil, 0)
	if k.Len() != 0 || k.Earlier(0, "k", 1, 1) != "" {
		t.Error("it never ran, and stands in the way")
	}
	k.Keep(a, 10, true)
	k.Ended("a", true, false, nil, 0)
	if _, state := k.Wait(b, 1); state != Spent || k.Earlier(0, "k", 10, 12) != "a" || k.Earlier(0, "k", 10.1, 12) != "" {
		t.Error("it ran and is not remembered for its window")
	}
	k.Keep(b, 30, true)
	k.Ended("b", true, true, []byte("12345"), 0)
	if result, state := k.Wait(a, 20); state != Done || string(result) != "12345" {
		t.Errorf("%q, %d", result, state)
	}
	k.Keep(c, 30, true)
	k.Ended("c", true, true, []byte("67890"), 0) // over the bound: the oldest result goes, what ran does not
	if _, state := k.Wait(a, 20); state != Spent || k.Earlier(0, "k", 20, 20) != "b" || k.bytes != 6 || len(k.results) != 1 {
		t.Errorf("%d, %d bytes", state, k.bytes)
	}
	if k.Sweep(31); k.Len() != 0 || k.bytes != 0 || len(k.results) != 0 {
		t.Errorf("%d entries and %d bytes stay", k.Len(), k.bytes)
	}
}
