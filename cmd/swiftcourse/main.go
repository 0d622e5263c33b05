// Command swiftcourse is the server: it serves balancers on a socket and decides by package admission
// which requests run, and when. It becomes swiftcourse-fleet where a fleet is configured.
package main

import "swiftcourse/internal/cli"

func main() { cli.Main(nil) }
