// Package demo demonstrates the real server: first under a load that its executor's cores can
// serve, then under overload.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fake/upstream"
	"swiftcourse/internal/wire/catalogue"
)

// Plan describes the demonstration.
type Plan struct {
	Program  string    // path of the server's binary
	Seconds  float64   // of each of the two parts
	Overload float64   // load of the second part, as a multiple of the capacity of the cores
	Progress io.Writer // receives progress messages
	Log      io.Writer // receives the server's log; nil discards it
}

// Row counts the outcomes of the requests of a class in one part.
type Row struct {
	Part               string  `json:"part"`
	Class              string  `json:"stage"`
	Requests           int     `json:"asked"`
	Finished           int     `json:"finished"` // within the soft deadline
	Late               int     `json:"late"`     // finished after the soft deadline
	Rejected           int     `json:"rejected"`
	Abandoned          int     `json:"abandoned"`
	Unanswered         int     `json:"lost"` // no answer by the hard deadline plus answerGraceSeconds
	Attempts           int     `json:"attempts"`
	AttemptsPerRequest float64 `json:"attempts_per_task"`
}

// Columns are the column heads for Row.Cells.
var Columns = []string{"part", "stage", "asked", "finished", "late", "rejected", "abandoned", "lost", "attempts",
	"a task"}

// Cells returns the row's table cells, in the order of Columns.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %s %d %d %d %d %d %d %d %.2f",
		r.Part, r.Class, r.Requests, r.Finished, r.Late, r.Rejected, r.Abandoned, r.Unanswered, r.Attempts,
		r.AttemptsPerRequest))
}

// count counts a request with its outcome and number of attempts.
func (r *Row) count(result outcome, attempts int) {
	r.Requests++
	r.Attempts += attempts
	switch result {
	case finished:
		r.Finished++
	case late:
		r.Late++
	case rejected:
		r.Rejected++
	case abandoned:
		r.Abandoned++
	case unanswered:
		r.Unanswered++
	}
}

const (
	// normalLoadFactor is the load of the first part, as a fraction of the capacity of the cores.
	normalLoadFactor = 0.6
	upstreamDelay    = 20 * time.Millisecond
	serverMemoryMB   = 64
	descriptors      = 512
	stopTimeout      = 5 * time.Second
)

func (p *Plan) serverConfig() process.Config {
	return process.Config{
		Program:     p.Program,
		CPU:         -1,
		Cores:       1,
		MemoryMB:    serverMemoryMB,
		Descriptors: descriptors,
		StopTimeout: stopTimeout,
		Settings:    settings(),
		Log:         p.Log,
		Executor: executor.Config{
			Cores:         cores,
			CPUSeconds:    drawCPUSeconds,
			CallsUpstream: callsUpstream,
			Gauges:        process.RunnableGauges(cores),
		},
		Upstream: func(int, catalogue.Call) upstream.Response {
			return upstream.Response{Delay: upstreamDelay, Outcome: admission.Finished, Body: []byte("a reply")}
		},
	}
}

// Run runs both parts and returns a row for each class in each part.
func Run(ctx context.Context, plan *Plan) ([]Row, error) {
	servers, err := process.Start(ctx, 1, plan.serverConfig())
	if err != nil {
		return nil, err
	}
	defer process.CloseAll(servers)
	server := servers[0]
	fmt.Fprintf(plan.Progress, "a server with %d cores listens on %s; its capacity is %.0f requests per second\n",
		cores, server.Addr, capacity())
	clients, err := dialClients(ctx, server.Addr)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for i, next := range []part{{"calm", normalLoadFactor * capacity()}, {"overload", plan.Overload * capacity()}} {
		fmt.Fprintf(plan.Progress, "%s: %.0f requests per second for %g s\n", next.name, next.rate, plan.Seconds)
		rows = append(rows, plan.runPart(ctx, clients, next, uint64(i))...)
		if ctx.Err() != nil {
			return rows, ctx.Err()
		}
	}
	took, err := server.Drain()
	if err != nil {
		return rows, fmt.Errorf("drain the server: %w", err)
	}
	stats := server.Executor.Stats()
	fmt.Fprintf(plan.Progress, "after SIGTERM, the server drained and exited within %.2f s; "+
		"the executor started %d runs, %d of them repeated\n", took.Seconds(), stats.Started, stats.RepeatedRuns)
	return rows, nil
}
