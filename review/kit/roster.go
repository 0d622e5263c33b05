package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Roster is a stand-in of the roster.
type Roster struct {
	Address string
	mu      sync.Mutex
	duty    map[string]string
}

// StartRoster starts a roster.
func StartRoster() *Roster {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Cannot("%v", err)
	}
	r := &Roster{Address: listener.Addr().String(), duty: map[string]string{}}
	go func() { _ = http.Serve(listener, r) }()
	return r
}

// ServeHTTP takes a report.
func (r *Roster) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var report struct{ Duty string }
	_ = json.NewDecoder(request.Body).Decode(&report)
	r.mu.Lock()
	r.duty[strings.TrimPrefix(request.URL.Path, "/roster/")] = report.Duty
	r.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Duty returns the last report of a server.
func (r *Roster) Duty(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duty[name]
}
