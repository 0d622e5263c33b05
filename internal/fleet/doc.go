// Package fleet is the node agent: it makes one process a member of its fleet, and exchanges
// messages with the other processes.
//
// An Agent owns all fleet state of the process: the consensus voter, the server lease, the active
// release, and the optional components that the configuration enables (replication, trust records,
// quotas, health of the downstream service, counters, load plans). It decides with the packages of
// internal/policy, has no goroutine and no clock, and is driven by messages and by time, so that a
// simulation can run it as well.
//
// A Node runs one Agent on a goroutine of its own and feeds it from the gossip network. The serving
// loop, which is outside of this package and responds to clients, calls methods of the Node that
// never block, and receives immutable values by callbacks (Config.Publish and those of the
// components). It never waits for the agent.
//
// State flows one way: a message is decoded by the network's goroutine, handled by the Agent,
// turned into decisions in Tick, and published.
package fleet
