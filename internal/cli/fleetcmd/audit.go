package fleetcmd

import (
	"io"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/audit"
)

// auditCommand shows which versions each server acted on, and when.
type auditCommand struct {
	Since string `help:"Omit versions before this epoch."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

// Run requests the audit from the server and prints it.
func (c *auditCommand) Run(s *session) error {
	status, err := fleet.FetchStatus(s.addr, c.Since)
	if err != nil {
		return err
	}
	if c.JSON {
		err = writeIndentedJSON(s.out, status)
	} else {
		err = printAudit(s.out, &status.Audit)
	}
	if err != nil {
		return err
	}
	return s.raiseAlarms(status)
}

// printAudit prints the intervals in which each server acted on a version, the servers that lag
// behind their assigned version, and the gaps, for which the audit has no evidence.
func printAudit(out io.Writer, result *audit.Report) error {
	output := &report{out: out}
	t := output.newTable("server", "incarnation", "epoch", "digest",
		"from (own clock)", "to", "batches", "requests", "reason")
	for _, account := range result.Accounts {
		for _, interval := range account.Intervals {
			t.rowf("%s\t%x\t%s\t%.12s\t%s\t%s\t%d\t%d\t%s",
				account.Name, account.Incarnation, interval.Epoch, interval.Digest,
				formatTime(interval.From), formatTime(interval.To),
				interval.Batches, interval.Requests, interval.Reason)
		}
	}
	t.end()
	for _, server := range result.Lagging {
		output.linef("lagging: %s (incarnation %x) on %s, assigned %s, for %.1f s: %s", server.Name, server.Incarnation,
			server.ActiveEpoch, server.AssignedEpoch, max(server.LagSeconds, server.SilentSeconds), server.Reason)
	}
	for _, gap := range result.Gaps {
		output.linef("gap: %s (incarnation %x) from %s to %s: %s",
			gap.Name, gap.Incarnation, formatTime(gap.From), formatTime(gap.To), gap.Reason)
	}
	return output.err
}
