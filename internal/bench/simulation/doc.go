// Package simulation runs fleets in simulated time. Their decisions are made by the packages that
// real servers run.
//
// Run simulates clients, balancers and servers whose decisions are made by package admission
// itself, with the failures of a Scenario. RunRollout, RunQuota, RunCounters and RunTwoLevel
// simulate the agents of package fleet over a network with faults: rollouts and key claims, a
// shared quota, counters, and forwarders with planners.
//
// There is no goroutine and no real clock in it, and all random draws come from the seed of a run,
// so that the same plan gives the same result. One goroutine owns a run and all its state; the Run
// functions may be called at the same time for different runs.
package simulation
