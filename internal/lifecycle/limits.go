// Package lifecycle ties the process to the operating system: the signals that stop it, have it
// reload its configuration or ask for its statistics, and the limits on processors, memory and open
// files.
//
// Package cli calls it when a server starts; package config asks it for the limit on open files.
package lifecycle

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
)

// pollThreads is how many threads the Go runtime gets beyond the cores: the event loop blocks one
// while it waits for input, which must not delay timers.
const pollThreads = 1

// The fraction of the memory that the Go runtime may use, beyond which the garbage collector works
// harder. The rest is for what the kernel accounts to the process besides.
const (
	runtimeMemoryNumerator   = 7
	runtimeMemoryDenominator = 10
)

// ApplyLimits sets the Go runtime's limits for a process with a number of cores and of bytes of
// memory.
func ApplyLimits(cores float64, memoryBytes int64) {
	runtime.GOMAXPROCS(int(math.Ceil(cores)) + pollThreads)
	debug.SetMemoryLimit(memoryBytes * runtimeMemoryNumerator / runtimeMemoryDenominator)
}

// MaxOpenFiles returns how many file descriptors the process may have open, or math.MaxInt32 where
// the limit can't be read.
func MaxOpenFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
