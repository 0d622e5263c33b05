// Package executor is a fake of the executor that runs a server's requests. It simulates a number of cores, runs
// requests in order of arrival, and implements the executor protocol, including resumption after a broken connection.
//
// One mutex of Server guards all state; timers and connection goroutines lock it.
package executor

import (
	"net"
	"sync"
	"time"

	"swiftcourse/internal/fake/tcpserver"
)

// Config is how the executor behaves. The callbacks run with the executor's state locked, so they must not call its
// methods; a nil callback has the default that its comment states.
type Config struct {
	// Cores is how many runs proceed at a time; 0 means 1.
	Cores int
	// CPUSeconds returns the seconds of a core that a run takes. The default is 0.
	CPUSeconds func(class, id string) float64
	// CallsUpstream reports whether a run calls the upstream service when half of its work is done. The default is no.
	CallsUpstream func(class, id string) bool
	// Gauges returns the load gauges, in the order of the settings.
	Gauges func(busy, waiting int) []float64
	// ColdStart is announced on each new connection.
	ColdStart bool
	// CallTimeout is for how many seconds a run waits for its upstream call before it is cancelled; 0 means forever.
	CallTimeout float64
	// OnStart is called as each run starts.
	OnStart func(id string, body []byte)
	// Result returns what a run produces. The default is the request's body.
	Result func(id string, body []byte) []byte
}

// Stats counts what an executor did since its start.
type Stats struct {
	Started  int
	Ended    int
	Calls    int // upstream calls requested
	Resumed  int // connections on which the server resumed, the first included
	Repeated int // runs of an id that had ended before, that is, duplicate effects
}

// Server is a running fake. Its methods may be called from any goroutine.
type Server struct {
	config    Config
	listener  net.Listener
	startedAt time.Time

	mu           sync.Mutex
	stats        Stats
	conn         net.Conn // the latest on which the server resumed; nil while there is none
	output       []byte   // lines for conn that are not written yet
	flushing     bool     // a goroutine runs flush
	latestSerial int64    // of the latest notice
	notices      []notice // the latest, in order
	runs         map[string]*run
	endedIDs     map[string]bool // at most maxEndedIDs
	waitingRuns  []*run          // the queue for a core
	busyCores    int
}

const (
	// maxNotices is how many notices the protocol wants kept for a connection that resumes.
	maxNotices = 4000
	// maxEndedIDs bounds the ids remembered for Stats.Repeated.
	maxEndedIDs = 1 << 20
)

// Start listens on a TCP address.
func Start(address string, config Config) (*Server, error) {
	config.Cores = max(1, config.Cores)
	s := &Server{config: config, startedAt: time.Now(), runs: map[string]*run{}, endedIDs: map[string]bool{}}
	listener, err := tcpserver.Start(address, s.serve)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stats returns what the executor did so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close stops listening and closes the connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.Disconnect()
}

// Disconnect closes the connection. Runs go on, and their notices are kept for the next connection.
func (s *Server) Disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}
