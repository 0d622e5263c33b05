package quotas

import (
	"context"
	"math/rand/v2"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
)

// lossyLink is the state of all links during FaultLoss.
var lossyLink = faultinjection.Link{Loss: 0.3, Duplicate: 0.1, Jitter: 50 * time.Millisecond}

// draw is one draw of a fault.
type draw struct {
	fault    Fault
	target   string
	length   time.Duration
	minority []string // of a random partition
	majority []string
}

// injectFaults injects faults by the seed, one after the other.
func (r *experiment) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 23))
	end := time.Now().Add(timing.Seconds(r.Seconds))
	for time.Now().Before(end) && ctx.Err() == nil {
		r.row.Faults++
		r.inject(ctx, r.draw(random))
		timing.Sleep(ctx, time.Duration(200+random.IntN(800))*time.Millisecond)
	}
}

// draw draws a fault. All parts are drawn whatever it is, so that the plan's own fault has the same
// draws.
func (r *experiment) draw(random *rand.Rand) draw {
	names := r.fleet.Names
	target := names[random.IntN(len(names))]
	fault := FaultKinds[random.IntN(len(FaultKinds))]
	if r.Fault != anyFault {
		fault = r.Fault
	}
	length := time.Duration(300+random.IntN(4000)) * time.Millisecond
	minority, majority := faultinjection.RandomPartition(random, names)
	return draw{fault: fault, target: target, length: length, minority: minority, majority: majority}
}

// inject injects a fault and ends it. Errors of kills and pauses are not looked at: whether a
// process is back shows in what is used once all is healed.
func (r *experiment) inject(ctx context.Context, drawn draw) {
	switch drawn.fault {
	case FaultLeader:
		r.killLeader(ctx, drawn.target)
	case FaultKill:
		_ = r.fleet.KillAndRestart(ctx, drawn.target)
	case FaultVoters:
		r.killVoters(ctx)
	case FaultPause:
		_ = r.fleet.Pause(drawn.target)
		timing.Sleep(ctx, drawn.length)
		_ = r.fleet.Resume(drawn.target)
	case FaultShift:
		r.shiftDemand(drawn.target)
	case FaultCut, FaultOneWay, FaultLoss:
		r.disturbLinks(drawn)
		timing.Sleep(ctx, drawn.length)
		r.fleet.Net.Heal()
	}
}

// killLeader restarts the leader, as one server knows it, or that server if it knows none.
func (r *experiment) killLeader(ctx context.Context, name string) {
	status, err := r.fleet.Status(name)
	if err == nil && r.fleet.Server(status.Leader) != nil {
		name = status.Leader
	}
	_ = r.fleet.KillAndRestart(ctx, name)
}

// killVoters kills all voters before it restarts them.
func (r *experiment) killVoters(ctx context.Context) {
	voterNames := r.fleet.Names[:r.fleet.Voters]
	for _, name := range voterNames {
		r.fleet.Server(name).Kill()
	}
	for _, name := range voterNames {
		_ = r.fleet.Restart(ctx, name)
	}
}

// disturbLinks changes the links between servers.
func (r *experiment) disturbLinks(drawn draw) {
	switch drawn.fault {
	case FaultCut:
		r.fleet.Net.Partition(drawn.minority, drawn.majority)
	case FaultOneWay:
		r.fleet.CutIncoming(drawn.target)
	case FaultLoss:
		r.fleet.SetAllLinks(lossyLink)
	}
}
