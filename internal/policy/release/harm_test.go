package release

import (
	"math/rand/v2"
	"testing"
)

func TestHarmConfidence_TellsHarmFromNoise(t *testing.T) {
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
		if HarmConfidence(draw(300, 0.10), draw(3000, 0.10)) > 0.9999 {
			falseAlarms++
		}
		if HarmConfidence(draw(300, 0.30), draw(3000, 0.10)) > 0.9999 {
			detected++
		}
	}
	if falseAlarms > 3 || detected < 1990 {
		t.Errorf("of 2000 each, %d good releases and %d bad ones were found harmful", falseAlarms, detected)
	}
}

func TestHarmConfidence_TooFewRequests(t *testing.T) {
	on := ErrorTally{Completed: 99, Failed: 99}
	off := ErrorTally{Completed: 1000}
	if confidence := HarmConfidence(on, off); confidence != 0 {
		t.Errorf("99 requests are enough to be %g sure", confidence)
	}
}

func TestHarmConfidence_TooSmallADifference(t *testing.T) {
	on := ErrorTally{Completed: 1e6, Failed: 1.1e5}
	off := ErrorTally{Completed: 1e6, Failed: 1e5}
	if confidence := HarmConfidence(on, off); confidence != 0 {
		t.Errorf("one in a hundred more is %g sure to be worth a halt", confidence)
	}
}
