package server

import (
	"errors"
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/wire/roster"
)

// registryLink reports to the roster, one report at a time.
type registryLink struct {
	dialedConn
	server          *Server
	awaitingReply   bool    // for the answer to a report
	reportedHealthy bool    // what the last report said
	reportedAt      float64 // when it was sent
	ticking         bool
	failedLinks     int // links in a row on which no report was answered
}

// reportInterval is in seconds; an entry lapses after three. A report that has no answer when the next is due may
// be lost, or counted all the same: the next goes over a new link, at once where health changed.
const reportInterval = 1

var errReportUnanswered = errors.New("the last report was not answered")

func (r *registryLink) handleOpen(c gnet.Conn, to string) error {
	r.attach(c, to)
	r.awaitingReply = false
	slog.Info("link_open", "link", "roster")
	r.report()
	return nil
}

func (r *registryLink) handleClose(err error) {
	slog.Info("link_lost", "link", "roster", "err", &attemptError{sent, err})
	r.release(&r.server.buffers)
	if r.awaitingReply {
		r.reportedAt = 0 // that report may be lost: it is sent again on the next link
	}
	r.server.dial(registryAddress, r, r.failedLinks)
	r.failedLinks++
}

// reconnect has the reports go over a new link.
func (r *registryLink) reconnect(err error) {
	_ = r.conn.Close()
	r.failedLinks = 0
	r.handleClose(err)
}

// report sends a report where one is due: when health changed, and every so often.
func (r *registryLink) report() {
	s := r.server
	now := s.now()
	if s.controller == nil {
		return // listed only once the processor is up
	}
	if !r.ticking {
		r.ticking = true
		r.scheduleReport()
	}
	due := now > r.reportedAt+reportInterval-0.05
	switch {
	case r.conn == nil || r.reportedHealthy == s.isHealthy() && !due:
		return
	case r.awaitingReply: // an answer may never come, and what was told of health may not wait for it
		r.reconnect(errReportUnanswered)
		return
	}
	r.awaitingReply, r.reportedHealthy, r.reportedAt = true, s.isHealthy(), now
	s.scratch = roster.PutReport(s.scratch[:0], r.address, s.startup.Name, r.reportedHealthy)
	s.write(&r.bufferedConn, s.scratch)
}

func (r *registryLink) scheduleReport() {
	s := r.server
	s.timers.Schedule(s.now()+reportInterval, func() {
		r.report()
		r.scheduleReport()
	})
}

func (r *registryLink) handleData(b []byte) (n int, err error) {
	for n < len(b) {
		a, size, err := roster.Next(b[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		r.awaitingReply, r.failedLinks = false, 0
		if a.Status != 204 {
			slog.Info("roster_says", "status", a.Status)
		}
		if a.Close {
			_ = r.conn.Close()
			return n, nil
		}
		r.report()
	}
	return n, nil
}
