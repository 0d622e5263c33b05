package main

import (
	"os"

	"swiftcourse/internal/bench/idleconns"
)

// holdCommand is started by the idle experiment: a process that holds idle connections.
type holdCommand struct {
	Addr  string `arg:""` // of the server
	N     int    `arg:""` // connections to hold
	Heeds bool   // close a connection when the server asks for it
}

// Run holds connections until its standard input ends.
func (c *holdCommand) Run() error {
	return idleconns.ServeHolder(os.Stdin, os.Stdout, c.Addr, c.N, c.Heeds)
}
