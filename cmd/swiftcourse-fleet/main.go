// Command swiftcourse-fleet is the server with a fleet agent. It serves like swiftcourse, which
// executes this program in its place if a fleet is configured. It also runs forwarders and load
// planners, and has the commands to operate a fleet.
//
// This package only connects the parts. The server's event loop owns the state of the server, and
// the fleet agent's goroutine owns the state of the fleet. They exchange values through callbacks
// that are set here, in one file per concern.
package main

import "swiftcourse/internal/cli"

func main() { cli.Main(&fleetProgram{}) }
