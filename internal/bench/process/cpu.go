package process

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	// ticksPerSecond is the number of clock ticks per second in /proc, which is 100 on every Linux.
	ticksPerSecond = 100
	// userTicks and systemTicks are the positions of the CPU times in /proc/PID/stat, counted from
	// 0 after the process's name.
	userTicks   = 11
	systemTicks = 12
)

// startOnCPU starts a process that runs on the given CPU only: the process inherits the CPU
// affinity of the thread that starts it. A negative CPU sets no affinity.
func startOnCPU(cpu int, start func() error) error {
	if cpu < 0 {
		return start()
	}
	done := make(chan error)
	go func() {
		runtime.LockOSThread() // never unlocked, so the runtime ends the thread with the goroutine
		var set unix.CPUSet
		set.Set(cpu)
		if err := unix.SchedSetaffinity(0, &set); err != nil {
			done <- fmt.Errorf("set CPU affinity of a server to CPU %d: %w", cpu, err)
			return
		}
		done <- start()
	}()
	return <-done
}

// AvoidCPU keeps this process, and processes that it starts later, off the servers' CPU, so that
// they do not disturb the measurement. It does nothing if the CPU is negative, or if this process
// may run on no other CPU.
func AvoidCPU(cpu int) error {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return fmt.Errorf("read CPU affinity of this process: %w", err)
	}
	if cpu < 0 || !set.IsSet(cpu) || set.Count() < 2 {
		return nil
	}
	set.Clear(cpu)
	threads, err := os.ReadDir("/proc/self/task") // threads that are started later inherit the affinity
	if err != nil {
		return err
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			return err
		}
		err = unix.SchedSetaffinity(id, &set)
		if err != nil && !errors.Is(err, unix.ESRCH) { // ESRCH: the thread has ended
			return fmt.Errorf("set CPU affinity of thread %d: %w", id, err)
		}
	}
	return nil
}

// Executable returns the path of the binary that the process runs, with symbolic links resolved. It
// differs from the configured path if that program has replaced itself by exec.
func (s *Server) Executable() (string, error) {
	return os.Readlink(fmt.Sprintf("/proc/%d/exe", s.command.Process.Pid))
}

// ResidentBytes returns the resident memory of the process.
func (s *Server) ResidentBytes() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	var total, resident int64 // pages
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		return 0, fmt.Errorf("parse /proc/PID/statm of server %s: %w", s.Name, err)
	}
	return resident * int64(os.Getpagesize()), nil
}

// PeakResidentBytes returns the largest resident memory that the process has had.
func (s *Server) PeakResidentBytes() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, fromPeak, _ := strings.Cut(string(text), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(fromPeak, &kilobytes); err != nil {
		return 0, fmt.Errorf("parse VmHWM in /proc/PID/status of server %s: %w", s.Name, err)
	}
	return kilobytes << 10, nil
}

// CPUSeconds returns the CPU time that the process has used.
func (s *Server) CPUSeconds() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, afterName, _ := strings.Cut(string(text), ") ") // the name may contain spaces
	fields := strings.Fields(afterName)
	if len(fields) <= systemTicks {
		return 0, fmt.Errorf("/proc/PID/stat of server %s: got %d fields after the name, want more than %d",
			s.Name, len(fields), systemTicks)
	}
	user, userErr := strconv.ParseFloat(fields[userTicks], 64)
	system, systemErr := strconv.ParseFloat(fields[systemTicks], 64)
	return (user + system) / ticksPerSecond, errors.Join(userErr, systemErr)
}
