package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals has the signals that the process has caught and not handled yet.
type Signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
	report chan os.Signal // SIGUSR1
}

// CatchSignals catches the signals from now on, so that none of them ends the process by itself. A
// signal that arrives while another of its kind is pending is dropped.
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

// Handlers are the functions that signals call. Signals whose handler is nil are ignored.
type Handlers struct {
	Stop   func() // shut down gracefully
	Reload func() // read the configuration again
	Report func() // log the statistics
}

// Handle starts to call the handlers, for signals that were already caught too, and returns at once.
func (s Signals) Handle(handlers Handlers) {
	go func() { // on a goroutine of its own, as Report may wait for the event loop
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
