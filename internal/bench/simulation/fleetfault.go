package simulation

// fleetFault is a kind of fault of a simulated fleet.
type fleetFault int

const (
	faultRestartTenth  fleetFault = iota // a tenth of the fleet restarts without state
	faultPauseNode                       // a node stops and resumes
	faultPartition                       // a third of the nodes is cut off
	faultIsolateNode                     // a node receives nothing
	faultMessageLoss                     // messages are lost
	faultApplyError                      // a node can't apply what is released
	faultRestartVoters                   // at times, all voters restart together
	faultKindCount
)

const (
	// faultDraws is the range that faults are drawn from: numbers from faultKindCount on are
	// releases.
	faultDraws = 12
	// lossShare is the share of messages that faultMessageLoss loses.
	lossShare = 0.3
	// restartShare is the share of nodes that faultRestartTenth restarts.
	restartShare = 0.1
	// votersRestartOneIn is the mean number of draws of faultRestartVoters that one restart takes.
	votersRestartOneIn = 4
	// disturbedMargin is for how long, in seconds, the effect of a fault lasts after its end.
	disturbedMargin = 2
)

// markDisturbed records that a fault may delay nodes for that long and a little longer.
func (t *fleetSim) markDisturbed(seconds float64, nodes ...*node) {
	for _, one := range nodes {
		one.disturbedUntil = max(one.disturbedUntil, t.now+seconds+disturbedMargin)
	}
}

// injectFault draws a fault, or a release. What it draws does not depend on what the nodes do.
func (t *fleetSim) injectFault() {
	target := t.nodes[t.random.IntN(len(t.nodes))]
	seconds := 1 + 10*t.random.Float64()
	fault := fleetFault(t.random.IntN(faultDraws))
	if t.plan.NoFaults {
		fault = faultKindCount
	}
	if fault < faultKindCount {
		t.row.Faults++
	}
	switch fault {
	case faultRestartTenth:
		t.restartTenth(target, seconds)
	case faultPauseNode:
		t.markDisturbed(seconds, target)
		target.pause(seconds)
	case faultPartition:
		t.partitionRandomly(seconds)
	case faultIsolateNode:
		t.markDisturbed(seconds, target)
		t.isolate(target, seconds)
	case faultMessageLoss:
		t.markDisturbed(seconds, t.nodes...)
		t.loseMessages(seconds)
	case faultApplyError:
		target.failsToApply = true
		t.markDisturbed(seconds+20, target)
		t.after(seconds+15, func() { target.failsToApply = false })
	case faultRestartVoters:
		t.restartVoters()
	default:
		if target.alive && !target.isPaused {
			t.release(target)
		}
	}
}

// restartTenth restarts a node and, at random, a tenth of the others.
func (t *fleetSim) restartTenth(target *node, seconds float64) {
	for _, one := range t.nodes {
		if t.random.Float64() < restartShare || one == target {
			t.markDisturbed(5+seconds, one)
			one.restartAfter(seconds / 4)
		}
	}
}

// partitionRandomly cuts off a third of the nodes for some seconds.
func (t *fleetSim) partitionRandomly(seconds float64) {
	t.partition = make([]int, len(t.nodes))
	for i := range t.partition {
		t.partition[i] = t.random.IntN(3) / 2
	}
	t.markDisturbed(seconds, t.nodes...)
	t.after(seconds, func() { t.partition = nil })
}

// isolate has a node receive nothing for some seconds.
func (t *fleetSim) isolate(target *node, seconds float64) {
	t.isolated = target
	t.after(seconds, func() { t.isolated = nil })
}

// loseMessages loses a share of all messages for some seconds.
func (t *fleetSim) loseMessages(seconds float64) {
	t.loss = lossShare
	t.after(seconds, func() { t.loss = 0 })
}

// restartVoters restarts all voters together, once in some calls.
func (t *fleetSim) restartVoters() {
	if t.random.IntN(votersRestartOneIn) > 0 {
		return
	}
	t.markDisturbed(15, t.nodes...)
	for _, voter := range t.nodes[:t.plan.Voters] {
		voter.restartAfter(1)
	}
}
