package release

import "math"

// ErrorTally counts the requests that one or more servers completed under one version.
type ErrorTally struct {
	Completed float64 // requests that ended, with any outcome
	Failed    float64 // requests among them that were rejected or abandoned
}

// Add returns the sum of two tallies.
func (t ErrorTally) Add(other ErrorTally) ErrorTally {
	return ErrorTally{Completed: t.Completed + other.Completed, Failed: t.Failed + other.Failed}
}

const (
	// minSampleSize is the least number of requests in each sample. At a failure rate of 10% it
	// gives the ten failures and ten successes that the normal approximation usually requires.
	minSampleSize = 100
	// minRateIncrease is the least increase of the failure rate that can halt a rollout. A lower
	// limit would halt releases whose servers merely receive requests that fail more often.
	minRateIncrease = 0.02
)

// RegressionConfidence returns the confidence, from 0 to 1, that requests fail more often on servers with
// the next version than on servers with the current one, by a one-sided test of two proportions. It
// returns 0 if a sample is smaller than minSampleSize or the increase is below minRateIncrease.
//
// The test can't distinguish a bad release from a release whose first servers receive requests that
// fail more often anyway. Waves are selected by a hash of the server name to make that unlikely,
// but it can still happen with a wave of one server.
func RegressionConfidence(next, current ErrorTally) float64 {
	if next.Completed < minSampleSize || current.Completed < minSampleSize {
		return 0
	}
	nextRate := next.Failed / next.Completed
	currentRate := current.Failed / current.Completed
	if nextRate-currentRate < minRateIncrease {
		return 0
	}
	pooledRate := (next.Failed + current.Failed) / (next.Completed + current.Completed)
	standardError := math.Sqrt(pooledRate * (1 - pooledRate) * (1/next.Completed + 1/current.Completed))
	if standardError == 0 {
		return 0
	}
	return math.Erfc(-(nextRate-currentRate)/standardError/math.Sqrt2) / 2
}
