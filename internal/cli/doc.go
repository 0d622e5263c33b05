// Package cli is the command line of the server and its wiring: it reads the configuration, starts
// the server and hands it the process's signals.
//
// Two programs call it. The swiftcourse program has no fleet agent, whose libraries a server without
// a fleet must not carry in its memory; it becomes swiftcourse-fleet, which implements Fleet, where
// the configuration or a command asks for a fleet. The server itself stays the owner of its state:
// cli only calls it.
package cli
