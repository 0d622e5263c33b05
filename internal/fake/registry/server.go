// Package registry is a fake of the service registry that receives the servers' load reports. The
// test decides for each report whether it is acknowledged and whether the connection is closed.
package registry

import (
	"bufio"
	"io"
	"net"
	"sync"

	"swiftcourse/internal/fake/tcpserver"
	"swiftcourse/internal/wire/roster"
)

// Response tells the fake how to respond to a load report.
type Response uint8

const (
	// KeepAlive acknowledges the report and keeps the connection open.
	KeepAlive Response = iota
	// CloseAfterReply acknowledges the report and closes the connection.
	CloseAfterReply
	// CloseWithoutReply closes the connection without an acknowledgement.
	CloseWithoutReply
)

// String returns the name of the response, as test names show it.
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

// maxReports is the capacity of the channel returned by Reports. Reports that arrive while it is
// full still update Accepting but are not sent on the channel.
const maxReports = 1000

// Server is a running fake registry. Its methods may be called from any goroutine.
type Server struct {
	listener net.Listener
	respond  func(n int) Response
	reports  chan roster.Report

	mu        sync.Mutex
	accepting map[string]bool // by server name, from its latest report
	received  int
}

// Start starts a registry that listens on a TCP address. It calls respond for each report; n is the
// number of the report, counted from 1. If respond is nil, the response is always KeepAlive.
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

// Close stops listening. Open connections are served until the server under test closes them.
func (s *Server) Close() { _ = s.listener.Close() }

// Reports returns a channel with the received reports, in order of arrival.
func (s *Server) Reports() <-chan roster.Report { return s.reports }

// Accepting reports whether the named server accepts requests, according to its latest report.
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

// record records a report and returns its number, counted from 1.
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
