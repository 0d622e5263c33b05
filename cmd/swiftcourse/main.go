// Command swiftcourse is the server. It accepts connections from load balancers and decides with
// package admission which requests run, and when. If a fleet is configured, it executes
// swiftcourse-fleet in its place.
package main

import "swiftcourse/internal/cli"

func main() { cli.Main(nil) }
