// Package fleet is the node agent: one process's membership in its fleet, and its talk with the
// other processes.
//
// An Agent owns all fleet state of the process: the consensus voter, the server lease, the release
// that it acts on, and the concerns that the configuration asks for (replication, trust records,
// quotas, health of the service below, counters, load plans). It decides with the packages of
// internal/policy, has no goroutine and no clock, and is driven by messages and by time, so that a
// simulation can run it as well.
//
// A Node runs one Agent on a goroutine of its own and feeds it from the gossip network. The serving
// loop talks to the Node by methods that never block, and is handed immutable values
// (Config.Publish and the callbacks of the concerns). Nothing here delays a response.
//
// State flows one way: a message is decoded by the network's goroutine, handled by the Agent,
// turned into decisions in Tick, and published.
package fleet
