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
	fleetFaultCount                      // the number of kinds
)

const (
	// fleetFaultDraws is the range that faults are drawn from: numbers from fleetFaultCount on are
	// releases.
	fleetFaultDraws = 12
	// faultLossShare is the share of messages that faultMessageLoss loses.
	faultLossShare = 0.3
	// restartShare is the share of nodes that faultRestartTenth restarts.
	restartShare = 0.1
	// votersRestartOneIn is the mean number of draws of faultRestartVoters that one restart takes.
	votersRestartOneIn = 4
	// disturbedMargin is for how long, in seconds, the effect of a fault lasts after its end.
	disturbedMargin = 2
	// minFaultGap and faultGapSpread are of the seconds from one fault to the next.
	minFaultGap    = 0.3
	faultGapSpread = 1.5
	// extraApplyErrorSeconds is by how much longer than other faults faultApplyError lasts, and
	// applyErrorDisturbance by how much longer it may delay its node.
	extraApplyErrorSeconds = 15
	applyErrorDisturbance  = 20
	// restartDisturbance and votersRestartDisturbance are for how long, in seconds, a restart may
	// delay a node, and one of all voters the fleet.
	restartDisturbance       = 5
	votersRestartDisturbance = 15
	// votersDownSeconds is how long the voters are down in faultRestartVoters.
	votersDownSeconds = 1
)

// markDisturbed records that a fault may delay nodes for that many seconds and disturbedMargin.
func (f *fleetSim) markDisturbed(seconds float64, nodes ...*node) {
	for _, one := range nodes {
		one.disturbedUntil = max(one.disturbedUntil, f.now+seconds+disturbedMargin)
	}
}

// runFaults injects faults and releases for some seconds.
func (f *fleetSim) runFaults(seconds float64) {
	for end := f.now + seconds; f.now < end; {
		f.injectFault()
		f.run(f.drawNextFault())
	}
}

// drawNextFault draws the time of the next fault.
func (f *fleetSim) drawNextFault() float64 {
	return f.now + minFaultGap + faultGapSpread*f.random.Float64()
}

// injectFault draws a fault, or a release. What it draws does not depend on what the nodes do.
func (f *fleetSim) injectFault() {
	target := f.nodes[f.random.IntN(len(f.nodes))]
	seconds := 1 + 10*f.random.Float64()
	fault := fleetFault(f.random.IntN(fleetFaultDraws))
	if f.plan.NoFaults {
		fault = fleetFaultCount
	}
	if fault < fleetFaultCount {
		f.row.Faults++
	}
	switch fault {
	case faultRestartTenth:
		f.restartTenth(target, seconds)
	case faultPauseNode:
		f.markDisturbed(seconds, target)
		target.pause(seconds)
	case faultPartition:
		f.partitionRandomly(seconds)
	case faultIsolateNode:
		f.markDisturbed(seconds, target)
		f.isolate(target, seconds)
	case faultMessageLoss:
		f.markDisturbed(seconds, f.nodes...)
		f.loseMessages(seconds)
	case faultApplyError:
		target.failsToApply = true
		f.markDisturbed(seconds+applyErrorDisturbance, target)
		f.after(seconds+extraApplyErrorSeconds, func() { target.failsToApply = false })
	case faultRestartVoters:
		f.restartVoters()
	default:
		if target.alive && !target.isPaused {
			f.submitRelease(target)
		}
	}
}

// restartTenth restarts a node and, at random, a tenth of the others.
func (f *fleetSim) restartTenth(target *node, seconds float64) {
	for _, one := range f.nodes {
		if f.random.Float64() < restartShare || one == target {
			f.markDisturbed(restartDisturbance+seconds, one)
			one.restartAfter(seconds / 4)
		}
	}
}

// partitionRandomly cuts off a third of the nodes for some seconds.
func (f *fleetSim) partitionRandomly(seconds float64) {
	f.partition = make([]int, len(f.nodes))
	for i := range f.partition {
		f.partition[i] = f.random.IntN(3) / 2
	}
	f.markDisturbed(seconds, f.nodes...)
	f.after(seconds, func() { f.partition = nil })
}

// isolate has a node receive nothing for some seconds.
func (f *fleetSim) isolate(target *node, seconds float64) {
	f.isolated = target
	f.after(seconds, func() { f.isolated = nil })
}

// loseMessages loses a share of all messages for some seconds.
func (f *fleetSim) loseMessages(seconds float64) {
	f.lossShare = faultLossShare
	f.after(seconds, func() { f.lossShare = 0 })
}

// restartVoters restarts all voters together, in one of votersRestartOneIn calls on average.
func (f *fleetSim) restartVoters() {
	if f.random.IntN(votersRestartOneIn) > 0 {
		return
	}
	f.markDisturbed(votersRestartDisturbance, f.nodes...)
	for _, voter := range f.nodes[:f.plan.Voters] {
		voter.restartAfter(votersDownSeconds)
	}
}
