// Command swiftcourse-fleet is the server with a fleet agent: it serves like swiftcourse, which
// becomes this program where a fleet is configured, and it forwards, plans and operates a fleet.
//
// The program only connects the parts. The server's event loop owns what it serves by, the fleet
// agent's goroutine owns what it knows of the fleet; values pass between them by the callbacks that
// are set here, in one file for each concern.
package main

import "swiftcourse/internal/cli"

func main() { cli.Main(&fleetProgram{}) }
