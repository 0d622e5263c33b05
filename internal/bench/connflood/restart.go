package connflood

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
)

// RestartRow is how known clients fared at a server that came back cold among strangers, with its fleet's word on them and without.
type RestartRow struct {
	ReplicaCallers string `json:"replica_callers"`
	Trusted        int    `json:"known"`
	Attempts       int    `json:"known_tries"`
	Failed         int    `json:"known_failed"` // no answer within a second, or another than finished
	Untrusted      int    `json:"strangers"`
}

// RestartColumns and Cells are those of the table.
var RestartColumns = []string{"replica-callers", "known", "tries", "failed", "strangers"}

// Cells are a row's in the table.
func (r RestartRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %d %d", r.ReplicaCallers, r.Trusted, r.Attempts, r.Failed, r.Untrusted))
}

// toldFor is how long the clients go on doing tasks after they have earned being known: by then others were told of them.
const toldFor = 7 * time.Second

// RunRestart measures a restart of one server of three, with replica-callers off and on.
func RunRestart(ctx context.Context, p *Plan) (rows []RestartRow, err error) {
	for _, told := range []string{"off", "on"} {
		row, err := p.restart(ctx, told)
		if err != nil {
			return rows, fmt.Errorf("with replica-callers %s: %w", told, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (p *Plan) restart(ctx context.Context, told string) (row RestartRow, err error) {
	shape := faultinjection.SmallShape(p.Program)
	shape.Descriptors, shape.Log = p.Descriptors, p.Log
	f, err := faultinjection.Start(ctx, faultinjection.Config{Shape: shape, Servers: 3, Voters: 3, ExtraSettings: "door on\nfleet-lease 2s\nreplica-callers " + told + "\n"})
	if err != nil {
		return row, err
	}
	defer f.Close()
	s := f.Server("n1")
	row = RestartRow{ReplicaCallers: told, Trusted: p.Trusted}
	fmt.Fprintf(p.Progress, "replica-callers %s: %d clients become known\n", told, p.Trusted)
	clients, err := p.earn(ctx, s.Addr, earnFor+toldFor)
	if err != nil {
		return row, err
	}
	for _, c := range clients {
		c.close()
	}
	if err := f.KillAndRestart(ctx, "n1"); err != nil {
		return row, err
	}
	if told == "on" && !faultinjection.WaitUntil(patience, func() bool { return len(f.Events("n1", "fleet_trusted_clients")) > 0 }) {
		return row, fmt.Errorf("n1 was told nothing within %s", patience)
	}
	fmt.Fprintf(p.Progress, "replica-callers %s: n1 is back cold; %g strangers a second for %g s\n", told, p.UntrustedRate, p.Seconds)
	crowd := &strangers{addr: s.Addr, end: time.Now().Add(time.Duration(p.Seconds * float64(time.Second))), slots: make(chan struct{}, maxHeld)}
	var wait sync.WaitGroup
	wait.Go(func() { crowd.run(ctx, p.UntrustedRate) })
	time.Sleep(500 * time.Millisecond) // until the strangers have all that there is
	row.Attempts, row.Failed, _ = tries(ctx, clients, crowd.end, &wait)
	row.Untrusted = int(crowd.came.Load())
	return row, nil
}
