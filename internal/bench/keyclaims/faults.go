package keyclaims

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
)

// fault is a kind of fault other than a kill.
type fault int

const (
	faultPause fault = iota
	faultPartition
	faultOneWayCut // a server receives nothing, but can send
	faultLoss
	faultLossRepeated // also message loss, which is thereby drawn twice as often
	// faultDraws is the number of values from which a fault is drawn. Values without a constant
	// inject no fault.
	faultDraws = 6
)

// disturbanceMargin is how long the effect of a fault may outlast it.
const disturbanceMargin = 2 * time.Second

// lossyLink is the state of all links during faultLoss.
var lossyLink = faultinjection.Link{
	Loss:      0.2,
	Duplicate: 0.2,
	Delay:     2 * time.Millisecond,
	Jitter:    60 * time.Millisecond,
}

// disturbance is a period in which a fault may have delayed or disconnected replicas.
type disturbance struct {
	minority []string // the partitioned servers; nil if the fault is no partition
	from     time.Time
	to       time.Time
}

// drawnFault is a randomly drawn fault with its parameters.
type drawnFault struct {
	fault    fault
	target   string
	length   time.Duration
	minority []string // the two sides of a random partition
	majority []string
}

// injectFaults kills servers and injects other faults for the plan's duration. At the end it heals
// the network and resumes or restarts all servers.
func (r *experiment) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 17))
	total := timing.Seconds(r.Seconds)
	step := total
	if r.Kills > 0 {
		step = timing.Seconds(r.Seconds / float64(r.Kills))
	}
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		from := time.Now()
		drawn := r.drawFault(random)
		if !r.KillsOnly {
			r.inject(drawn)
		}
		r.restartCrashed(ctx)
		if r.row.Kills < r.Kills {
			r.kill(ctx, r.fleet.Names[random.IntN(len(r.fleet.Names))])
		}
		if left := step - time.Since(from); left > 0 {
			time.Sleep(left)
		}
	}
	r.fleet.Net.Heal()
	for _, name := range r.fleet.Names {
		_ = r.fleet.Resume(name)
		if !r.fleet.Server(name).Alive() {
			_ = r.fleet.Restart(ctx, name) // a server that fails to restart shows up as replicas that do not agree
		}
	}
}

// drawFault draws a fault. It draws all fields for each kind of fault, so that the sequence of random
// numbers does not depend on the kind.
func (r *experiment) drawFault(random *rand.Rand) (drawn drawnFault) {
	names := r.fleet.Names
	drawn.target = names[random.IntN(len(names))]
	drawn.fault = fault(random.IntN(faultDraws))
	drawn.length = time.Duration(300+random.IntN(1500)) * time.Millisecond
	drawn.minority, drawn.majority = faultinjection.RandomPartition(random, names)
	return drawn
}

// restartCrashed restarts the servers that died at a crash point.
func (r *experiment) restartCrashed(ctx context.Context) {
	for _, server := range r.fleet.Servers {
		if !server.Alive() && r.fleet.Restart(ctx, server.Name) == nil {
			r.recordKill()
			r.row.CrashPointDeaths++
		}
	}
}

// kill kills a server and restarts it without its state.
func (r *experiment) kill(ctx context.Context, name string) {
	r.recordKill()
	if r.fleet.KillAndRestart(ctx, name) == nil {
		r.row.Kills++
	}
}

// recordKill records that a process was killed or crashed just now.
func (r *experiment) recordKill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kills = append(r.kills, time.Now())
}

// recordDisturbance records that a fault begins now. minority is nil unless the fault is a
// partition.
func (r *experiment) recordDisturbance(length time.Duration, minority []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.disturbances = append(r.disturbances, disturbance{minority: minority, from: now, to: now.Add(length)})
}

// wasDisturbed reports whether a disturbance overlaps the period. The mutex is held.
func (r *experiment) wasDisturbed(from, to time.Time) bool {
	overlaps := func(d disturbance) bool { return d.from.Before(to) && d.to.After(from) }
	return slices.ContainsFunc(r.disturbances, overlaps)
}

// inject injects a fault, waits for its duration, and ends it. If the drawn value is no fault, it only waits.
func (r *experiment) inject(drawn drawnFault) {
	network := r.fleet.Net
	length := drawn.length
	r.recordDisturbance(length+disturbanceMargin, nil)
	r.row.Faults++
	switch drawn.fault {
	case faultPause:
		_ = r.fleet.Pause(drawn.target)
		defer func() { _ = r.fleet.Resume(drawn.target) }()
	case faultPartition:
		length += partitionSettle
		network.Partition(drawn.minority, drawn.majority)
		r.recordDisturbance(length, drawn.minority)
	case faultOneWayCut:
		r.fleet.CutIncoming(drawn.target)
	case faultLoss, faultLossRepeated:
		r.fleet.SetAllLinks(lossyLink)
	default:
		r.row.Faults--
	}
	time.Sleep(length)
	network.Heal()
}
