package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/timing"
)

// part is a part of the demonstration, with a constant request rate.
type part struct {
	name string
	rate float64 // requests per second
}

// progressInterval is the time between two progress lines.
const progressInterval = 2 * time.Second

// runPart sends requests as a Poisson process of the part's rate and waits until all of them have
// an outcome. The stream selects the sequence of random numbers.
func (p *Plan) runPart(ctx context.Context, clients []*client, current part, stream uint64) []Row {
	random := rand.New(rand.NewPCG(seed, stream))
	t := newTally(current.name)
	var wait sync.WaitGroup
	start := time.Now()
	reported := start
	scheduled := 0.0 // seconds since the start
	for n := 0; scheduled < p.Seconds && ctx.Err() == nil; n++ {
		scheduled += random.ExpFloat64() / current.rate
		if scheduled >= p.Seconds {
			break
		}
		classIndex := drawClass(random)
		time.Sleep(time.Until(start.Add(timing.Seconds(scheduled))))
		sender := clients[n%len(clients)]
		wait.Go(func() {
			result, attempts := sender.request(ctx, &classes[classIndex], fmt.Sprintf("%02x%012x", stream, n))
			t.count(classIndex, result, attempts)
		})
		if time.Since(reported) > progressInterval {
			reported = time.Now()
			fmt.Fprintf(p.Progress, "  %3.0f s: %s\n", time.Since(start).Seconds(), t.summary())
		}
	}
	wait.Wait()
	return t.finalRows()
}

// drawClass draws the class of a request and returns its index in classes.
func drawClass(random *rand.Rand) int {
	if random.Float64() >= classes[0].requestShare {
		return 1
	}
	return 0
}

// tally counts the outcomes of the requests of a part, in one row per class.
type tally struct {
	mu   sync.Mutex
	rows []Row
}

func newTally(part string) *tally {
	t := &tally{rows: make([]Row, len(classes))}
	for i := range t.rows {
		t.rows[i].Part = part
		t.rows[i].Class = classes[i].name
	}
	return t
}

func (t *tally) count(classIndex int, result outcome, attempts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[classIndex].count(result, attempts)
}

func (t *tally) summary() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []string
	for _, r := range t.rows {
		parts = append(parts, fmt.Sprintf("%s %d finished, %d late, %d rejected or abandoned",
			r.Class, r.Finished, r.Late, r.Rejected+r.Abandoned))
	}
	return strings.Join(parts, "; ")
}

// finalRows returns the rows. It must be called after all requests are counted.
func (t *tally) finalRows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.rows {
		t.rows[i].AttemptsPerRequest = float64(t.rows[i].Attempts) / float64(max(1, t.rows[i].Requests))
	}
	return t.rows
}
