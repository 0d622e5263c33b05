// Package simulation runs fleets in simulated time, with the decision-making packages of real
// servers.
//
// Run simulates clients, balancers and servers with the faults of a Scenario; package admission
// makes the servers' decisions. RunRollout, RunQuota, RunCounters and RunTwoLevel simulate agents
// of package fleet over a network with faults: rollouts and key claims, a shared quota, counters,
// and forwarders with planners.
//
// The simulation uses no goroutines and no real clock, and all random numbers come from the seed of
// a run, so the same plan gives the same result. One goroutine owns a run and all its state;
// the Run functions may be called concurrently for different runs.
package simulation
