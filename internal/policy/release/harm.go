package release

import "math"

// ErrorTally is what a group of servers did since a release began: tasks that had an end, and of these the ones rejected or abandoned.
type ErrorTally struct{ Completed, Failed float64 }

// Add puts two tolls together.
func (t ErrorTally) Add(o ErrorTally) ErrorTally {
	return ErrorTally{t.Completed + o.Completed, t.Failed + o.Failed}
}

const (
	// enoughTasks on either side make the normal curve a fair picture of a share (the usual rule of ten of each kind at a tenth).
	enoughTasks = 100
	// leastHarm is a difference worth halting for: under it a release would be halted by the servers that happen to have the harder tasks.
	leastHarm = 0.02
)

// HarmConfidence tells how sure it is, from 0 to 1, that servers on a version do worse than those not on it: a one-sided test of two shares. 0 where
// there is too little to go by or the difference is not worth a halt. It may halt a good release when its first servers have harder
// tasks than the rest: waves drawn by name guard against that, not against a wave of one server.
func HarmConfidence(on, off ErrorTally) float64 {
	if on.Completed < enoughTasks || off.Completed < enoughTasks {
		return 0
	}
	a, b := on.Failed/on.Completed, off.Failed/off.Completed
	if a-b < leastHarm {
		return 0
	}
	both := (on.Failed + off.Failed) / (on.Completed + off.Completed)
	spread := math.Sqrt(both * (1 - both) * (1/on.Completed + 1/off.Completed))
	if spread == 0 {
		return 0
	}
	return math.Erfc(-(a-b)/spread/math.Sqrt2) / 2
}

// RolloutPolicy is how a release goes on by itself.
type RolloutPolicy struct {
	WaveSeconds    float64 // seconds that a wave lasts at least once all of it act on the release
	HaltConfidence float64 // how sure harm has to be for a halt, 0 to 1; over 1 never halts
}
