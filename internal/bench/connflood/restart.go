package connflood

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
)

// RestartRow counts the attempts of trusted clients at a server that has restarted, during a flood.
// If the setting replica-callers is on, the server has learned the trusted clients from its fleet.
type RestartRow struct {
	ReplicaCallers string `json:"replica_callers"`
	Trusted        int    `json:"known"`
	Attempts       int    `json:"known_tries"`
	Failed         int    `json:"known_failed"` // attempts without an answer in time, or not answered with finished
	Untrusted      int    `json:"strangers"`
}

// RestartColumns are the column heads for RestartRow.Cells.
var RestartColumns = []string{"replica-callers", "known", "tries", "failed", "strangers"}

// Cells returns the row's table cells, in the order of RestartColumns.
func (r RestartRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %d %d",
		r.ReplicaCallers, r.Trusted, r.Attempts, r.Failed, r.Untrusted))
}

const (
	fleetSize       = 3
	restartedServer = "n1"
	// trustSpreadPeriod is how long the clients are served after they have earned trust, so that
	// their trust records reach the other servers.
	trustSpreadPeriod = 7 * time.Second
	// trustTimeout bounds the time in which the restarted server has to learn the trusted clients
	// from its fleet.
	trustTimeout = time.Second
)

// RunRestart measures a restart of one server of a fleet, with the setting replica-callers off and
// then on.
func RunRestart(ctx context.Context, p *Plan) ([]RestartRow, error) {
	var rows []RestartRow
	for _, replicaCallers := range []toggle{toggleOff, toggleOn} {
		row, err := p.measureRestart(ctx, replicaCallers)
		if err != nil {
			return rows, fmt.Errorf("experiment with replica-callers %s: %w", replicaCallers, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (p *Plan) measureRestart(ctx context.Context, replicaCallers toggle) (RestartRow, error) {
	row := RestartRow{ReplicaCallers: string(replicaCallers), Trusted: p.Trusted}
	fleet, err := p.startFleet(ctx, replicaCallers)
	if err != nil {
		return row, err
	}
	defer fleet.Close()
	address := fleet.Server(restartedServer).Addr
	fmt.Fprintf(p.Progress, "replica-callers %s: %d clients send requests to earn trust\n", replicaCallers, p.Trusted)
	clients, err := p.earnTrust(ctx, address, trustPeriod+trustSpreadPeriod)
	if err != nil {
		return row, err
	}
	for _, c := range clients {
		c.close()
	}
	if err := fleet.KillAndRestart(ctx, restartedServer); err != nil {
		return row, err
	}
	trusted := func() bool { return len(fleet.Events(restartedServer, "fleet_trusted_clients")) > 0 }
	if replicaCallers == toggleOn && !faultinjection.WaitUntil(trustTimeout, trusted) {
		return row, fmt.Errorf("%s logged no fleet_trusted_clients event within %s of its restart",
			restartedServer, trustTimeout)
	}
	fmt.Fprintf(p.Progress, "replica-callers %s: %s has restarted; flood of %g untrusted clients per second for %g s\n",
		replicaCallers, restartedServer, p.UntrustedRate, p.Seconds)
	flood := newFlood(address, p.duration())
	var wait sync.WaitGroup
	wait.Go(func() { flood.run(ctx, p.UntrustedRate) })
	time.Sleep(floodLeadTime)
	attempts := reconnect(ctx, clients, flood.end, &wait)
	row.Attempts = attempts.total
	row.Failed = attempts.failed
	row.Untrusted = int(flood.startedClients.Load())
	return row, nil
}

func (p *Plan) startFleet(ctx context.Context, replicaCallers toggle) (*faultinjection.Fleet, error) {
	processConfig := faultinjection.SmallProcessConfig(p.Program)
	processConfig.Descriptors = p.Descriptors
	processConfig.Log = p.Log
	return faultinjection.Start(ctx, faultinjection.Config{
		ProcessConfig: processConfig,
		Servers:       fleetSize,
		Voters:        fleetSize,
		ExtraSettings: "door on\nfleet-lease 2s\nreplica-callers " + string(replicaCallers) + "\n",
	})
}
