// Package faultinjection is the harness of tests and experiments with several processes of the real
// program: relays between every two of them that lose, delay, duplicate, slow down and cut, each
// direction apart; kills, pauses and restarts; clocks that are off. Random draws of the relays come
// from a seed.
//
// A Fleet owns its processes and its Network. What the program did is observed independently of
// its own counters: by the log events that a Fleet records, the finished requests of a Load, and
// the runs that the fake executors enter in a RunLog. All methods may be called from any goroutine,
// but the processes of a fleet are started and ended by one.
package faultinjection
