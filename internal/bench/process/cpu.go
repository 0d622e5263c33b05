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
	// ticksPerSecond is the unit of process times in /proc: a hundredth of a second on every Linux.
	ticksPerSecond = 100
	// userTicks and systemTicks are positions in /proc/PID/stat after the process's name.
	userTicks   = 11
	systemTicks = 12
)

// startOnCPU starts a process that may use one CPU alone: it inherits the affinity of the thread that starts it.
// A negative CPU sets none.
func startOnCPU(cpu int, start func() error) error {
	if cpu < 0 {
		return start()
	}
	done := make(chan error)
	go func() {
		runtime.LockOSThread() // without unlocking, so that the thread ends with the goroutine
		var set unix.CPUSet
		set.Set(cpu)
		if err := unix.SchedSetaffinity(0, &set); err != nil {
			done <- fmt.Errorf("core %d: %w", cpu, err)
			return
		}
		done <- start()
	}()
	return <-done
}

// AvoidCPU keeps this process, and those that it starts afterwards, off the servers' CPU, so that they do not disturb
// the measurement. It changes nothing for a negative CPU or on a machine with no other.
func AvoidCPU(cpu int) error {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return fmt.Errorf("read CPU affinity: %w", err)
	}
	if cpu < 0 || !set.IsSet(cpu) || set.Count() < 2 {
		return nil
	}
	set.Clear(cpu)
	threads, err := os.ReadDir("/proc/self/task") // new threads inherit the affinity of these
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
			return fmt.Errorf("set CPU affinity: %w", err)
		}
	}
	return nil
}

// Executable returns the path of the binary that the process runs, with symbolic links resolved. It is
// another one than the configured path where that program replaced itself.
func (s *Server) Executable() (string, error) {
	return os.Readlink(fmt.Sprintf("/proc/%d/exe", s.command.Process.Pid))
}

// ResidentBytes returns the process's resident memory.
func (s *Server) ResidentBytes() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	var total, resident int64 // pages
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		return 0, fmt.Errorf("statm of %s: %w", s.Name, err)
	}
	return resident * int64(os.Getpagesize()), nil
}

// CPUSeconds returns the CPU time that the process has used, in seconds.
func (s *Server) CPUSeconds() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, afterName, _ := strings.Cut(string(text), ") ") // the name may hold blanks
	fields := strings.Fields(afterName)
	if len(fields) <= systemTicks {
		return 0, fmt.Errorf("stat of %s is cut off", s.Name)
	}
	user, userErr := strconv.ParseFloat(fields[userTicks], 64)
	system, systemErr := strconv.ParseFloat(fields[systemTicks], 64)
	return (user + system) / ticksPerSecond, errors.Join(userErr, systemErr)
}
