package kit

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"sync"
)

// Book knows all requests that were sent, for the processors and the judgement.
type Book struct {
	mu   sync.Mutex
	byID map[string]*entry
}

type entry struct {
	request *Request
	server  string
	over    bool
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byID: map[string]*entry{}} }

// NewID returns a new id of a request: 16 hex digits.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Add enters a request before it is sent to a server.
func (b *Book) Add(r *Request, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byID[r.ID] = &entry{request: r, server: server}
}

// SetOver notes that a request was answered or given up.
func (b *Book) SetOver(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byID[id].over = true
}

// Over tells whether a request was answered or given up.
func (b *Book) Over(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byID[id]
	return e == nil || e.over
}

// Known returns whether a request with this class and body came to a server.
func (b *Book) Known(server, id, class string, body []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byID[id]
	return e != nil && e.server == server && e.request.Class == class && bytes.Equal(e.request.Body, body)
}

// Get returns a request.
func (b *Book) Get(id string) *Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byID[id].request
}
