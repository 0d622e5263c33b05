package memory

import (
	"cmp"
	"maps"
	"slices"
)

// Request is what the server has to know of a task, from its reading until it is answered and its run is over.
type Request struct {
	ID            string
	Connection    Handle // connection that it came on
	MessageNumber uint64 // of its message there
	Class         int
	Subject       string  // what a read is about
	ArrivedAt     float64 // on the server's clock
	Timeout       float64 // as told, from Came; 0 where not told
	Body          []byte

	Answered    bool // or nobody waits any more
	Running     bool // its run was asked for and has not ended
	Tenant      int32
	LastCommand int // number of the last command about it, see Confirmed at the link
	CallNotice  int64
	CallBody    []byte // the call that its run waits for, of notice Asked
	CallSettled bool   // that call is settled, with Reply or without
	CallReply   []byte

	order int
}

// Requests holds tasks by id.
type Requests struct {
	byID  map[string]*Request
	added int
}

// NewRequests makes an empty table.
func NewRequests() *Requests { return &Requests{byID: map[string]*Request{}} }

// Get gives a task, or nil.
func (t *Requests) Get(id string) *Request { return t.byID[id] }

// Add puts a task in.
func (t *Requests) Add(task *Request) {
	t.added++
	task.order = t.added
	t.byID[task.ID] = task
}

// RemoveIfDone takes a task out once nothing needs it any more: it has its answer and no run.
func (t *Requests) RemoveIfDone(p *Pool, task *Request) {
	if !task.Answered || task.Running {
		return
	}
	delete(t.byID, task.ID)
	p.Put(task.Body)
	p.Put(task.CallBody)
	p.Put(task.CallReply)
	task.Body, task.CallBody, task.CallReply = nil, nil, nil
}

// Len counts all tasks.
func (t *Requests) Len() int { return len(t.byID) }

// Unanswered counts those that are owed an answer.
func (t *Requests) Unanswered() (n int) {
	for _, task := range t.byID {
		if !task.Answered {
			n++
		}
	}
	return n
}

// InArrivalOrder lists all tasks in the order of their reading.
func (t *Requests) InArrivalOrder() []*Request {
	return slices.SortedFunc(maps.Values(t.byID), func(a, b *Request) int { return cmp.Compare(a.order, b.order) })
}
