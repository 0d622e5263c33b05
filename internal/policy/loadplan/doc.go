// Package loadplan computes, for the forwarders of a fleet, how each distributes its requests over the
// workers, and how many requests of each tenant it admits when demand exceeds capacity.
//
// The voter that leads the fleet's consensus group makes the plans, with one Planner for each of its
// terms. A forwarder sends a Report every ReportIntervalSeconds, which its Subscriber has stamped, and
// receives an Assignment in reply: its share of the plan.
//
// Invariant: a forwarder never goes back to an older plan. Two rules ensure this. The lease of an
// assignment starts, on the forwarder's clock, when the forwarder sends the report that the assignment
// answers. And assignments carry a Version, which is ordered by the leadership term of the planner. So
// a forwarder that follows a newer plan accepts no assignment from a planner whose term is over or
// which has restarted.
//
// The package has no I/O, clock or goroutine. A Planner or Subscriber belongs to the goroutine of the
// node agent. Times are in seconds on the caller's clock; rates and capacities are in requests per
// second.
package loadplan
