package release

import (
	"math/rand/v2"
	"testing"
)

func TestRegressionConfidence_DetectsHigherFailureRate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	draw := func(requests int, failureRate float64) (tally ErrorTally) {
		for range requests {
			tally.Completed++
			if random.Float64() < failureRate {
				tally.Failed++
			}
		}
		return tally
	}
	falseAlarms, detected := 0, 0
	for range 2000 {
		if RegressionConfidence(draw(300, 0.10), draw(3000, 0.10)) > 0.9999 {
			falseAlarms++
		}
		if RegressionConfidence(draw(300, 0.30), draw(3000, 0.10)) > 0.9999 {
			detected++
		}
	}
	if falseAlarms > 3 || detected < 1990 {
		t.Errorf("above the limit: %d of 2000 pairs with equal failure rates, want at most 3; "+
			"%d of 2000 pairs with a higher rate of the next version, want at least 1990",
			falseAlarms, detected)
	}
}

func TestRegressionConfidence_TooFewRequests(t *testing.T) {
	next := ErrorTally{Completed: 99, Failed: 99}
	current := ErrorTally{Completed: 1000}
	if confidence := RegressionConfidence(next, current); confidence != 0 {
		t.Errorf("confidence %g with 99 requests, want 0", confidence)
	}
}

func TestRegressionConfidence_IncreaseBelowMinimum(t *testing.T) {
	next := ErrorTally{Completed: 1e6, Failed: 1.1e5}
	current := ErrorTally{Completed: 1e6, Failed: 1e5}
	if confidence := RegressionConfidence(next, current); confidence != 0 {
		t.Errorf("confidence %g with an increase of the failure rate from 10%% to 11%%, want 0", confidence)
	}
}
