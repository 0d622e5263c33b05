// Package demo shows a newcomer the real server at work: calm first, then at one and a half times what its cores can do.
package demo

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fake/upstream"
	wire "swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/rpc"
	"swiftcourse/internal/wire/simulator"
)

// Plan is the demonstration.
type Plan struct {
	Program  string  // the server's binary
	Seconds  float64 // of each of its two parts
	Overload float64 // what is asked in the second, over what the cores can do
	Progress io.Writer
	Log      io.Writer // the server's log, nil for none
}

// stage is one of the two kinds of task that are played.
type stage struct {
	name       string
	part       float64 // of the tasks
	work       float64 // seconds of a core, in the mean
	calls      bool
	due, limit float64 // seconds
	utility    float64
}

var stages = []stage{
	{"lookup", 0.7, 0.010, false, 0.5, 1.5, 1},
	{"price", 0.3, 0.040, true, 1.5, 4, 3},
}

const (
	cores    = 2
	calmPart = 0.6                   // of what the cores can do, in the first part
	replyIn  = 20 * time.Millisecond // of the tier below
	conns    = 16
	maxTry   = 3 // attempts a task
	seed     = 20261201
)

// capacity is how many tasks a second the cores can do.
func capacity() float64 {
	mean := 0.0
	for _, s := range stages {
		mean += s.part * s.work
	}
	return cores / mean
}

// work draws how long a run takes: from its id, so that a repeat takes as long.
func work(name, id string) float64 {
	for _, s := range stages {
		if s.name == name {
			r := rand.New(rand.NewPCG(seed, uint64(crc32.ChecksumIEEE([]byte(id)))))
			return s.work * min(4, r.ExpFloat64())
		}
	}
	return 0
}

func told() simulator.Settings {
	var t simulator.Settings
	t.Servers = 1
	for _, s := range stages {
		t.Classes = append(t.Classes, simulator.Class{Name: s.name, Idempotency: "idempotent", SoftDeadlineMs: s.due * 1000, TimeoutMs: s.limit * 1000,
			Value: s.utility, LateValue: 0.2})
		t.Deployment.ClassCalls = append(t.Deployment.ClassCalls, s.calls)
	}
	t.Capabilities.RetryAfter, t.Capabilities.MaxRetryAfterMs = true, 1000
	t.Contract.ConcurrencyPerCore, t.Contract.ConcurrencyWindowMs, t.Contract.DrainGraceMs, t.Contract.DeadlineToleranceMs = 8, 1000, 500, 50
	own := &t.Deployment
	own.Downstream, own.Cores, own.MemoryLimitKb, own.RunningFactor, own.Clients, own.DeadlinePropagation = "tier", cores, 1e5, 2, 4, true
	own.Gauges, own.IdleTimeoutMs = []string{"cpu_busy", "runnable"}, 30_000
	return t
}

// Row is what became of the tasks of a stage in one part.
type Row struct {
	Part               string  `json:"part"`
	Class              string  `json:"stage"`
	Asked              int     `json:"asked"`
	Finished           int     `json:"finished"` // in time
	Late               int     `json:"late"`     // finished, after the due time
	Rejected           int     `json:"rejected"`
	Abandoned          int     `json:"abandoned"`
	Unanswered         int     `json:"lost"` // no answer within the time limit and its slack
	Attempts           int     `json:"attempts"`
	AttemptsPerRequest float64 `json:"attempts_per_task"`
}

// Columns and Cells are those of the table.
var Columns = []string{"part", "stage", "asked", "finished", "late", "rejected", "abandoned", "lost", "attempts", "a task"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %s %d %d %d %d %d %d %d %.2f", r.Part, r.Class, r.Asked, r.Finished, r.Late, r.Rejected, r.Abandoned, r.Unanswered,
		r.Attempts, r.AttemptsPerRequest))
}

// Run plays it.
func Run(ctx context.Context, p *Plan) ([]Row, error) {
	servers, err := process.Start(ctx, 1, process.Config{Program: p.Program, CPU: -1, Cores: 1, MemoryMB: 64, Descriptors: 512,
		StopTimeout: 5 * time.Second, Settings: told(), Log: p.Log,
		Executor: executor.Config{Cores: cores, CPUSeconds: work, CallsUpstream: func(name, _ string) bool { return name == "price" },
			Gauges: func(busy, waiting int) []float64 { return []float64{float64(busy) / cores, float64(busy + waiting)} }},
		Upstream: func(int, wire.Call) upstream.Response {
			return upstream.Response{Delay: replyIn, Outcome: admission.Finished, Body: []byte("a reply")}
		}})
	if err != nil {
		return nil, err
	}
	defer process.CloseAll(servers)
	fmt.Fprintf(p.Progress, "a server with %d cores listens on %s; it can do %.0f tasks a second\n", cores, servers[0].Addr, capacity())
	callers, err := dial(ctx, servers[0].Addr)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for i, part := range []struct {
		name string
		over float64
	}{{"calm", calmPart}, {"overload", p.Overload}} {
		fmt.Fprintf(p.Progress, "%s: %.0f tasks a second for %g s\n", part.name, part.over*capacity(), p.Seconds)
		rows = append(rows, play(ctx, p, callers, part.name, part.over*capacity(), uint64(i))...)
		if ctx.Err() != nil {
			return rows, ctx.Err()
		}
	}
	took, err := servers[0].Drain()
	if err != nil {
		return rows, fmt.Errorf("the server's end: %w", err)
	}
	did := servers[0].Executor.Stats()
	fmt.Fprintf(p.Progress, "told to leave, the server answered all and ended in %.2f s; %d runs, %d of them a second time\n", took.Seconds(), did.Started, did.Repeated)
	return rows, nil
}

