package server

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/metrics"

	"swiftcourse/internal/lifecycle"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
)

const (
	// statisticsIntervalSeconds is how often statistics are logged: rarely enough for people to
	// read them.
	statisticsIntervalSeconds = 10
	// peerFaultLogIntervalSeconds is the least time between two log lines about faults of
	// peers.
	peerFaultLogIntervalSeconds = 1
)

// statistics holds the counts and measurements since they were last logged.
type statistics struct {
	requestStatistics
	connStatistics
	loopStatistics
	peerFaultLoggedAt float64 // when a peer's fault was last logged; not reset with the statistics
}

// requestStatistics counts requests and calls.
type requestStatistics struct {
	received             int
	finished             int
	rejected             int
	failed               int
	goneBeforeStart      int // requests whose client was found to be gone when they were to start
	clientGone           int
	invalid              int
	calls                int
	commandsRejected     int // commands that the executor did not carry out
	rejectedAtLimit      int // requests rejected by the connection limiter
	rejectedOutOfService int // requests rejected because the server was out of service
	claimsFailed         int // requests rejected or failed because the fleet did not grant their keys
	quotaExpired         int // times that leases of quotas expired without being renewed
}

// countAnswer counts a request's final answer.
func (r *requestStatistics) countAnswer(kind answerKind) {
	switch kind {
	case answerFinished:
		r.finished++
	case answerFailed:
		r.failed++
	default:
		r.rejected++
	}
}

// connStatistics counts connections.
type connStatistics struct {
	memoryRefusals int // requests rejected, and connections muted, because clients may not hold more memory
	malformed      int // muted or closed after a protocol error
	evicted        int // closed to make room for other connections
	silent         int // closed because they sent nothing in time
	askedToClose   int
}

// loopStatistics measures the loop. Times are in seconds.
type loopStatistics struct {
	turns               int
	longestTurn         float64
	unreadSeconds       float64 // total time that requests waited between their arrival and the decision
	longestUnread       float64 // the longest of these times
	oldestGauges        float64 // greatest age of the gauges in a timer event
	timersWithoutGauges int
}

// allowPeerFaultLog reports whether a fault of a peer may be logged now, and if so records the time.
// At most one line per peerFaultLogIntervalSeconds is allowed; the statistics count all faults.
func (s *Server) allowPeerFaultLog() bool {
	now := s.now()
	if now < s.statistics.peerFaultLoggedAt+peerFaultLogIntervalSeconds {
		return false
	}
	s.statistics.peerFaultLoggedAt = now
	return true
}

// LogStatistics runs a garbage collection and logs the statistics, so that the heap size covers live
// memory only. Any goroutine but the loop's may call it; it waits until the loop has started.
func (s *Server) LogStatistics() {
	runtime.GC()
	s.loop.waitAndExecute(context.Background(), s.logStatistics)
}

// logStatistics logs the statistics and resets them.
func (s *Server) logStatistics() {
	stats := &s.statistics
	limit := s.maxClients()
	resident, _ := lifecycle.ResidentMemory()
	slog.Info("statistics",
		"received", stats.received,
		"finished", stats.finished,
		"rejected", stats.rejected,
		"failed", stats.failed,
		"client_gone", stats.clientGone,
		"gone_before_start", stats.goneBeforeStart,
		"invalid", stats.invalid,
		"malformed", stats.malformed,
		"commands_rejected", stats.commandsRejected,
		"calls", stats.calls,
		"turns", stats.turns,
		"turn_ms", milliseconds(stats.longestTurn, 2),
		"mean_unread_ms", milliseconds(stats.unreadSeconds/max(1, float64(stats.received)), 1),
		"max_unread_ms", milliseconds(stats.longestUnread, 1),
		"open", s.requests.Unanswered(),
		"requests", s.requests.Len(),
		"cached", s.results.Len(),
		"started_ids", s.startedIDs.Len(),
		"cached_kb", s.results.EntryBytes()/1024,
		"conns", s.clients.conns.Len(),
		"untrusted", s.clients.limiter.Count(connlimit.StateNew),
		"closing", s.clients.limiter.Count(connlimit.StateAskedToClose),
		"max_conns", limit.conns,
		"max_conns_by", string(limit.bound),
		"upstream_conns", len(s.upstream.all),
		"asked_to_close", stats.askedToClose,
		"evicted", stats.evicted,
		"silent", stats.silent,
		"gauge_age_ms", milliseconds(stats.oldestGauges, 1),
		"timers_without_gauges", stats.timersWithoutGauges,
		"timers", s.loop.timers.Len(),
		"buffers", s.output.buffers.InUse,
		"client_kb", s.clients.memory.Used()/1024,
		"client_kb_max", s.clients.memory.Limit()/1024,
		"memory_refusals", stats.memoryRefusals,
		"memory_kb", resident/1024,
		"heap_kb", liveHeapKB(),
		"healthy", s.isHealthy(),
		"load", s.health.loadReport.LoadReport)
	if s.clients.limiter.HasRules() {
		s.logConnStatistics()
	}
	s.logServingStatistics()
	s.statistics = statistics{peerFaultLoggedAt: stats.peerFaultLoggedAt}
}

// logServingStatistics logs the effects of the fleet's directive.
func (s *Server) logServingStatistics() {
	directive := s.fleet.directive.Load()
	if directive == nil {
		return
	}
	stats := &s.statistics
	slog.Info("serving_statistics",
		"mode", s.fleet.mode,
		"reason", directive.Reason,
		"rejected_out_of_service", stats.rejectedOutOfService,
		"claims_failed", stats.claimsFailed,
		"quota_expired", stats.quotaExpired)
}

func milliseconds(seconds float64, digits int) string {
	return logging.FormatDecimal(1000*seconds, digits)
}

// liveHeapKB returns the memory in KiB that was live at the last garbage collection.
func liveHeapKB() uint64 {
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64() / 1024
}
