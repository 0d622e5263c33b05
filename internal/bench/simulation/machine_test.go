package simulation

import (
	"math"
	"testing"
)

// erlangC returns the probability that an arrival has to wait in an M/M/c queue with utilization
// rho.
func erlangC(c int, rho float64) float64 {
	a, sum, term := float64(c)*rho, 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - rho)
	return last / (sum + last)
}

func TestMachine_AgreesWithQueueingTheory(t *testing.T) {
	for _, c := range []struct {
		name  string
		cores int
		rho   float64
		exact bool // all runs have the same work
		want  float64
	}{
		{"M/M/1, processor sharing", 1, 0.7, false, 1 / (1 - 0.7)},
		{"M/D/1, processor sharing", 1, 0.7, true, 1 / (1 - 0.7)}, // mean independent of the distribution
		{"M/M/4", 4, 0.8, false, 1 + erlangC(4, 0.8)/(4*(1-0.8))},
		{"M/M/16", 16, 0.9, false, 1 + erlangC(16, 0.9)/(16*(1-0.9))},
	} {
		simulated := newClock(7)
		m := newMachine(simulated, c.cores)
		const n, batches = 400_000, 20
		var sums [batches]float64
		arrived := 0
		var arrive func()
		arrive = func() {
			if arrived == n {
				return
			}
			at, batch, work := simulated.now, arrived*batches/n, 1.0
			arrived++
			if !c.exact {
				work = simulated.exponential(1)
			}
			m.start(work, func() { sums[batch] += simulated.now - at })
			simulated.after(simulated.exponential(1/(c.rho*float64(c.cores))), arrive)
		}
		arrive()
		simulated.run(math.MaxFloat64)
		mean, square := 0.0, 0.0
		for _, s := range sums {
			x := s / (n / batches)
			mean += x / batches
			square += x * x / batches
		}
		// Half width of the 99% confidence interval of the batch means: Student's t with 19 degrees
		// of freedom.
		half := 2.86 * math.Sqrt((square-mean*mean)/(batches-1))
		if math.Abs(mean-c.want) > half || half > 0.1*c.want {
			t.Errorf("%s: mean latency %.4f +- %.4f, want %.4f and a half width of at most a tenth of that",
				c.name, mean, half, c.want)
		}
		if math.Abs(m.totalWork/float64(n)-1) > 0.02 {
			t.Errorf("%s: mean work of a run %.4f, want 1", c.name, m.totalWork/float64(n))
		}
	}
}
