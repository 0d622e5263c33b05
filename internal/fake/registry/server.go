// Package registry is a fake of the service registry: it receives the servers' load reports, and closes connections
// when the test tells it to.
package registry

import (
	"bufio"
	"io"
	"net"
	"sync"

	"swiftcourse/internal/fake/tcpserver"
	"swiftcourse/internal/wire/roster"
)

// Response is what the fake does with a load report.
type Response uint8

const (
	// KeepAlive acknowledges the report and keeps the connection.
	KeepAlive Response = iota
	// CloseAfterReply acknowledges the report and closes the connection.
	CloseAfterReply
	// CloseWithoutReply closes the connection without an acknowledgement.
	CloseWithoutReply
)

// String returns the response's name.
func (r Response) String() string {
	switch r {
	case KeepAlive:
		return "keep alive"
	case CloseAfterReply:
		return "close after reply"
	case CloseWithoutReply:
		return "close without reply"
	default:
		return "unknown"
	}
}

// maxReports bounds the reports that nobody has received from Reports yet; further ones are not delivered.
const maxReports = 1000

// Server is a running fake. Its methods may be called from any goroutine.
type Server struct {
	listener net.Listener
	respond  func(n int) Response
	reports  chan roster.Report

	mu        sync.Mutex
	accepting map[string]bool // by server name, of its latest report
	received  int
}

// Start listens on a TCP address. It calls respond to decide about the nth report, counted from 1; a nil respond
// keeps all connections.
func Start(address string, respond func(n int) Response) (*Server, error) {
	s := &Server{respond: respond, reports: make(chan roster.Report, maxReports), accepting: map[string]bool{}}
	listener, err := tcpserver.Start(address, s.serve)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops listening. Open connections go on until the other side closes them.
func (s *Server) Close() { _ = s.listener.Close() }

// Reports returns the channel of the received reports, in order.
func (s *Server) Reports() <-chan roster.Report { return s.reports }

// Accepting reports whether the latest report of the named server said that it accepts requests.
func (s *Server) Accepting(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepting[name]
}

func (s *Server) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		report, err := roster.ReadReport(in)
		if err != nil {
			return
		}
		n := s.record(report)
		response := KeepAlive
		if s.respond != nil {
			response = s.respond(n)
		}
		if response == CloseWithoutReply {
			return
		}
		if _, err := io.WriteString(conn, roster.ReportAccepted); err != nil || response == CloseAfterReply {
			return
		}
	}
}

// record stores a report and returns its number.
func (s *Server) record(report roster.Report) int {
	s.mu.Lock()
	s.received++
	n := s.received
	s.accepting[report.Name] = report.Accepting
	s.mu.Unlock()
	select {
	case s.reports <- report:
	default:
	}
	return n
}
