// Command swiftcourse is the real server: it serves balancers on a socket and decides with package choice.
package main

import "swiftcourse/internal/cli"

func main() { cli.Main(nil) }
