// Package fleet implements the node agent, which makes one process a member of its fleet and
// exchanges messages with the other processes.
//
// An Agent owns the fleet state of its process: the consensus voter, the server lease, the active
// release, and the optional components that the configuration enables (replication, trust records,
// quotas, health of the downstream service, counters, load plans). It makes its decisions with the
// packages of internal/policy. It starts no goroutine and reads the time only from Config.Clock;
// messages and ticks drive it, so that it also runs in a simulation.
//
// A Node runs one Agent on a dedicated goroutine and passes it the messages from the gossip network.
// The serving loop, which responds to clients and is outside of this package, calls methods of the
// Node that never block, and receives immutable values through callbacks (Config.Publish and those
// of the components). It never waits for the agent.
//
// Data flows in one direction: the network's goroutine decodes a message, the Agent handles it,
// Tick makes the decisions, and the agent publishes the results.
package fleet
