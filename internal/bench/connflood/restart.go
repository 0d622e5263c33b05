package connflood

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
)

// Back is how known clients fared at a server that came back cold among strangers, with its fleet's word on them and without.
type Back struct {
	Told      string `json:"replica_callers"`
	Known     int    `json:"known"`
	Tries     int    `json:"known_tries"`
	Failed    int    `json:"known_failed"` // no answer within a second, or another than finished
	Strangers int    `json:"strangers"`
}

// BackHeads and Cells are those of the table.
var BackHeads = []string{"replica-callers", "known", "tries", "failed", "strangers"}

// Cells are a row's in the table.
func (r Back) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %d %d", r.Told, r.Known, r.Tries, r.Failed, r.Strangers))
}

// toldFor is how long the clients go on doing tasks after they have earned being known: by then others were told of them.
const toldFor = 7 * time.Second

// Restart measures a restart of one server of three, with replica-callers off and on.
func Restart(ctx context.Context, p *Plan) (rows []Back, err error) {
	for _, told := range []string{"off", "on"} {
		row, err := p.restart(ctx, told)
		if err != nil {
			return rows, fmt.Errorf("with replica-callers %s: %w", told, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (p *Plan) restart(ctx context.Context, told string) (row Back, err error) {
	shape := faultinjection.Small(p.Program)
	shape.Sockets, shape.Log = p.Sockets, p.Log
	f, err := faultinjection.Start(ctx, faultinjection.Plan{Shape: shape, Servers: 3, Voters: 3, Conf: "door on\nfleet-lease 2s\nreplica-callers " + told + "\n"})
	if err != nil {
		return row, err
	}
	defer f.Close()
	s := f.Server("n1")
	row = Back{Told: told, Known: p.Known}
	fmt.Fprintf(p.Say, "replica-callers %s: %d clients become known\n", told, p.Known)
	clients, err := p.earn(ctx, s.Addr, earnFor+toldFor)
	if err != nil {
		return row, err
	}
	for _, c := range clients {
		c.close()
	}
	if err := f.Cold(ctx, "n1"); err != nil {
		return row, err
	}
	if told == "on" && !faultinjection.Until(patience, func() bool { return len(f.Said("n1", "fleet_trusted_clients")) > 0 }) {
		return row, fmt.Errorf("n1 was told nothing within %s", patience)
	}
	fmt.Fprintf(p.Say, "replica-callers %s: n1 is back cold; %g strangers a second for %g s\n", told, p.Strangers, p.Seconds)
	crowd := &strangers{addr: s.Addr, end: time.Now().Add(time.Duration(p.Seconds * float64(time.Second))), slots: make(chan struct{}, maxHeld)}
	var wait sync.WaitGroup
	wait.Go(func() { crowd.run(ctx, p.Strangers) })
	time.Sleep(500 * time.Millisecond) // until the strangers have all that there is
	row.Tries, row.Failed, _ = tries(ctx, clients, crowd.end, &wait)
	row.Strangers = int(crowd.came.Load())
	return row, nil
}
