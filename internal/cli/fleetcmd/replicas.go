package fleetcmd

import (
	"errors"
	"io"
	"maps"
	"slices"

	"swiftcourse/internal/cli"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
)

// ErrNoReplicas is returned if no server of the fleet stores or claims replicated state.
var ErrNoReplicas = errors.New("no server keeps replicas: replica-holders names none")

// replicasCommand shows the replicas of all servers.
type replicasCommand struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// replicaReport is the JSON output of the diff command.
type replicaReport struct {
	Alarm   bool                           `json:"alarm"`
	Faults  []string                       `json:"faults"`
	Servers map[string]*replication.Status `json:"servers"`
}

// Run requests the status of all replicas from the server, compares them and prints them.
func (c *replicasCommand) Run(s *session) error {
	status, err := fleet.FetchStatus(s.addr, "")
	if err != nil {
		return err
	}
	if len(status.Replicas) == 0 {
		return ErrNoReplicas
	}
	result := &replicaReport{Servers: status.Replicas}
	result.Faults, result.Alarm = replication.Faults(status.Replicas)
	if c.JSON {
		err = writeJSON(s.out, result)
	} else {
		err = printReplicas(s.out, result)
	}
	if err == nil && result.Alarm {
		err = cli.ErrAlarm
	}
	return err
}

// printReplicas prints the state of each server's replica, then the faults.
func printReplicas(out io.Writer, result *replicaReport) error {
	output := &report{out: out}
	t := output.newTable("server", "replica", "catching up", "out of sync",
		"caught up by peers", "by timeout", "repaired",
		"records", "KB", "dropped", "claims", "replicated", "unreplicated")
	for _, name := range slices.Sorted(maps.Keys(result.Servers)) {
		replica := result.Servers[name]
		t.rowf("%s\t%t\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", name, replica.IsReplica,
			replica.CatchingUp, replica.OutOfSync,
			replica.CaughtUpByPeers, replica.CaughtUpByTimeout, replica.RepairedRecords,
			replica.Records, replica.Bytes>>10, replica.DroppedResults,
			replica.ActiveClaims, replica.ReplicatedResults, replica.UnreplicatedResults)
	}
	t.end()
	for _, fault := range result.Faults {
		output.linef("%s", fault)
	}
	return output.err
}
