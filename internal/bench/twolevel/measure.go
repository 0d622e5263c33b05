package twolevel

import (
	"context"
	"fmt"

	"swiftcourse/internal/fake/balancer"
)

const (
	hopRequests = 300
	bytesPerMB  = 1 << 20
)

// measureHop measures the latency that a forwarder adds: it sends sequential requests directly to a
// worker and through a forwarder, and subtracts the percentiles.
func (t *trial) measureHop(ctx context.Context) error {
	direct, err := t.fleet.MeasureSequential(ctx, t.fleet.WorkerServers[0].Addr, hopRequests)
	if err != nil {
		return err
	}
	forwarder := t.fleet.Server(t.fleet.ForwarderNames()[0])
	forwarded, err := t.fleet.MeasureSequential(ctx, forwarder.Addr, hopRequests)
	if err != nil {
		return err
	}
	added := func(percent int) float64 {
		difference := forwarded[len(forwarded)*percent/100] - direct[len(direct)*percent/100]
		return float64(difference.Microseconds())
	}
	t.row.HopP50 = added(50)
	t.row.HopP99 = added(99)
	return nil
}

// measureMemory measures the resident memory of the first forwarder without and with idle
// connections.
func (t *trial) measureMemory() error {
	forwarder := t.fleet.Server(t.fleet.ForwarderNames()[0])
	before, err := forwarder.ResidentBytes()
	if err != nil {
		return err
	}
	t.row.ForwarderMB = float64(before) / bytesPerMB
	n := t.plan.IdleConns
	if n == 0 {
		return nil
	}
	idle, err := balancer.OpenIdle(forwarder.Addr, n, false)
	if err != nil {
		return err
	}
	defer idle.Close()
	after, err := forwarder.ResidentBytes()
	if err != nil {
		return err
	}
	t.row.ForwarderIdleMB = float64(after) / bytesPerMB
	if open := idle.Len(); open < n*9/10 {
		return fmt.Errorf("%d of %d idle connections are open, want at least nine tenths", open, n)
	}
	return nil
}

// forwarderCPUSeconds returns the CPU time used by all running forwarders.
func (t *trial) forwarderCPUSeconds() float64 {
	total := 0.0
	for _, name := range t.fleet.ForwarderNames() {
		if used, err := t.fleet.Server(name).CPUSeconds(); err == nil {
			total += used
		}
	}
	return total
}
