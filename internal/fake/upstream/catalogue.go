// Package upstream stands in for the proxy to the tier below: it answers calls, late or never or not in order where
// it is told so, as its page describes it.
package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/catalogue"
)

// Response is what becomes of a call.
type Response struct {
	Delay      time.Duration
	Outcome    admission.Outcome
	Body       []byte
	Disconnect bool // the connection breaks instead
	NoReply    bool // no answer ever comes
}

// Server is a running stand-in.
type Server struct {
	listener net.Listener
	respond  func(n int, c catalogue.Call) Response
	calls    atomic.Int64
}

// Start listens on an address of loopback; fate tells what becomes of the nth call, from 1.
func Start(addr string, fate func(n int, c catalogue.Call) Response) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Server{listener: l, respond: fate}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

// Addr is where it listens.
func (k *Server) Addr() string { return k.listener.Addr().String() }

// Calls counts the calls that came.
func (k *Server) Calls() int { return int(k.calls.Load()) }

// Close ends it. Connections that stand go on until the other side closes them.
func (k *Server) Close() { _ = k.listener.Close() }

func (k *Server) serve(c net.Conn) {
	defer c.Close()
	var mu sync.Mutex
	var b []byte
	piece := make([]byte, 16<<10)
	for {
		n, err := c.Read(piece)
		if err != nil {
			return
		}
		b = append(b, piece[:n]...)
		for {
			call, size, err := catalogue.ParseCall(b)
			if err != nil {
				return
			}
			if size == 0 {
				break
			}
			b = b[size:]
			if call.Cancelled {
				continue // an answer that is on its way goes unheard, as by the page it may
			}
			f := k.respond(int(k.calls.Add(1)), call)
			if f.Disconnect {
				return
			}
			if f.NoReply {
				continue
			}
			reply := catalogue.AppendReply(nil, call.ID, f.Outcome, f.Body)
			answer := func() {
				mu.Lock()
				defer mu.Unlock()
				_, _ = c.Write(reply) // who is gone needs none
			}
			if f.Delay > 0 {
				time.AfterFunc(f.Delay, answer)
			} else {
				answer()
			}
		}
	}
}
