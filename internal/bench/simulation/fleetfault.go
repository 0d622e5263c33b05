package simulation

// fleetFault is a kind of fault of a simulated fleet.
type fleetFault int

const (
	faultRestartTenth  fleetFault = iota // a tenth of the nodes restarts without state
	faultPauseNode                       // a node is paused and resumes with its state
	faultPartition                       // a third of the nodes is partitioned from the others
	faultIsolateNode                     // a node receives nothing, but can send
	faultMessageLoss                     // a share of all messages is lost
	faultApplyError                      // a node can't apply releases
	faultRestartVoters                   // in one of votersRestartOneIn draws, all voters restart together
	fleetFaultCount
)

const (
	// fleetFaultDraws is the number of values from which a fault is drawn. Values from fleetFaultCount on stand
	// for a release instead of a fault.
	fleetFaultDraws = 12
	// faultLossShare is the share of messages that faultMessageLoss loses.
	faultLossShare = 0.3
	// restartShare is the share of nodes that faultRestartTenth restarts.
	restartShare = 0.1
	// votersRestartOneIn is the mean number of draws of faultRestartVoters per restart.
	votersRestartOneIn = 4
	// disturbedMarginSeconds is how long the effect of a fault may outlast it.
	disturbedMarginSeconds = 2
	// minFaultGapSeconds is the minimum time from one fault to the next, and faultGapSpreadSeconds
	// the range of the random time that is added to it.
	minFaultGapSeconds    = 0.3
	faultGapSpreadSeconds = 1.5
	// extraApplyErrorSeconds is how much longer faultApplyError lasts than other faults, and
	// applyErrorDisturbanceSeconds how much longer it may delay its node.
	extraApplyErrorSeconds       = 15
	applyErrorDisturbanceSeconds = 20
	// restartDisturbanceSeconds is how long a restart may delay a node, and
	// votersRestartDisturbanceSeconds how long a restart of all voters may delay the fleet.
	restartDisturbanceSeconds       = 5
	votersRestartDisturbanceSeconds = 15
	// votersDownSeconds is how long the voters are down in faultRestartVoters.
	votersDownSeconds = 1
)

// markDisturbed records that a fault may delay the nodes for the given seconds plus
// disturbedMarginSeconds.
func (f *fleetSim) markDisturbed(seconds float64, nodes ...*node) {
	for _, one := range nodes {
		one.disturbedUntil = max(one.disturbedUntil, f.now+seconds+disturbedMarginSeconds)
	}
}

// runFaults injects faults and releases for the given seconds.
func (f *fleetSim) runFaults(seconds float64) {
	for end := f.now + seconds; f.now < end; {
		f.injectFault()
		f.run(f.drawNextFault())
	}
}

// drawNextFault draws the time of the next fault.
func (f *fleetSim) drawNextFault() float64 {
	return f.now + minFaultGapSeconds + faultGapSpreadSeconds*f.random.Float64()
}

// injectFault draws and injects a fault or a release. The draws do not depend on what the nodes do.
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
		f.markDisturbed(seconds+applyErrorDisturbanceSeconds, target)
		f.after(seconds+extraApplyErrorSeconds, func() { target.failsToApply = false })
	case faultRestartVoters:
		f.restartVoters()
	default:
		if target.alive && !target.isPaused {
			f.submitRelease(target)
		}
	}
}

// restartTenth restarts a node and each other node with probability restartShare.
func (f *fleetSim) restartTenth(target *node, seconds float64) {
	for _, one := range f.nodes {
		if f.random.Float64() < restartShare || one == target {
			f.markDisturbed(restartDisturbanceSeconds+seconds, one)
			one.restartAfter(seconds / 4)
		}
	}
}

// partitionRandomly partitions a random third of the nodes from the others for the given seconds.
func (f *fleetSim) partitionRandomly(seconds float64) {
	f.partition = make([]int, len(f.nodes))
	for i := range f.partition {
		f.partition[i] = f.random.IntN(3) / 2
	}
	f.markDisturbed(seconds, f.nodes...)
	f.after(seconds, func() { f.partition = nil })
}

// isolate drops all messages to a node for the given seconds.
func (f *fleetSim) isolate(target *node, seconds float64) {
	f.isolated = target
	f.after(seconds, func() { f.isolated = nil })
}

// loseMessages drops faultLossShare of all messages for the given seconds.
func (f *fleetSim) loseMessages(seconds float64) {
	f.lossShare = faultLossShare
	f.after(seconds, func() { f.lossShare = 0 })
}

// restartVoters restarts all voters together in one of votersRestartOneIn calls on average, and
// else does nothing.
func (f *fleetSim) restartVoters() {
	if f.random.IntN(votersRestartOneIn) > 0 {
		return
	}
	f.markDisturbed(votersRestartDisturbanceSeconds, f.nodes...)
	for _, voter := range f.nodes[:f.plan.Voters] {
		voter.restartAfter(votersDownSeconds)
	}
}
