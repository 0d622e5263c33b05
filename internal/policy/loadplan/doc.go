// Package loadplan computes, for a fleet of forwarders, how each distributes its requests over the
// workers, and how many requests of each tenant it admits when demand exceeds capacity.
//
// The voter that leads the fleet's consensus group makes the plans, with a Planner for its term. A
// forwarder sends it a Report every ReportIntervalSeconds, stamped by its Subscriber, and is answered
// with an Assignment: its share of the plan.
//
// Invariant: a forwarder never goes back to an older plan. An assignment is leased, by the
// forwarder's own clock, from the moment of the report that it answers, and carries a Version that
// is ordered by the leadership term of its planner. So a planner whose term is over, or one that
// restarts, has no assignment that a forwarder would still accept.
//
// The package has no I/O, no clock and no goroutine. A Planner or Subscriber belongs to the
// goroutine of the node agent. Times are float seconds by the caller's clock; rates and capacities
// are requests per second.
package loadplan