// play asks for tasks at a rate, and waits until all of them have their end.
func play(ctx context.Context, p *Plan, callers []*caller, name string, rate float64, part uint64) []Row {
	r := rand.New(rand.NewPCG(seed, part))
	rows := make([]Row, len(stages))
	for i := range rows {
		rows[i].Part, rows[i].Class = name, stages[i].name
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	from, said := time.Now(), time.Now()
	for n, due := 0, 0.0; due < p.Seconds && ctx.Err() == nil; n++ {
		if due += r.ExpFloat64() / rate; due >= p.Seconds {
			break
		}
		of := 0
		if r.Float64() >= stages[0].part {
			of = 1
		}
		time.Sleep(time.Until(from.Add(time.Duration(due * float64(time.Second)))))
		c := callers[n%len(callers)]
		wait.Add(1)
		go func() {
			defer wait.Done()
			end, attempts := c.ask(ctx, &stages[of], fmt.Sprintf("%02x%012x", part, n))
			mu.Lock()
			defer mu.Unlock()
			rows[of].book(end, attempts)
		}()
		if time.Since(said) > 2*time.Second {
			said = time.Now()
			mu.Lock()
			fmt.Fprintf(p.Progress, "  %3.0f s: %s\n", time.Since(from).Seconds(), progress(rows))
			mu.Unlock()
		}
	}
	wait.Wait()
	for i := range rows {
		rows[i].AttemptsPerRequest = float64(rows[i].Attempts) / float64(max(1, rows[i].Asked))
	}
	return rows
}

func progress(rows []Row) string {
	var parts []string
	for _, r := range rows {
		parts = append(parts, fmt.Sprintf("%s %d finished, %d late, %d rejected", r.Class, r.Finished, r.Late, r.Rejected+r.Abandoned))
	}
	return strings.Join(parts, "; ")
}

// ending is how a task ended for its caller.
type ending uint8

const (
	finished ending = iota
	late
	rejected
	abandoned
	lost
)

func (r *Row) book(end ending, attempts int) {
	r.Asked++
	r.Attempts += attempts
	switch end {
	case finished:
		r.Finished++
	case late:
		r.Late++
	case rejected:
		r.Rejected++
	case abandoned:
		r.Abandoned++
	case lost:
		r.Unanswered++
	}
}

// caller is a connection on which tasks are asked for.
type caller struct {
	*balancer.Conn
	mu   sync.Mutex
	open map[uint64]chan rpc.Response
}

func dial(ctx context.Context, addr string) (all []*caller, err error) {
	for range conns {
		c := &caller{open: map[uint64]chan rpc.Response{}}
		if c.Conn, err = balancer.Dial(ctx, addr, c.answered, nil); err != nil {
			return all, err
		}
		all = append(all, c)
	}
	return all, nil
}

func (c *caller) answered(a rpc.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait := c.open[a.Number]; wait != nil {
		delete(c.open, a.Number)
		wait <- a // it has room for one
	}
}

// slack is how much longer than its time limit a caller waits for an answer before it counts as lost.
const slack = 0.1

// ask makes up to maxTry attempts within the task's time, and keeps away as long as it was advised to.
func (c *caller) ask(ctx context.Context, of *stage, id string) (ending, int) {
	from := time.Now()
	for try := 1; ; try++ {
		left := of.limit - time.Since(from).Seconds()
		a, ok := c.attempt(ctx, of, fmt.Sprintf("%s%02x", id, try), left)
		switch {
		case !ok:
			return lost, try
		case a.Kind == rpc.ResponseFinished && time.Since(from).Seconds() <= of.due:
			return finished, try
		case a.Kind == rpc.ResponseFinished:
			return late, try
		case a.Kind == rpc.ResponseFailed:
			return abandoned, try
		}
		away := max(a.Metadata.RetryAfter, 0.02*float64(try))
		if left = of.limit - time.Since(from).Seconds() - away; try == maxTry || a.Metadata.NoFailover || left <= of.work {
			return rejected, try
		}
		time.Sleep(time.Duration(away * float64(time.Second)))
	}
}

func (c *caller) attempt(ctx context.Context, of *stage, id string, left float64) (rpc.Response, bool) {
	number, wait := c.NextNumber(), make(chan rpc.Response, 1)
	c.mu.Lock()
	c.open[number] = wait
	c.mu.Unlock()
	if err := c.SendRequest(&rpc.Message{Number: number, ID: id, Class: of.name, ArrivedAt: float64(time.Now().UnixMilli()) / 1000, Timeout: left,
		Client: 1, Memory: 10, Priority: 0.5, Body: []byte("a fare from here to there")}); err != nil {
		return rpc.Response{}, false
	}
	select {
	case a := <-wait:
		return a, true
	case <-time.After(time.Duration((left + slack) * float64(time.Second))):
	case <-ctx.Done():
	}
	return rpc.Response{}, false
}
