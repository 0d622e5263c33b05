package memory

import (
	"math"
	"slices"
)

type timer struct {
	when float64
	do   func()
}

// Timers holds what is to be done at its time; there are few, so they stand sorted.
type Timers struct{ line []timer }

// Add has do called at or after when; of equal times, the first added comes first.
func (t *Timers) Add(when float64, do func()) {
	i := len(t.line)
	for i > 0 && t.line[i-1].when > when {
		i--
	}
	t.line = slices.Insert(t.line, i, timer{when, do})
}

// Next is the earliest time, infinite where there is none.
func (t *Timers) Next() float64 {
	if len(t.line) == 0 {
		return math.Inf(1)
	}
	return t.line[0].when
}

// Len counts them.
func (t *Timers) Len() int { return len(t.line) }

// Ripe does all that is due; what it adds waits for the next time.
func (t *Timers) Ripe(now float64) {
	n := 0
	for n < len(t.line) && t.line[n].when <= now {
		n++
	}
	ripe := slices.Clone(t.line[:n])
	t.line = slices.Delete(t.line, 0, n)
	for _, r := range ripe {
		r.do()
	}
}
