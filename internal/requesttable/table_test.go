package requesttable

import (
	"testing"

	"swiftcourse/internal/bufferpool"
)

func TestTable_KeepsRequestUntilAnsweredAndEnded(t *testing.T) {
	var pool bufferpool.Pool
	requests := New()
	a := &Request{ID: "a", Body: pool.Copy([]byte("x")), Running: true}
	requests.Add(a)
	requests.Add(&Request{ID: "b"})
	a.Answered = true
	if requests.RemoveIfDone(&pool, a); requests.Get("a") == nil || requests.Unanswered() != 1 {
		t.Errorf("request a: %v, %d unanswered; want a kept while it runs, 1 unanswered",
			requests.Get("a"), requests.Unanswered())
	}
	a.Running = false
	if requests.RemoveIfDone(&pool, a); requests.Get("a") != nil || pool.InUse != 0 || requests.Len() != 1 {
		t.Errorf("request a: %v, %d buffers in use, %d requests; want a removed, 0 in use, 1 request",
			requests.Get("a"), pool.InUse, requests.Len())
	}
	if first := requests.InArrivalOrder()[0].ID; first != "b" {
		t.Errorf("first request %s, want b", first)
	}
}
