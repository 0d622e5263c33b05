// Package lifecycle ties the process to the operating system: the signals that stop it, have it
// reload its configuration or ask for its statistics, and the limits on processors, memory and open
// files.
//
// It holds nothing of the server. The command line calls it at the start, and config asks it for
// the limit on open files.
package lifecycle

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
)

// pollThreads is how many threads the Go runtime gets beyond the cores: the event loop's wait for
// input keeps one, and timers must not wait for it.
const pollThreads = 1

// The heap's part of the memory, heapNumerator of heapDenominator. The collector works harder from
// there on; the rest is for stacks, and for what the kernel counts to the process.
const (
	heapNumerator   = 7
	heapDenominator = 10
)

// ApplyLimits has the Go runtime keep to a number of cores and of bytes of memory.
func ApplyLimits(cores float64, memoryBytes int64) {
	runtime.GOMAXPROCS(int(math.Ceil(cores)) + pollThreads)
	debug.SetMemoryLimit(memoryBytes * heapNumerator / heapDenominator)
}

// MaxOpenFiles returns how many file descriptors the process may have, and math.MaxInt32 where the
// system does not tell.
func MaxOpenFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
