package release

import "math"

// ErrorTally counts how requests ended at a group of servers since a release began.
type ErrorTally struct {
	Completed float64 // requests that ended in any way
	Failed    float64 // of these, the rejected and the abandoned ones
}

// Add returns the sum of two tallies.
func (t ErrorTally) Add(other ErrorTally) ErrorTally {
	return ErrorTally{Completed: t.Completed + other.Completed, Failed: t.Failed + other.Failed}
}

const (
	// minSampleSize requests on either side make the normal distribution a fair approximation of a
	// rate (the usual rule of ten of each kind at a rate of a tenth).
	minSampleSize = 100
	// minRateIncrease is the least increase of the failure rate that is worth a halt: a smaller one
	// would halt a release when its servers happen to have the harder requests.
	minRateIncrease = 0.02
)

// HarmConfidence returns how sure it is, from 0 to 1, that servers on a version fail more often
// than those not on it, by a one-sided test of two proportions. It returns 0 if there are too few
// requests or the difference is not worth a halt. It may halt a good release whose first servers
// have harder requests than the rest: waves drawn by name guard against that, a wave of one server
// does not.
func HarmConfidence(on, off ErrorTally) float64 {
	if on.Completed < minSampleSize || off.Completed < minSampleSize {
		return 0
	}
	onRate := on.Failed / on.Completed
	offRate := off.Failed / off.Completed
	if onRate-offRate < minRateIncrease {
		return 0
	}
	pooledRate := (on.Failed + off.Failed) / (on.Completed + off.Completed)
	standardError := math.Sqrt(pooledRate * (1 - pooledRate) * (1/on.Completed + 1/off.Completed))
	if standardError == 0 {
		return 0
	}
	return math.Erfc(-(onRate-offRate)/standardError/math.Sqrt2) / 2
}
