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
	faultOneWayCut // a server receives nothing
	faultLossyLinks
	faultKindCount

	// faultDraws is the range that faults are drawn from: numbers from faultKindCount on are
	// releases.
	faultDraws = 10
)

const (
	// restartDisturbance is how long a restart may delay a server.
	restartDisturbance = 5 * time.Second
	// disturbanceMargin is for how long before and after a fault a server may be delayed: a lease.
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

// draw is one draw of a fault or a release.
type draw struct {
	fault  fault
	target string // of the fault
	author string // of the release
	length time.Duration
	sides  uint64 // a bit for each server: its side of a partition
}

// injectFaults draws faults and releases again and again. What it draws does not depend on what the
// servers do, so that a run with the fleet enabled and one without have the same faults.
func (r *experiment) injectFaults(ctx context.Context, fleetEnabled bool) {
	end := time.Now().Add(timing.Seconds(r.Seconds))
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		drawn := r.draw()
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

// draw draws a fault or a release. All parts are drawn whatever it is, so that runs stay
// comparable.
func (r *experiment) draw() (drawn draw) {
	pick := func() string { return r.serverNames[r.random.IntN(len(r.serverNames))] }
	drawn.fault = fault(r.random.IntN(faultDraws))
	drawn.target = pick()
	drawn.author = pick()
	drawn.length = time.Duration(300+r.random.IntN(3500)) * time.Millisecond
	drawn.sides = r.random.Uint64()
	return drawn
}

// inject starts a fault, which ends by itself.
func (r *experiment) inject(ctx context.Context, drawn draw) {
	network := r.fleet.Net
	switch drawn.fault {
	case faultPause:
		r.markDisturbed(drawn.length, drawn.target)
		if r.fleet.Pause(drawn.target) == nil {
			r.undoAfter(drawn.length, func() { _ = r.fleet.Resume(drawn.target) })
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
	r.undoAfter(drawn.length, network.Heal)
}

// kill restarts a server without its state. Whether it is back shows in what is verified.
func (r *experiment) kill(ctx context.Context, name string) {
	r.markDisturbed(restartDisturbance, name)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.fleet.Resume(name)
	_ = r.fleet.KillAndRestart(ctx, name)
}

// markDisturbed records that a fault may delay servers, until a lease after its end.
func (r *experiment) markDisturbed(length time.Duration, names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		now := time.Now()
		disturbance := period{from: now.Add(-disturbanceMargin), to: now.Add(length + disturbanceMargin)}
		r.disturbed[name] = append(r.disturbed[name], disturbance)
	}
}

// undoAfter ends a fault after a time.
func (r *experiment) undoAfter(length time.Duration, undo func()) {
	done := make(chan struct{})
	time.AfterFunc(length, func() {
		r.mu.Lock()
		undo()
		r.mu.Unlock()
		close(done)
	})
	r.pendingUndo = append(r.pendingUndo, func() { <-done })
}

// release submits a release. One that fails is not counted: its server may be cut off.
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
