package fleetcmd

import (
	"fmt"
	"io"

	"swiftcourse/internal/cli"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/lease"
)

// statusCommand shows the servers of the fleet.
type statusCommand struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// Run requests the fleet's status from the server and prints it.
func (c *statusCommand) Run(s *session) error {
	status, err := fleet.FetchStatus(s.addr, "")
	if err != nil {
		return err
	}
	if c.JSON {
		err = writeIndentedJSON(s.out, status)
	} else {
		err = printStatus(s.out, status)
	}
	if err != nil {
		return err
	}
	return s.raiseAlarms(status)
}

// raiseAlarms prints the alarms of the audit and returns cli.ErrAlarm if there are any.
func (s *session) raiseAlarms(status *fleet.Status) error {
	if len(status.Audit.Alarms) == 0 {
		return nil
	}
	output := &report{out: s.alarms}
	for _, alarm := range status.Audit.Alarms {
		output.linef("ALARM: %s", alarm)
	}
	if output.err != nil {
		return fmt.Errorf("%w: %w", cli.ErrAlarm, output.err)
	}
	return cli.ErrAlarm
}

// printStatus prints the state of the responding server, the rollout in progress and all servers.
func printStatus(out io.Writer, status *fleet.Status) error {
	output := &report{out: out}
	output.linef("%s (incarnation %x): lease state %s, active epoch %s, newest epoch %s, leader %s",
		status.Name, status.Incarnation, status.LeaseState, status.ActiveEpoch, status.Audit.NewestEpoch, status.Leader)
	if next := status.ReleaseLog.Next; next != nil {
		output.linef("rolling out: %s by %s, wave %d of %d",
			next.Epoch, next.Author, status.ReleaseLog.WaveIndex+1, len(status.ReleaseLog.Waves))
	}
	t := output.newTable("server", "incarnation", "active", "assigned", "heard s ago", "build", "note")
	for i := range status.Servers {
		server := &status.Servers[i]
		t.rowf("%s\t%x\t%s\t%s\t%.1f\t%s\t%s", server.Name, server.Incarnation, server.ActiveEpoch,
			server.AssignedEpoch, server.SecondsSinceRequest, server.Build, serverNote(server))
	}
	t.end()
	return output.err
}

// serverNote returns the note on a server that is ejected, lags or has not reported yet, and "" for
// any other server.
func serverNote(server *lease.ServerStatus) string {
	switch {
	case server.EjectionReason != "":
		return "ejected: " + server.EjectionReason
	case server.LaggingSeconds > 0:
		return fmt.Sprintf("lagging for %.1f s %s", server.LaggingSeconds, server.BlockedBy)
	case !server.Reported:
		return "not heard"
	default:
		return ""
	}
}
