package main

import (
	"fmt"
	"io"
	"os"
)

// serverFlags select the server binary under test.
type serverFlags struct {
	Server string `help:"Path of the server binary." default:"bin/swiftcourse" type:"path"`
}

// logFlags select whether the logs of the processes under test are shown.
type logFlags struct {
	Log bool `help:"Write the logs of the processes to standard error."`
}

// writer returns the destination of the logs, or nil to discard them.
func (f logFlags) writer() io.Writer {
	if f.Log {
		return os.Stderr
	}
	return nil
}

// outputFlags select the output in addition to the table on standard output.
type outputFlags struct {
	JSON string `name:"json" help:"File to which the rows are written, as a JSON array." type:"path"`
}

// seedFlags select the seeds of an experiment.
type seedFlags struct {
	Seed  uint64 `help:"First seed." default:"1"`
	Seeds int    `help:"Number of consecutive seeds to run." default:"1"`
}

const (
	// maxProcessSeeds bounds the number of seeds of an experiment with real processes, and of the
	// command emulate.
	maxProcessSeeds = 1000
	// maxSimulatedSeeds bounds the number of seeds of the other simulations.
	maxSimulatedSeeds = 10_000
)

// checkSeeds returns an error unless the number of seeds is from 1 to limit.
func checkSeeds(seeds, limit int) error {
	if seeds < 1 || seeds > limit {
		return fmt.Errorf("--seeds %d: must be from 1 to %d", seeds, limit)
	}
	return nil
}
