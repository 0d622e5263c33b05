package requesttable

import (
	"cmp"
	"maps"
	"slices"
)

// Table holds requests by ID.
type Table struct {
	byID  map[string]*Request
	added int // number of requests ever added
}

// New returns an empty table.
func New() *Table { return &Table{byID: map[string]*Request{}} }

// Get returns the request with an ID, or nil if there is none.
func (t *Table) Get(id string) *Request { return t.byID[id] }

// Add adds a request.
func (t *Table) Add(request *Request) {
	t.added++
	request.sequence = t.added
	t.byID[request.ID] = request
}

// RemoveIfDone removes a request if it is answered and not running, and reports whether it did so.
func (t *Table) RemoveIfDone(request *Request) bool {
	if !request.Answered || request.Running {
		return false
	}
	delete(t.byID, request.ID)
	return true
}

// Len returns the number of requests.
func (t *Table) Len() int { return len(t.byID) }

// Unanswered returns the number of requests that have not been answered yet.
func (t *Table) Unanswered() int {
	count := 0
	for _, request := range t.byID {
		if !request.Answered {
			count++
		}
	}
	return count
}

// InArrivalOrder returns all requests in the order in which they were added.
func (t *Table) InArrivalOrder() []*Request {
	bySequence := func(a, b *Request) int { return cmp.Compare(a.sequence, b.sequence) }
	return slices.SortedFunc(maps.Values(t.byID), bySequence)
}
