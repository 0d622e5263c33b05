package idleconns

import (
	"context"
	"time"

	"swiftcourse/internal/bench/loadgen"
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/bench/timing"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/simulator"
)

const (
	className      = "ping"
	executorCores  = 4
	serverMemoryMB = 192
	stopTimeout    = 5 * time.Second
	// maxDescriptors bounds the descriptor limit in the configuration of a server.
	maxDescriptors = 1 << 20

	requestTimeout = 2 * time.Second
	requestBytes   = 100
	// loadWarmup is the time between the start of the load and the start of the measurement.
	loadWarmup = 300 * time.Millisecond
)

// fixture holds the servers of one measurement and the processes with idle connections to them.
type fixture struct {
	plan      *Plan
	servers   []*process.Server
	addresses []string
	holders   []*Holder
	seed      uint64 // seed of the latest load
}

// settings returns settings with one class and no tenants.
func settings(idleTimeout time.Duration) simulator.Settings {
	settings := process.BaseSettings(simulator.Class{Name: className, Idempotency: "idempotent", TimeoutMs: 5000,
		SoftDeadlineMs: 2000, Value: 1, LateValue: 0.5})
	settings.Deployment.IdleTimeoutMs = float64(idleTimeout.Milliseconds())
	return settings
}

// startFixture starts the servers.
func (p *Plan) startFixture(ctx context.Context, idleTimeout time.Duration) (*fixture, error) {
	limit, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	servers, err := process.Start(ctx, p.Servers, process.Config{
		Program:     p.Program,
		CPU:         p.CPU,
		Cores:       1,
		MemoryMB:    serverMemoryMB,
		Descriptors: int(min(limit, maxDescriptors)),
		StopTimeout: stopTimeout,
		Settings:    settings(idleTimeout),
		Executor:    executor.Config{Cores: executorCores, Gauges: process.RunningGauges(executorCores)},
	})
	if err != nil {
		return nil, err
	}
	f := &fixture{plan: p, servers: servers}
	for _, s := range servers {
		f.addresses = append(f.addresses, s.Addr)
	}
	return f, nil
}

func (f *fixture) close() {
	f.closeIdleConns()
	process.CloseAll(f.servers)
}

// startLoad starts the load on the busy connections.
func (f *fixture) startLoad(ctx context.Context) (*loadgen.Generator, error) {
	f.seed++
	return loadgen.Start(ctx, loadgen.Config{
		Addresses:      f.addresses,
		ConnsPerServer: f.plan.BusyConns,
		Rate:           f.plan.Rate,
		Class:          className,
		Timeout:        requestTimeout,
		BodyBytes:      requestBytes,
		Seed:           f.seed,
		HealthChecks:   f.plan.HealthChecks,
	})
}

// measureLoad runs the load for the plan's Seconds, after a warm-up, and returns its statistics
// without the warm-up.
func (f *fixture) measureLoad(ctx context.Context) (loadgen.Stats, error) {
	load, err := f.startLoad(ctx)
	if err != nil {
		return loadgen.Stats{}, err
	}
	timing.Sleep(ctx, loadWarmup)
	load.TakeStats()
	timing.Sleep(ctx, timing.Seconds(f.plan.Seconds))
	return load.Stop(), ctx.Err()
}

// openIdleConns opens n idle connections, spread evenly over the servers.
func (f *fixture) openIdleConns(ctx context.Context, n int) error {
	for i, s := range f.servers {
		share := (n + i) / len(f.servers)
		if share == 0 {
			continue
		}
		holder, err := StartHolder(ctx, s.Addr, share, f.plan.HonorClose)
		if err != nil {
			return err
		}
		f.holders = append(f.holders, holder)
	}
	for _, holder := range f.holders {
		if err := holder.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// closeIdleConns closes the idle connections.
func (f *fixture) closeIdleConns() {
	for _, holder := range f.holders {
		holder.Close()
	}
	f.holders = nil
}

// countOpenIdle returns the number of open idle connections.
func (f *fixture) countOpenIdle() (int, error) {
	open := 0
	for _, holder := range f.holders {
		counts, err := holder.Counts()
		if err != nil {
			return 0, err
		}
		open += counts.Open
	}
	return open, nil
}

// usage is the resource usage of all servers together.
type usage struct {
	resident      float64 // bytes
	heap          float64 // bytes
	timers        float64
	longestTurnMs float64 // longest turn of any server's event loop since the previous usage was read
	cpuSeconds    float64
}

// readUsage reads the servers' statistics, which resets them, and the memory and CPU time of their
// processes from the operating system.
func (f *fixture) readUsage() (usage, error) {
	var total usage
	for _, s := range f.servers {
		if f.plan.Statistics {
			statistics, err := s.Statistics()
			if err != nil {
				return total, err
			}
			total.heap += 1024 * statistics.Number("heap_kb")
			total.timers += statistics.Number("timers")
			total.longestTurnMs = max(total.longestTurnMs, statistics.Number("turn_ms"))
		}
		resident, err := s.ResidentBytes()
		if err != nil {
			return total, err
		}
		total.resident += float64(resident)
	}
	cpuSeconds, err := f.cpuSeconds()
	total.cpuSeconds = cpuSeconds
	return total, err
}

// cpuSeconds returns the CPU time that all servers have used together.
func (f *fixture) cpuSeconds() (float64, error) {
	total := 0.0
	for _, s := range f.servers {
		used, err := s.CPUSeconds()
		if err != nil {
			return total, err
		}
		total += used
	}
	return total, nil
}
