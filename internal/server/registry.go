package server

import (
	"fmt"
	"log/slog"
	"net/http"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/wire/roster"
)

const (
	// reportIntervalSeconds is the interval of reports; a registry entry expires after three
	// intervals. A change of health makes the next report due at once. If a report is still
	// unanswered when the next one is due, it may have been lost, and the next one goes over a new
	// link.
	reportIntervalSeconds = 1
	// reportToleranceSeconds is how long before the end of the interval a report may be sent.
	reportToleranceSeconds = 0.05
)

// registryLink reports the server's health to the registry, one report at a time.
type registryLink struct {
	dialedConn
	server           *Server
	awaitingReply    bool    // the last report has not been answered
	reportedHealthy  bool    // the health in the last report
	reportedAt       float64 // when the last report was sent
	reportsScheduled bool    // periodic reports are scheduled
	failedLinks      int     // consecutive links on which no report was answered
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
		r.reportedAt = 0 // the report may be lost: send it again on the next link
	}
	r.server.dial(dialTarget{addressOf: registryAddress, handler: r, failures: r.failedLinks})
	r.failedLinks++
}

// reconnect replaces the link; err is the reason for the log.
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
		return // the server must not be listed before the executor is up
	}
	if !r.reportsScheduled {
		r.reportsScheduled = true
		server.scheduleEvery(reportIntervalSeconds, r.report)
	}
	healthy := server.isHealthy()
	due := now > r.reportedAt+reportIntervalSeconds-reportToleranceSeconds
	switch {
	case r.conn == nil:
		return
	case r.reportedHealthy == healthy && !due:
		return
	case r.awaitingReply: // the reply may never arrive, and a change of health must not wait for it
		r.reconnect(fmt.Errorf("%w, sent %.3f s ago", errReportUnanswered, now-r.reportedAt))
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
