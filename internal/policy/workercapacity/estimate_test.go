package workercapacity

import (
	"math"
	"testing"
)

func TestUpdate(t *testing.T) {
	for name, c := range map[string]struct {
		previous float64
		attempts AttemptCounts
		want     float64
	}{
		"no attempts":                  {10, AttemptCounts{}, 10},
		"below capacity":               {10, AttemptCounts{Finished: 10}, 10 + 0.3*(25-10)},
		"below previous estimate":      {100, AttemptCounts{Finished: 10}, 100},
		"at capacity by rejections":    {100, AttemptCounts{Finished: 10, Rejected: 1}, 100 + 0.3*(20-100)},
		"at capacity by lost attempts": {100, AttemptCounts{Finished: 10, Lost: 1}, 100 + 0.3*(20-100)},
		"few rejections":               {100, AttemptCounts{Finished: 99, Rejected: 1}, 100 + 0.3*(247.5-100)},
		"nothing finished":             {2, AttemptCounts{Rejected: 5}, 2 + 0.3*(MinRequestsPerSecond-2)},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Update(c.previous, c.attempts, 0.5); math.Abs(got-c.want) > 1e-12 {
				t.Errorf("estimate %g requests/s, want %g", got, c.want)
			}
		})
	}
}
