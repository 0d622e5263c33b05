package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals that the process has caught and not handled yet.
type Signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
	report chan os.Signal // SIGUSR1
}

// CatchSignals catches the signals from now on; SIGHUP and SIGUSR1 never end the process. One that
// comes while another of its kind waits counts as that one.
func CatchSignals() Signals {
	s := Signals{
		stop:   make(chan os.Signal, 1),
		reload: make(chan os.Signal, 1),
		report: make(chan os.Signal, 1),
	}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	return s
}

// Handlers are what the process does at a signal. One that is nil has its signals ignored.
type Handlers struct {
	Stop   func() // leave and end
	Reload func() // read the configuration again
	Report func() // log the statistics
}

// Handle calls the handlers for signals from now on, and for those that were caught before. It
// returns at once.
func (s Signals) Handle(handlers Handlers) {
	go func() { // apart from the others, as it may wait for the event loop
		for range s.report {
			call(handlers.Report)
		}
	}()
	go func() {
		for {
			select {
			case <-s.stop:
				call(handlers.Stop)
			case <-s.reload:
				call(handlers.Reload)
			}
		}
	}()
}

func call(handler func()) {
	if handler != nil {
		handler()
	}
}
