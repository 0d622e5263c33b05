// Package kit2 has the stand-ins of the second review: balancers, processors, a catalogue and a roster,
// which follow ../given/kit/real/PROTOCOL.md, and the start and end of the project's own programs by the
// commands of the deploy file. Everything runs on loopback addresses and on the real clock.
package kit2

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Request is what the platform knows about one try.
type Request struct {
	ID, Class string
	Body      string
	over      bool // answered, or given up by its balancer
}

// Book is what balancers and processors share: the tries that were sent, and which of them are over.
type Book struct {
	mu       sync.Mutex
	requests map[string]*Request
	lastID   uint64
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{requests: map[string]*Request{}} }

// New enters a try and returns its id, 16 hex digits.
func (b *Book) New(class, body string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	id := fmt.Sprintf("%016x", 0x9b1f03aa00000000+b.lastID)
	b.requests[id] = &Request{ID: id, Class: class, Body: body}
	return id
}

// Len returns the number of tries that were sent.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// Known reports whether a try with this id, class and body was sent.
func (b *Book) Known(id, class, body string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	return r != nil && r.Class == class && r.Body == body
}

// End marks a try as over.
func (b *Book) End(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[id]; r != nil {
		r.over = true
	}
}

// Over reports whether a try is over.
func (b *Book) Over(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	return r == nil || r.over
}

// Record writes what was sent, answered and run, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: file, start: time.Now()}, err
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
