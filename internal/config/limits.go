package config

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
)

// ApplyLimits has the Go runtime keep to the limits that the server was told.
func ApplyLimits(s *Startup) {
	// One more than the cores: the loop's wait for input keeps one, and timers must not wait for it.
	runtime.GOMAXPROCS(int(math.Ceil(s.Cores)) + 1)
	// The collector works harder from here; the rest is for stacks, and for what the kernel counts to us.
	debug.SetMemoryLimit(s.MemoryBytes * 7 / 10)
}

// Signals are the notices to leave, those that the configuration has changed, and questions for the counts.
type Signals struct{ stop, reload, report chan os.Signal }

// CatchSignals takes the signals from now on; SIGHUP and SIGUSR1 never end the process. One that comes while another of its
// kind waits is one with it: the file is read after both.
func CatchSignals() Signals {
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	return s
}

// Handle has the signals do something, those that came before too.
func (s Signals) Handle(leave, reload, tell func()) {
	go func() { // of its own, as it may wait for the loop
		for range s.report {
			tell()
		}
	}()
	go func() {
		for {
			select {
			case <-s.stop:
				leave()
			case <-s.reload:
				reload()
			}
		}
	}()
}
