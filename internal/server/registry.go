package server

import (
	"log/slog"
	"net/http"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/wire/roster"
)

const (
	// reportInterval is the interval of reports, in seconds; a registry entry lapses after three. A
	// report without a reply by the next one may be lost or not: the next goes over a new link, at
	// once if health changed.
	reportInterval = 1
	// reportTolerance is how much earlier, in seconds, than its interval a report may be sent.
	reportTolerance = 0.05
)

// registryLink reports the server's health to the registry, one report at a time.
type registryLink struct {
	dialedConn
	server          *Server
	awaitingReply   bool    // to a report
	reportedHealthy bool    // what the last report said
	reportedAt      float64 // when it was sent
	ticking         bool    // reports are due again and again
	failedLinks     int     // in a row on which no report was answered
}

func (r *registryLink) handleOpen(conn gnet.Conn, address string) error {
	r.attach(conn, address)
	r.awaitingReply = false
	slog.Info("link_opened", "link", "registry")
	r.report()
	return nil
}

func (r *registryLink) handleClose(err error) {
	slog.Info("link_lost", "link", "registry", "err", &attemptError{sent, err})
	r.release(&r.server.output.buffers)
	if r.awaitingReply {
		r.reportedAt = 0 // the report may be lost: it is repeated on the next link
	}
	r.server.dial(dialTarget{addressOf: registryAddress, handler: r, failures: r.failedLinks})
	r.failedLinks++
}

// reconnect has the reports go over a new link.
func (r *registryLink) reconnect(err error) {
	_ = r.conn.Close()
	r.failedLinks = 0
	r.handleClose(err)
}

// report sends a report if one is due: when health changed, and at each interval.
func (r *registryLink) report() {
	server := r.server
	now := server.now()
	if server.decisions.controller == nil {
		return // listed only once the executor is up
	}
	if !r.ticking {
		r.ticking = true
		server.every(reportInterval, r.report)
	}
	healthy := server.isHealthy()
	due := now > r.reportedAt+reportInterval-reportTolerance
	switch {
	case r.conn == nil:
		return
	case r.reportedHealthy == healthy && !due:
		return
	case r.awaitingReply: // the reply may never come, and a change of health must not wait for it
		r.reconnect(errReportUnanswered)
		return
	}
	r.awaitingReply = true
	r.reportedHealthy = healthy
	r.reportedAt = now
	server.output.scratch = roster.AppendReport(server.output.scratch[:0], r.address, server.startup.Name, healthy)
	server.write(&r.bufferedConn, server.output.scratch)
}

func (r *registryLink) handleData(data []byte) (n int, err error) {
	for n < len(data) {
		answer, size, err := roster.ParseResponse(data[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		r.awaitingReply = false
		r.failedLinks = 0
		if answer.Status != http.StatusNoContent {
			slog.Info("registry_status", "status", answer.Status)
		}
		if answer.Close {
			_ = r.conn.Close()
			return n, nil
		}
		r.report()
	}
	return n, nil
}
