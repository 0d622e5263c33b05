// Package registry stands in for the roster: it takes reports, and hangs up or stays silent where it is told so.
package registry

import (
	"bufio"
	"io"
	"net"
	"sync"

	"swiftcourse/internal/wire/roster"
)

// Server is a running stand-in.
type Server struct {
	listener net.Listener
	answers  func(n int) Response
	reports  chan roster.Report

	mu    sync.Mutex
	takes map[string]bool
	n     int
}

// Response is how a report is answered.
type Response uint8

const (
	KeepAlive         Response = iota // with the connection kept
	CloseAfterReply                   // and the connection is closed
	CloseWithoutReply                 // the connection is closed without an answer
)

// maxReports bounds the reports that nobody took from Reports yet; further ones only count.
const maxReports = 1000

// Start listens on an address of loopback; answers tells how the nth report, from 1, is answered: nil keeps all
// connections.
func Start(addr string, answers func(n int) Response) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Server{listener: l, answers: answers, reports: make(chan roster.Report, maxReports), takes: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// Addr is where it listens.
func (r *Server) Addr() string { return r.listener.Addr().String() }

// Close ends it.
func (r *Server) Close() { _ = r.listener.Close() }

// Reports gives the reports as they come.
func (r *Server) Reports() <-chan roster.Report { return r.reports }

// Accepting tells what a server's last report said.
func (r *Server) Accepting(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.takes[name]
}

func (r *Server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		report, err := roster.ReadReport(in)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.n++
		n := r.n
		r.takes[report.Name] = report.Accepting
		r.mu.Unlock()
		select {
		case r.reports <- report:
		default:
		}
		manner := KeepAlive
		if r.answers != nil {
			manner = r.answers(n)
		}
		if manner == CloseWithoutReply {
			return
		}
		if _, err := io.WriteString(c, roster.ReportAccepted); err != nil || manner == CloseAfterReply {
			return
		}
	}
}
