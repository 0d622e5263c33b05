package fleetcmd

import (
	"io"

	"swiftcourse/internal/fleet"
)

// quotasCommand shows the quotas of the fleet.
type quotasCommand struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// Run requests the quotas from the server and prints them.
func (c *quotasCommand) Run(s *session) error {
	status, err := fleet.FetchQuotas(s.addr)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(s.out, status)
	}
	return printQuotas(s.out, status)
}

// printQuotas prints the shares that the server holds and, at the leader, those that it has granted.
func printQuotas(out io.Writer, status *fleet.QuotaStatus) error {
	output := &report{out: out}
	t := output.newTable("held here", "floor", "leased", "for s")
	for _, held := range status.Held {
		t.rowf("%s\t%.2f\t%.2f\t%.1f", held.Name, held.Floor, held.LeasedShare, held.LeaseExpiry-status.Now)
	}
	if status.IsLeader {
		t.rowf("granted by this server\tquota\tleased\tpool\tdemand\tservers\tnote")
		for _, granted := range status.Granted {
			note := ""
			if !granted.PriorLeasesExpired {
				note = "leases of the leader before may not have expired: no share grows"
			}
			t.rowf("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%s", granted.Name, granted.Max, granted.Leased, granted.Pool,
				granted.Wanted, granted.Servers, note)
		}
	}
	t.end()
	if !status.IsLeader {
		output.linef("all grants are known to the leader, %s", status.Leader)
	}
	return output.err
}
