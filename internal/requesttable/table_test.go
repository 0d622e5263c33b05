package requesttable

import (
	"testing"
)

func TestTable_KeepsRequestUntilAnsweredAndEnded(t *testing.T) {
	requests := New()
	a := &Request{ID: "a", Running: true}
	requests.Add(a)
	requests.Add(&Request{ID: "b"})
	a.Answered = true
	if requests.RemoveIfDone(a); requests.Get("a") == nil || requests.Unanswered() != 1 {
		t.Errorf("request a: %v, %d unanswered; want a kept while it runs, 1 unanswered",
			requests.Get("a"), requests.Unanswered())
	}
	a.Running = false
	if removed := requests.RemoveIfDone(a); !removed || requests.Get("a") != nil || requests.Len() != 1 {
		t.Errorf("request a: %v, reported removed %t, %d requests; want a removed, true, 1 request",
			requests.Get("a"), removed, requests.Len())
	}
	if first := requests.InArrivalOrder()[0].ID; first != "b" {
		t.Errorf("first request %s, want b", first)
	}
}
