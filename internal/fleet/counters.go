package fleet

import (
	"math"
	"strconv"

	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// leaderAuthor is the author of commands that the leader issues itself.
const leaderAuthor = "leader"

// counterManager reports the serving loop's counts to the aggregators, and is an aggregator itself if
// the process is a voter: the voters are the aggregators. The leader closes the rows of servers that
// have left, which adds their counts to the totals in the release log.
type counterManager struct {
	agent                    *Agent
	reporter                 *counter.Reporter
	aggregator               *counter.Aggregator // nil if this process does not vote
	closedRows               map[uint64]uint64   // sequence at which a row was closed, by row ID
	indexedAppliedCount      uint64              // AppliedCount of the release log from which closedRows was built
	incompleteRecoveryLogged bool
}

// newCounterManager starts a row for this incarnation. Each incarnation has its own row.
func newCounterManager(a *Agent, now float64) *counterManager {
	c := &counterManager{
		agent:               a,
		reporter:            counter.NewReporter(a.config.Name, a.incarnation, a.voterNames, now),
		closedRows:          map[uint64]uint64{},
		indexedAppliedCount: math.MaxUint64, // closedRows has not been built yet
	}
	a.registerHandler(c.handleAck, wire.KindCounterAck)
	if a.voter != nil {
		// The start time, made unique with the highest 16 bits of the process's incarnation.
		incarnation := a.unixMilli()<<16 | a.incarnation>>48
		c.aggregator = counter.NewAggregator(a.config.Name, a.voterNames, incarnation, c.closedRow, now)
		a.registerHandler(c.handleReport, wire.KindCounterReport)
		a.registerHandler(c.handleSyncRequest, wire.KindCounterSyncRequest)
		a.registerHandler(c.handleSyncReply, wire.KindCounterSyncReply)
	}
	return c
}

// closedRow returns the sequence at which a row was closed, and whether it was closed.
func (c *counterManager) closedRow(rowID uint64) (sequence uint64, closed bool) {
	if log := c.agent.releases.log; c.indexedAppliedCount != log.AppliedCount {
		c.indexedAppliedCount = log.AppliedCount
		clear(c.closedRows)
		for _, row := range log.ClosedRows {
			c.closedRows[row.ID] = row.Sequence
		}
	}
	sequence, closed = c.closedRows[rowID]
	return sequence, closed
}

// ObserveCounts adds the serving loop's counts. It has no effect if counters are disabled.
func (a *Agent) ObserveCounts(cells []serving.CounterCell) {
	if a.counters != nil {
		a.counters.reporter.Add(cells)
	}
}

func (c *counterManager) nextWakeup(float64) float64 {
	next := c.reporter.NextWakeup()
	if c.aggregator != nil {
		next = min(next, c.aggregator.NextWakeup())
	}
	return next
}

func (c *counterManager) tick(now float64) {
	if c.reporter.NextWakeup() <= now {
		c.deliver(now, c.reporter.DueReports(now))
	}
	if c.aggregator != nil && c.aggregator.NextWakeup() <= now {
		c.maintainAggregator(now)
	}
}

// maintainAggregator synchronizes the aggregator with the other aggregators, and closes the rows of
// servers that have left.
func (c *counterManager) maintainAggregator(now float64) {
	leads := c.agent.lease.grantor != nil && c.agent.isConfirmedLeader(now)
	isGone := func(name string, incarnation uint64) bool {
		return c.agent.releases.log.Members[name] != incarnation
	}
	queries, closableRows := c.aggregator.Maintain(now, leads, isGone)
	c.deliver(now, queries)
	c.closeRows(closableRows)
	if incomplete := c.aggregator.IncompleteRecoveries(); incomplete > 0 && !c.incompleteRecoveryLogged {
		c.incompleteRecoveryLogged = true
		c.agent.logger.Info("counter_recovery_incomplete",
			"incomplete_recoveries", incomplete,
			"reason", "too few aggregators that knew all rows were there when this one started")
	}
}

// deliver sends messages to their aggregators, one of which may run in this process.
func (c *counterManager) deliver(now float64, outbox []counter.Envelope) {
	for _, outgoing := range outbox {
		message := &wire.Envelope{CounterReport: outgoing.Report, CounterSyncRequest: outgoing.Query}
		c.agent.sendToVoter(now, outgoing.To, message)
	}
}

// closeRows proposes a command that adds rows to the totals. If the command is lost, the aggregator
// returns the rows again.
func (c *counterManager) closeRows(reports []counter.RowReport) {
	if len(reports) == 0 || c.agent.lease.grantor == nil {
		return
	}
	command := release.Command{Kind: release.KindCloseCounters, Author: leaderAuthor}
	for _, report := range reports {
		row := release.CounterRow{ID: report.RowID, Sequence: report.Sequence, Cells: report.Cells}
		command.CounterRows = append(command.CounterRows, row)
	}
	c.agent.propose([]release.Command{command})
}

func (c *counterManager) handleAck(now float64, message *wire.Envelope) {
	c.reporter.HandleAck(now, message.From, message.CounterAck)
}

func (c *counterManager) handleReport(now float64, message *wire.Envelope) {
	ack := c.aggregator.HandleReport(now, message.CounterReport)
	c.agent.routeReply(now, message, &wire.Envelope{CounterAck: &ack})
}

func (c *counterManager) handleSyncRequest(now float64, message *wire.Envelope) {
	reply := c.aggregator.HandleQuery(now, message.CounterSyncRequest)
	c.agent.routeReply(now, message, &wire.Envelope{CounterSyncReply: reply})
}

func (c *counterManager) handleSyncReply(now float64, message *wire.Envelope) {
	c.closeRows(c.aggregator.HandleQueryReply(now, message.From, message.CounterSyncReply))
}

// CounterStatus is the state of the fleet's counters as known to one process.
type CounterStatus struct {
	Name         string                `json:"Name"`
	Aggregators  []string              `json:"Keepers"`  // names of the aggregators
	Incarnation  string                `json:"Life"`     // of this process, in hexadecimal
	CurrentRow   []serving.CounterCell `json:"Here"`     // counts of this process's current row
	Acknowledged bool                  `json:"Agreed"`   // a majority of the aggregators has acknowledged Unreported
	Unaccounted  uint64                `json:"Unplaced"` // requests that may be missing from the totals
	Totals       *counter.Summary      `json:"Known"`    // nil if this process is not an aggregator
}

// CounterStatus returns the fleet's counters as known to this process, nil if counters are disabled.
func (a *Agent) CounterStatus(now float64) *CounterStatus {
	c := a.counters
	if c == nil {
		return nil
	}
	status := &CounterStatus{
		Name:        a.config.Name,
		Aggregators: a.voterNames,
		Incarnation: strconv.FormatUint(a.incarnation, 16),
		Unaccounted: c.reporter.UnaccountedRequests,
	}
	status.CurrentRow, status.Acknowledged = c.reporter.CurrentRow()
	if c.aggregator != nil {
		status.Totals = c.aggregator.Summary(now, a.releases.log.ClosedTotals)
	}
	return status
}
