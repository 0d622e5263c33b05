// Package lifecycle is the process's interface to the operating system: the signals to stop, to
// reload the configuration and to log statistics, and the limits on processors, memory and open
// files.
//
// Package cli calls it when a server starts, and package config for the limit on open files.
package lifecycle

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
)

// pollThreads is the number of threads that the Go runtime gets in addition to the cores. The event
// loop blocks one thread while it waits for input, which must not delay timers.
const pollThreads = 1

// The part of the memory limit that the Go runtime gets as its soft limit, near which the garbage
// collector runs more often: this fraction at most, and no more than the pages of files and a reserve
// leave. The rest is for memory that the kernel charges to the process but that the Go runtime does
// not manage, such as the program itself.
const (
	runtimeMemoryNumerator   = 7
	runtimeMemoryDenominator = 10
	// reservedMemoryDivisor is the divisor of the memory limit that gives the reserve.
	reservedMemoryDivisor = 16
	// minRuntimeMemoryDivisor is the divisor that gives the least soft limit. With less the garbage
	// collector would take most of the processor's time.
	minRuntimeMemoryDivisor = 4
)

// ApplyLimits sets the Go runtime's limits for a process that may use a number of cores and of
// bytes of memory.
func ApplyLimits(cores float64, memoryBytes int64) {
	runtime.GOMAXPROCS(int(math.Ceil(cores)) + pollThreads)
	_, files := ResidentMemory()
	debug.SetMemoryLimit(runtimeMemoryLimit(memoryBytes, files))
}

// runtimeMemoryLimit returns the Go runtime's soft limit for a process with a memory limit, of which
// pages of files take fileBytes.
func runtimeMemoryLimit(memoryBytes, fileBytes int64) int64 {
	limit := memoryBytes * runtimeMemoryNumerator / runtimeMemoryDenominator
	limit = min(limit, memoryBytes-fileBytes-memoryBytes/reservedMemoryDivisor)
	return max(limit, memoryBytes/minRuntimeMemoryDivisor)
}

// ResidentMemory returns the resident memory of the process in bytes, and the part of it that is pages of
// files, mostly of the program. Both are 0 if they can't be read.
func ResidentMemory() (resident, files int64) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, 0
	}
	var sizePages, residentPages, filePages int64
	if _, err := fmt.Sscan(string(text), &sizePages, &residentPages, &filePages); err != nil {
		return 0, 0
	}
	pageBytes := int64(os.Getpagesize())
	return residentPages * pageBytes, filePages * pageBytes
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
