// Package executor is a fake of the executor that runs a server's requests. It simulates a number
// of cores, runs requests in order of arrival, and implements the executor protocol, including
// resumption after a connection is lost.
//
// One mutex of Server guards all state; timers and connection goroutines lock it.
package executor

import (
	"net"
	"sync"
	"time"

	"swiftcourse/internal/fake/tcpserver"
)

// Config configures the fake executor. Callbacks run with the Server's mutex locked, so they must
// not call its methods. For a nil callback, the default that its comment states applies.
type Config struct {
	// Cores is the number of simulated cores, each of which executes one run at a time; 0 means 1.
	Cores int
	// CPUSeconds returns the CPU seconds that a run takes. The default is 0.
	CPUSeconds func(class, id string) float64
	// CallsUpstream reports whether a run calls the upstream service halfway through its work. The
	// default is false.
	CallsUpstream func(class, id string) bool
	// Gauges returns the load gauges, in the order of the server's settings, for the numbers of
	// busy cores and waiting runs. The default is no gauges.
	Gauges func(busy, waiting int) []float64
	// ColdStart is sent in the hello, the first line on each connection: whether the executor was
	// cold when it started.
	ColdStart bool
	// CallTimeoutSeconds is the number of seconds that a run waits for the reply to its upstream call
	// before it is cancelled; 0 means no timeout.
	CallTimeoutSeconds float64
	// OnStart is called at the start of each run. The default does nothing.
	OnStart func(id string, body []byte)
	// Result returns the result of a run. The default is the request's body.
	Result func(id string, body []byte) []byte
}

// Stats are an executor's counters since its start.
type Stats struct {
	Started       int
	Ended         int
	UpstreamCalls int // upstream calls requested
	Resumed       int // resume commands received, including that of the first connection
	RepeatedRuns  int // runs started under the id of a run that had ended: duplicate executions
}

// Server is a running fake executor. Its methods may be called from any goroutine.
type Server struct {
	config    Config
	listener  net.Listener
	startedAt time.Time

	mu           sync.Mutex
	stats        Stats
	conn         net.Conn        // the connection that sent the latest resume command; nil if there is none
	output       []byte          // lines not yet written to conn
	flushing     bool            // set while a goroutine runs flush
	latestSerial int64           // serial of the latest notice
	notices      []notice        // the latest notices, ordered by serial
	runs         map[string]*run // runs in progress, by id
	endedIDs     map[string]bool // ids of ended runs; at most maxEndedIDs
	waitingRuns  []*run          // runs whose next part waits for a core, in order
	busyCores    int
}

const (
	// minKeptNotices is the number of notices that the protocol requires an executor to keep for
	// connections that resume.
	minKeptNotices = 4000
	// maxEndedIDs bounds the ids of ended runs that are kept to count Stats.Repeated.
	maxEndedIDs = 1 << 20
)

// Start starts an executor that listens on a TCP address.
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

// Stats returns the executor's counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close stops listening and closes the current connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.Disconnect()
}

// Disconnect closes the current connection. Runs continue, and their notices are kept for the next
// connection.
func (s *Server) Disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}
