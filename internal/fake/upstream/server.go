// Package upstream is a fake of the upstream service. The test decides for each call whether it is
// answered, after which delay, and whether the connection is closed instead.
package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/fake/tcpserver"
	"swiftcourse/internal/wire/catalogue"
)

const readBufferSize = 16 << 10

// Response tells the fake how to respond to a call.
type Response struct {
	Delay      time.Duration // time until the reply is sent
	Outcome    admission.Outcome
	Body       []byte
	Disconnect bool // close the connection instead of replying
	NoReply    bool // send no reply and keep the connection open
}

// Server is a running fake upstream service. Its methods may be called from any goroutine.
type Server struct {
	listener net.Listener
	respond  func(n int, call catalogue.Call) Response
	calls    atomic.Int64
}

// Start listens on a TCP address. For each call it runs respond in the connection's goroutine; n is
// the number of the call, counted from 1 over all connections.
func Start(address string, respond func(n int, call catalogue.Call) Response) (*Server, error) {
	s := &Server{respond: respond}
	listener, err := tcpserver.Start(address, s.serve)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Calls returns the number of calls received.
func (s *Server) Calls() int { return int(s.calls.Load()) }

// Close stops listening. Open connections are served until the client closes them.
func (s *Server) Close() { _ = s.listener.Close() }

// connection is a client connection. Delayed replies are written to it by timer goroutines.
type connection struct {
	net.Conn
	mu sync.Mutex // serializes writes
}

func (s *Server) serve(raw net.Conn) {
	conn := &connection{Conn: raw}
	var buffered []byte
	chunk := make([]byte, readBufferSize)
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return
		}
		buffered = append(buffered, chunk[:n]...)
		for {
			call, size, err := catalogue.ParseCall(buffered)
			if err != nil {
				return
			}
			if size == 0 {
				break
			}
			buffered = buffered[size:]
			if !s.handle(conn, call) {
				return
			}
		}
	}
}

// handle responds to a call and reports whether the connection stays open.
func (s *Server) handle(conn *connection, call catalogue.Call) bool {
	if call.Cancelled {
		return true // a delayed reply needs no stopping: clients discard replies to cancelled calls
	}
	response := s.respond(int(s.calls.Add(1)), call)
	if response.Disconnect {
		return false
	}
	if response.NoReply {
		return true
	}
	reply := catalogue.AppendReply(nil, call.ID, response.Outcome, response.Body)
	if response.Delay > 0 {
		time.AfterFunc(response.Delay, func() { conn.send(reply) })
	} else {
		conn.send(reply)
	}
	return true
}

// send writes a reply. A client that has closed the connection no longer needs it, so a write error
// is ignored.
func (c *connection) send(reply []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(reply)
}
