package simulation

import (
	"math"
	"testing"
)

// erlangC is the part of arrivals that wait in a queue with c servers of which each is busy for rho
// of the time.
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
		exact bool // every run takes the same
		want  float64
	}{
		{"M/M/1, processor sharing", 1, 0.7, false, 1 / (1 - 0.7)},
		{"M/D/1, processor sharing", 1, 0.7, true, 1 / (1 - 0.7)}, // it does not depend on the distribution
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
		// Half of the 99% interval, by batches: Student's t of 19 degrees.
		half := 2.86 * math.Sqrt((square-mean*mean)/(batches-1))
		if math.Abs(mean-c.want) > half || half > 0.1*c.want {
			t.Errorf("%s: %.4f +- %.4f, by theory %.4f", c.name, mean, half, c.want)
		}
		if math.Abs(m.totalWork/float64(n)-1) > 0.02 {
			t.Errorf("%s: work of %.4f each", c.name, m.totalWork/float64(n))
		}
	}
}
