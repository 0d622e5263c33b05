package twolevel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/bench/timing"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/simulator"
)

const (
	// atMostOnceClass is a class of at-most-once requests.
	atMostOnceClass = "pay"
	requestSeconds  = 0.02 // CPU time of a request on a worker
	maxDescriptors  = 512
	// idleConnsMemoryMB is the memory limit of a forwarder that holds idle connections.
	idleConnsMemoryMB = 192

	planTimeout   = 20 * time.Second // for all forwarders to receive a load plan
	warmupTime    = 3 * time.Second  // load before the measurement starts
	answerTimeout = 5 * time.Second  // for the requests in flight at the end

	// faultStream is the random stream from which faults are drawn.
	faultStream = 9
	// firstForwarderShare is the first forwarder's share of the load if there are several.
	firstForwarderShare = 0.5

	experimentSettings = "fleet-lease 2s\nfleet-behind 2s\n"
)

// workerCores returns the number of cores of a worker by its number, counted from 1. Of four
// consecutive workers two have 4 cores, one has 2 and one has 1.
func workerCores(number int) int { return []int{4, 1, 4, 2}[number%4] }

// capacity returns the joint capacity of the workers in requests per second.
func (p *Plan) capacity() float64 {
	total := 0.0
	for i := range p.Workers {
		total += float64(workerCores(i+1)) / requestSeconds
	}
	return total
}

// workerExecutor returns the executor configuration of the worker with the given name.
func workerExecutor(name string) executor.Config {
	number, err := strconv.Atoi(strings.TrimLeft(name, "n"))
	if err != nil {
		panic(fmt.Sprintf("worker name %q is not n and a number", name))
	}
	cores := workerCores(number)
	return executor.Config{
		Cores:      cores,
		CPUSeconds: func(string, string) float64 { return requestSeconds },
		Gauges:     process.RunnableGauges(cores),
	}
}

// startFleet starts the processes.
func (p *Plan) startFleet(ctx context.Context) (*faultinjection.Fleet, error) {
	processConfig := faultinjection.SmallProcessConfig(p.Program)
	processConfig.Log = p.Log
	processConfig.Settings.Classes = append(processConfig.Settings.Classes, simulator.Class{Name: atMostOnceClass,
		Idempotency: "at_most_once", TimeoutMs: 2000, SoftDeadlineMs: 1000, Value: 3, LateValue: 0.5})
	processConfig.Descriptors = maxDescriptors
	workerConfig := processConfig
	workerConfig.ExecutorFor = workerExecutor
	if p.IdleConns > 0 {
		processConfig.Descriptors += 2 * p.IdleConns
		processConfig.MemoryMB = idleConnsMemoryMB
	}
	return faultinjection.Start(ctx, faultinjection.Config{
		ProcessConfig: processConfig,
		WorkerConfig:  workerConfig,
		Planners:      p.Planners,
		Forwarders:    p.Forwarders,
		Workers:       p.Workers,
		Seed:          p.Seed,
		RunLog:        faultinjection.NewRunLog(),
		ProgramByName: p.ProgramByName,
		ExtraSettings: experimentSettings,
	})
}

// trial is the run of one variant.
type trial struct {
	plan    *Plan
	variant variant
	row     *Row
	fleet   *faultinjection.Fleet
	load    *faultinjection.Load
	random  *rand.Rand // for faults
}

// run runs one variant and adds its results to the row.
func (p *Plan) run(ctx context.Context, v variant, row *Row) error {
	fleet, err := p.startFleet(ctx)
	if err != nil {
		return err
	}
	defer fleet.Close()
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	t := &trial{
		plan:    p,
		variant: v,
		row:     row,
		fleet:   fleet,
		random:  rand.New(rand.NewPCG(p.Seed, faultStream)),
	}
	if err := t.preparePlanners(); err != nil {
		return err
	}
	t.load = fleet.StartLoad(loadContext, "")
	t.load.Classes = []string{faultinjection.PingClass, atMostOnceClass}
	if v == noKills {
		if err := t.measureHop(ctx); err != nil {
			return err
		}
		if err := t.measureMemory(); err != nil {
			return err
		}
	}
	t.setLoad()
	timing.Sleep(ctx, warmupTime)
	if err := t.measureLoad(ctx); err != nil {
		return err
	}
	stopLoad()
	t.load.Wait()
	return nil
}

