package release

import "math"

// ErrorTally counts the requests that ended at a group of servers since a release began.
type ErrorTally struct {
	Completed float64 // requests that ended in any way
	Failed    float64 // of these, the rejected and the abandoned ones
}

// Add returns the sum of two tallies.
func (t ErrorTally) Add(other ErrorTally) ErrorTally {
	return ErrorTally{Completed: t.Completed + other.Completed, Failed: t.Failed + other.Failed}
}

const (
	// minSampleSize is the number of requests on each side from which the normal distribution is a
	// fair approximation: by the usual rule of ten failures and ten successes, for a rate of 10%.
	minSampleSize = 100
	// minRateIncrease is the least increase of the failure rate that is worth a halt: a smaller one
	// would halt a release when its servers happen to have the harder requests.
	minRateIncrease = 0.02
)

// HarmConfidence returns the confidence, from 0 to 1, that servers on a version fail more often than
// those not on it, by a one-sided test of two proportions. It returns 0 if there are too few
// requests or the difference is not worth a halt. The test can't tell a bad release from one whose
// first servers get harder requests than the rest. Waves are drawn by server name to make that
// unlikely, but a wave of one server stays exposed to it.
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
