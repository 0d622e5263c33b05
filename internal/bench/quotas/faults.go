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

// faultDraw is a drawn fault with its parameters.
type faultDraw struct {
	fault    Fault
	target   string        // name of the server that the fault affects
	length   time.Duration // duration of a pause or a fault of the links
	minority []string      // servers on one side of a random partition
	majority []string      // servers on the other side
}

// injectFaults injects faults drawn from the seed, one after the other.
func (r *experiment) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 23))
	end := time.Now().Add(timing.Seconds(r.Seconds))
	for time.Now().Before(end) && ctx.Err() == nil {
		r.row.Faults++
		r.inject(ctx, r.drawFault(random))
		timing.Sleep(ctx, time.Duration(200+random.IntN(800))*time.Millisecond)
	}
}

// drawFault draws a fault. All parameters are drawn for every kind of fault, so that a plan with a
// fixed kind draws the same parameters as one without.
func (r *experiment) drawFault(random *rand.Rand) faultDraw {
	names := r.fleet.Names
	target := names[random.IntN(len(names))]
	fault := FaultKinds[random.IntN(len(FaultKinds))]
	if r.Fault != anyFault {
		fault = r.Fault
	}
	length := time.Duration(300+random.IntN(4000)) * time.Millisecond
	minority, majority := faultinjection.RandomPartition(random, names)
	return faultDraw{fault: fault, target: target, length: length, minority: minority, majority: majority}
}

// inject injects a fault and ends it. Errors of kills and pauses are ignored: a process that did
// not come back shows in the used share after all faults are healed.
func (r *experiment) inject(ctx context.Context, drawn faultDraw) {
	switch drawn.fault {
	case FaultKillLeader:
		r.killLeader(ctx, drawn.target)
	case FaultKillServer:
		_ = r.fleet.KillAndRestart(ctx, drawn.target)
	case FaultKillVoters:
		r.killVoters(ctx)
	case FaultPause:
		_ = r.fleet.Pause(drawn.target)
		timing.Sleep(ctx, drawn.length)
		_ = r.fleet.Resume(drawn.target)
	case FaultDemandShift:
		r.shiftDemand(drawn.target)
	case FaultPartition, FaultCutIncoming, FaultLoss:
		r.disturbLinks(drawn)
		timing.Sleep(ctx, drawn.length)
		r.fleet.Net.Heal()
	}
}

// killLeader kills and restarts the leader that the named server reports, or the named server
// itself if it reports none.
func (r *experiment) killLeader(ctx context.Context, name string) {
	status, err := r.fleet.Status(name)
	if err == nil && r.fleet.Server(status.Leader) != nil {
		name = status.Leader
	}
	_ = r.fleet.KillAndRestart(ctx, name)
}

// killVoters kills all voters and then restarts them.
func (r *experiment) killVoters(ctx context.Context) {
	voterNames := r.fleet.Names[:r.fleet.Voters]
	for _, name := range voterNames {
		r.fleet.Server(name).Kill()
	}
	for _, name := range voterNames {
		_ = r.fleet.Restart(ctx, name)
	}
}

// disturbLinks injects a fault of the links between servers.
func (r *experiment) disturbLinks(drawn faultDraw) {
	switch drawn.fault {
	case FaultPartition:
		r.fleet.Net.Partition(drawn.minority, drawn.majority)
	case FaultCutIncoming:
		r.fleet.CutIncoming(drawn.target)
	case FaultLoss:
		r.fleet.SetAllLinks(lossyLink)
	}
}
