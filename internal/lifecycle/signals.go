package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals holds the signals that the process has caught but not handled yet.
type Signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
	report chan os.Signal // SIGUSR1
}

// CatchSignals starts to catch the signals, so that none of them ends the process by default. A
// signal is dropped if one for the same handler is already pending.
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

// Handlers are the functions to call on signals. A signal whose handler is nil is ignored.
type Handlers struct {
	Stop   func() // shut down gracefully
	Reload func() // read the configuration again
	Report func() // log the statistics
}

// Handle starts to call the handlers, also for signals already caught, and returns immediately.
func (s Signals) Handle(handlers Handlers) {
	go func() { // on a separate goroutine, as Report may block on the event loop
		for range s.report {
			callIfSet(handlers.Report)
		}
	}()
	go func() {
		for {
			select {
			case <-s.stop:
				callIfSet(handlers.Stop)
			case <-s.reload:
				callIfSet(handlers.Reload)
			}
		}
	}()
}

func callIfSet(handler func()) {
	if handler != nil {
		handler()
	}
}
