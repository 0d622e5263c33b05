package rollouts

import (
	"context"
	"fmt"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
)

// fault is a kind of fault.
type fault int

const (
	faultPause fault = iota
	faultKill
	faultPartition
	faultOneWayCut // a server receives nothing, but can send
	faultLossyLinks
	faultKindCount

	// faultDraws is the number of values from which a fault is drawn. Values from faultKindCount on
	// stand for a release instead of a fault.
	faultDraws = 10
)

const (
	// restartDisturbance is how long a restart may delay a server's catch-up.
	restartDisturbance = 5 * time.Second
	// disturbanceMargin is how long before and after a fault a server may be delayed: the duration
	// of a lease.
	disturbanceMargin = 2 * time.Second
	// waveShare is the share of the servers in the first wave of a release in waves.
	waveShare = 0.4
)

// lossyLink is the state of all links during faultLossyLinks.
var lossyLink = faultinjection.Link{
	Loss:      0.3,
	Duplicate: 0.2,
	Delay:     5 * time.Millisecond,
	Jitter:    80 * time.Millisecond,
}

// drawnAction is a randomly drawn fault or release with its parameters.
type drawnAction struct {
	fault  fault
	target string // server that the fault hits
	author string // server at which the release is submitted
	length time.Duration
	sides  uint64 // one bit per server: its side of a partition
}

// injectFaults draws and injects faults and releases for the plan's duration. The draws do not
// depend on what the servers do, so that the runs with the fleet enabled and disabled have the same
// faults.
func (r *experiment) injectFaults(ctx context.Context, fleetEnabled bool) {
	end := time.Now().Add(timing.Seconds(r.Seconds))
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		drawn := r.drawAction()
		isRelease := drawn.fault >= faultKindCount
		if isRelease || r.NoFaults {
			if fleetEnabled && isRelease {
				text := fmt.Sprintf("door-come-back %dms\n", 200+n)
				waves := []float64{waveShare}[:r.random.IntN(2)]
				r.releasing.Go(func() { r.release(drawn.author, text, waves) })
			}
			time.Sleep(time.Duration(300+r.random.IntN(600)) * time.Millisecond)
			continue
		}
		r.row.Faults++
		r.inject(ctx, drawn)
		time.Sleep(time.Duration(200+r.random.IntN(800)) * time.Millisecond)
	}
}

// drawAction draws a fault or a release. It draws all fields for each kind of fault, so that the sequence
// of random numbers does not depend on the kind and runs stay comparable.
func (r *experiment) drawAction() (drawn drawnAction) {
	pick := func() string { return r.serverNames[r.random.IntN(len(r.serverNames))] }
	drawn.fault = fault(r.random.IntN(faultDraws))
	drawn.target = pick()
	drawn.author = pick()
	drawn.length = time.Duration(300+r.random.IntN(3500)) * time.Millisecond
	drawn.sides = r.random.Uint64()
	return drawn
}

// inject starts a fault and schedules its end.
func (r *experiment) inject(ctx context.Context, drawn drawnAction) {
	network := r.fleet.Net
	switch drawn.fault {
	case faultPause:
		r.markDisturbed(drawn.length, drawn.target)
		if r.fleet.Pause(drawn.target) == nil {
			r.endFaultAfter(drawn.length, func() { _ = r.fleet.Resume(drawn.target) })
		}
		return
	case faultKill:
		r.kill(ctx, drawn.target)
		return
	case faultPartition:
		var groups [2][]string
		for i, name := range r.serverNames {
			side := drawn.sides >> i & 1
			groups[side] = append(groups[side], name)
		}
		r.markDisturbed(drawn.length, r.serverNames...)
		network.Partition(groups[0], groups[1])
	case faultOneWayCut:
		r.markDisturbed(drawn.length, r.serverNames...)
		r.fleet.CutIncoming(drawn.target)
	case faultLossyLinks:
		r.markDisturbed(drawn.length, r.serverNames...)
		r.fleet.SetAllLinks(lossyLink)
	}
	r.endFaultAfter(drawn.length, network.Heal)
}

// kill kills a server and restarts it without its state. If the restart fails, verify counts the
// server as not healed.
func (r *experiment) kill(ctx context.Context, name string) {
	r.markDisturbed(restartDisturbance, name)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.fleet.Resume(name)
	_ = r.fleet.KillAndRestart(ctx, name)
}

// markDisturbed records that a fault that starts now may delay the named servers. The recorded
// period extends disturbanceMargin before and after the fault.
func (r *experiment) markDisturbed(length time.Duration, names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		now := time.Now()
		disturbance := period{from: now.Add(-disturbanceMargin), to: now.Add(length + disturbanceMargin)}
		r.disturbed[name] = append(r.disturbed[name], disturbance)
	}
}

// endFaultAfter schedules the end of a fault.
func (r *experiment) endFaultAfter(length time.Duration, endFault func()) {
	done := make(chan struct{})
	time.AfterFunc(length, func() {
		r.mu.Lock()
		endFault()
		r.mu.Unlock()
		close(done)
	})
	r.pendingFaultEnds = append(r.pendingFaultEnds, func() { <-done })
}

// release submits a release and counts it if it is accepted. A failure is not an error, since a
// fault may have cut the server off.
func (r *experiment) release(author, text string, waves []float64) {
	epoch, err := r.fleet.Release(author, text, waves...)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row.Releases++
	if len(waves) == 0 {
		r.released[epoch] = time.Now()
	}
}
