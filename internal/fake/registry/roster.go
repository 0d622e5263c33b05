// Package registry stands in for the roster: it takes reports, and hangs up or stays silent where it is told so.
package registry

import (
	"bufio"
	"io"
	"net"
	"sync"

	"swiftcourse/internal/wire/roster"
)

// Roster is a running stand-in.
type Roster struct {
	listener net.Listener
	answers  func(n int) Manner
	reports  chan roster.Report

	mu    sync.Mutex
	takes map[string]bool
	n     int
}

// Manner is how a report is answered.
type Manner uint8

const (
	Keep   Manner = iota // with the connection kept
	HangUp               // and the connection is closed
	Mute                 // the connection is closed without an answer
)

// maxReports bounds the reports that nobody took from Reports yet; further ones only count.
const maxReports = 1000

// Start listens on an address of loopback; answers tells how the nth report, from 1, is answered: nil keeps all
// connections.
func Start(addr string, answers func(n int) Manner) (*Roster, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Roster{listener: l, answers: answers, reports: make(chan roster.Report, maxReports), takes: map[string]bool{}}
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
func (r *Roster) Addr() string { return r.listener.Addr().String() }

// Close ends it.
func (r *Roster) Close() { _ = r.listener.Close() }

// Reports gives the reports as they come.
func (r *Roster) Reports() <-chan roster.Report { return r.reports }

// Takes tells what a server's last report said.
func (r *Roster) Takes(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.takes[name]
}

func (r *Roster) serve(c net.Conn) {
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
		r.takes[report.Name] = report.Takes
		r.mu.Unlock()
		select {
		case r.reports <- report:
		default:
		}
		manner := Keep
		if r.answers != nil {
			manner = r.answers(n)
		}
		if manner == Mute {
			return
		}
		if _, err := io.WriteString(c, roster.Taken); err != nil || manner == HangUp {
			return
		}
	}
}
