package main

import (
	"os"

	"swiftcourse/internal/bench/idleconns"
)

// holdCommand holds idle connections. The idle experiment starts it as a separate process.
type holdCommand struct {
	Addr        string `arg:"" name:"addr"` // of the server
	Connections int    `arg:"" name:"n"`    // number of connections
	HonorClose  bool   `name:"heeds"`       // close a connection on a go-away message
}

// Run holds connections until its standard input ends.
func (c *holdCommand) Run() error {
	return idleconns.ServeHolder(os.Stdin, os.Stdout, c.Addr, c.Connections, c.HonorClose)
}
