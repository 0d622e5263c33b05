package connflood

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
)

// RestartRow is how trusted clients fared at a server that restarted in a flood, with and without the trust records
// of its fleet.
type RestartRow struct {
	ReplicaCallers string `json:"replica_callers"`
	Trusted        int    `json:"known"`
	Attempts       int    `json:"known_tries"`
	Failed         int    `json:"known_failed"` // no answer within the timeout, or one other than finished
	Untrusted      int    `json:"strangers"`
}

// RestartColumns are the names of the columns of RestartRow.Cells.
var RestartColumns = []string{"replica-callers", "known", "tries", "failed", "strangers"}

// Cells returns the row's cells in the table.
func (r RestartRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %d %d",
		r.ReplicaCallers, r.Trusted, r.Attempts, r.Failed, r.Untrusted))
}

const (
	fleetSize   = 3
	restartName = "n1"
	// trustSpread is how long the clients are served after they have earned trust: by then the other servers have
	// been told of them.
	trustSpread = 7 * time.Second
	// trustTimeout is how long the restarted server may take to learn the trusted clients from its fleet.
	trustTimeout = time.Second
)

// RunRestart measures a restart of one server of a fleet, with the setting replica-callers off and on.
func RunRestart(ctx context.Context, p *Plan) ([]RestartRow, error) {
	var rows []RestartRow
	for _, replicaCallers := range []toggle{toggleOff, toggleOn} {
		row, err := p.measureRestart(ctx, replicaCallers)
		if err != nil {
			return rows, fmt.Errorf("with replica-callers %s: %w", replicaCallers, err)
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
	address := fleet.Server(restartName).Addr
	fmt.Fprintf(p.Progress, "replica-callers %s: %d clients earn trust\n", replicaCallers, p.Trusted)
	clients, err := p.earnTrust(ctx, address, trustPeriod+trustSpread)
	if err != nil {
		return row, err
	}
	for _, c := range clients {
		c.close()
	}
	if err := fleet.KillAndRestart(ctx, restartName); err != nil {
		return row, err
	}
	trusted := func() bool { return len(fleet.Events(restartName, "fleet_trusted_clients")) > 0 }
	if replicaCallers == toggleOn && !faultinjection.WaitUntil(trustTimeout, trusted) {
		return row, fmt.Errorf("%s learned no trusted clients within %s", restartName, trustTimeout)
	}
	fmt.Fprintf(p.Progress, "replica-callers %s: %s has restarted; %g untrusted clients a second for %g s\n",
		replicaCallers, restartName, p.UntrustedRate, p.Seconds)
	flood := newFlood(address, p.duration())
	var wait sync.WaitGroup
	wait.Go(func() { flood.run(ctx, p.UntrustedRate) })
	time.Sleep(floodLead)
	attempts := reconnect(ctx, clients, flood.end, &wait)
	row.Attempts = attempts.total
	row.Failed = attempts.failed
	row.Untrusted = int(flood.arrived.Load())
	return row, nil
}

func (p *Plan) startFleet(ctx context.Context, replicaCallers toggle) (*faultinjection.Fleet, error) {
	shape := faultinjection.SmallShape(p.Program)
	shape.Descriptors = p.Descriptors
	shape.Log = p.Log
	return faultinjection.Start(ctx, faultinjection.Config{
		Shape:         shape,
		Servers:       fleetSize,
		Voters:        fleetSize,
		ExtraSettings: "door on\nfleet-lease 2s\nreplica-callers " + string(replicaCallers) + "\n",
	})
}
