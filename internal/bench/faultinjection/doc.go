// Package faultinjection runs fleets of real processes for tests and experiments and injects
// faults. Relays between each pair of processes can lose, delay, duplicate, throttle and cut the
// traffic of each direction separately. Processes can be killed, paused, restarted and given skewed
// clocks. The random decisions of the relays come from a seed.
//
// A Fleet owns its processes and its Network. The program is observed independently of its own
// counters: by the log events that a Fleet records, by the responses to a Load, and by the runs
// that the fake executors record in a RunLog. All methods may be called from any goroutine, but the
// processes of a fleet must be started and ended by one goroutine at a time.
package faultinjection