// preparePlanners kills all planners in the local-only variant. In the others it waits until all
// forwarders have a plan.
func (t *trial) preparePlanners() error {
	if t.variant == localOnly {
		killPlanners(t.fleet)
		return nil
	}
	planned := func() bool { return len(t.fleet.Events("", planChanged)) >= t.plan.Forwarders }
	if !faultinjection.WaitUntil(planTimeout, planned) {
		return fmt.Errorf("not all forwarders received a load plan within %s", planTimeout)
	}
	return nil
}

// setLoad spreads the load unevenly over the forwarders.
func (t *trial) setLoad() {
	capacity := t.plan.capacity()
	forwarders := t.fleet.ForwarderNames()
	for i, name := range forwarders {
		t.load.SetRate(forwarderShare(i, len(forwarders))*t.plan.Load*capacity, name)
	}
}

// forwarderShare returns the share of the load of the forwarder at an index, of n forwarders.
func forwarderShare(index, n int) float64 {
	switch {
	case n == 1:
		return 1
	case index == 0:
		return firstForwarderShare
	default:
		return (1 - firstForwarderShare) / float64(n-1)
	}
}

// measureLoad injects faults for the plan's duration, waits for the requests in flight, and adds
// the results to the row.
func (t *trial) measureLoad(ctx context.Context) error {
	cpuBefore := t.forwarderCPUSeconds()
	sentBefore, finishedBefore, _ := t.load.Counts()
	sentBefore -= t.load.UnansweredCount() // requests in flight belong to the measurement
	if err := t.injectFaults(ctx); err != nil {
		return err
	}
	t.load.SetRate(0, t.fleet.Names...)
	faultinjection.WaitUntil(answerTimeout, func() bool { return t.load.UnansweredCount() == 0 })
	cpuUsed := t.forwarderCPUSeconds() - cpuBefore
	sent, finished, _ := t.load.Counts()
	finishedNow := finished - finishedBefore

	t.row.Requests += sent
	t.row.LateAnswers += t.load.LateCount()
	t.row.Unanswered += t.load.UnansweredCount()
	t.row.RepeatedRuns += t.fleet.RunLog.CountRepeated(atMostOnceClass)
	service := float64(finishedNow) / float64(max(1, sent-sentBefore))
	cpuMicros := 1e6 * cpuUsed / float64(max(1, finishedNow))
	return t.addResults(service, t.p99Millis(), cpuMicros)
}

// addResults sets the fields of the row that belong to this variant.
func (t *trial) addResults(service, p99, cpuMicros float64) error {
	row := t.row
	switch t.variant {
	case noKills:
		row.FinishedShareNoKills = service
		row.P99NoKills = p99
		row.ForwarderCPUMicros = cpuMicros
	case kills:
		row.FinishedShare = service
		row.P99 = p99
		row.Terms = len(t.fleet.Events("", plannerStarted))
		stale, err := t.countStalePlans()
		if err != nil {
			return err
		}
		row.StalePlans = stale
	case localOnly:
		row.FinishedShareLocalOnly = service
		row.P99LocalOnly = p99
	}
	return nil
}

// p99Millis returns the 99th percentile of the latencies of all finished requests.
func (t *trial) p99Millis() float64 {
	latencies := t.load.Latencies()
	if len(latencies) == 0 {
		return 0
	}
	return float64(latencies[len(latencies)*99/100].Microseconds()) / 1000
}
