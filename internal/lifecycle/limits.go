// Package lifecycle is the process's interface to the operating system: the signals to stop, to
// reload the configuration and to log statistics, and the limits on processors, memory and open
// files.
//
// Package cli calls it when a server starts, and package config for the limit on open files.
package lifecycle

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
)

// pollThreads is the number of threads that the Go runtime gets in addition to the cores. The event
// loop blocks one thread while it waits for input, which must not delay timers.
const pollThreads = 1

// The fraction of the memory limit that the Go runtime gets as its soft limit, near which the
// garbage collector runs more often. The rest is for memory that the kernel charges to the process
// but that the Go runtime does not manage.
const (
	runtimeMemoryNumerator   = 7
	runtimeMemoryDenominator = 10
)

// ApplyLimits sets the Go runtime's limits for a process that may use a number of cores and of
// bytes of memory.
func ApplyLimits(cores float64, memoryBytes int64) {
	runtime.GOMAXPROCS(int(math.Ceil(cores)) + pollThreads)
	debug.SetMemoryLimit(memoryBytes * runtimeMemoryNumerator / runtimeMemoryDenominator)
}

// MaxOpenFiles returns the maximum number of open file descriptors of the process, or math.MaxInt32
// if the limit can't be read.
func MaxOpenFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
