package main

import (
	"fmt"
	"io"
	"os"
)

// serverFlags name the program under test.
type serverFlags struct {
	Server string `help:"The server's program." default:"bin/swiftcourse" type:"path"`
}

// logFlags choose whether the logs of the processes under test are shown.
type logFlags struct {
	Log bool `help:"Show the logs of the processes too."`
}

// writer returns where the logs go, nil for nowhere.
func (f logFlags) writer() io.Writer {
	if f.Log {
		return os.Stderr
	}
	return nil
}

// outputFlags choose where rows go beside the table.
type outputFlags struct {
	JSON string `name:"json" help:"File for the rows, as an array." type:"path"`
}

// seedFlags choose the seeds of an experiment.
type seedFlags struct {
	Seed  uint64 `help:"The first seed." default:"1"`
	Seeds int    `help:"How many seeds are run, one after the other." default:"1"`
}

const (
	// maxProcessSeeds bounds the seeds of experiments with real processes.
	maxProcessSeeds = 1000
	// maxSimulatedSeeds bounds the seeds of experiments in simulated time.
	maxSimulatedSeeds = 10_000
)

// checkSeeds returns an error if the number of seeds is not from 1 to limit.
func checkSeeds(seeds, limit int) error {
	if seeds < 1 || seeds > limit {
		return fmt.Errorf("--seeds %d: from 1 to %d", seeds, limit)
	}
	return nil
}
