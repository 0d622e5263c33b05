// Package cli implements the command line of the server: it reads the configuration, starts the
// server and connects the process's signals to it.
//
// Two programs use it. The swiftcourse program has no fleet agent, so that a server without a fleet
// does not keep the agent's libraries in memory. If the configuration or a command requires a
// fleet, it executes swiftcourse-fleet, which implements Fleet, in its place. The server owns its
// state; this package only calls the server.
package cli
