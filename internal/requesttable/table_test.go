package requesttable

import (
	"testing"

	"swiftcourse/internal/bufferpool"
)

func TestTable_RequestStaysUntilAnsweredAndEnded(t *testing.T) {
	var pool bufferpool.Pool
	requests := New()
	a := &Request{ID: "a", Body: pool.Copy([]byte("x")), Running: true}
	requests.Add(a)
	requests.Add(&Request{ID: "b"})
	a.Answered = true
	if requests.RemoveIfDone(&pool, a); requests.Get("a") == nil || requests.Unanswered() != 1 {
		t.Error("removed while it runs")
	}
	a.Running = false
	if requests.RemoveIfDone(&pool, a); requests.Get("a") != nil || pool.InUse != 0 || requests.Len() != 1 {
		t.Error("not removed")
	}
	if first := requests.InArrivalOrder()[0].ID; first != "b" {
		t.Errorf("%s is first, want b", first)
	}
}
