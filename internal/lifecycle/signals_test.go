package lifecycle

import (
	"os"
	"syscall"
	"testing"
)

func TestSignals_HangupDoesNotEndProcess(t *testing.T) {
	signals := CatchSignals()
	self, _ := os.FindProcess(os.Getpid())
	for range 3 { // before the handlers are set
		_ = self.Signal(syscall.SIGHUP)
	}
	_ = self.Signal(syscall.SIGUSR1)
	stopped := make(chan bool, 9)
	reloaded := make(chan bool, 9)
	reported := make(chan bool, 9)
	signals.Handle(Handlers{
		Stop:   func() { stopped <- true },
		Reload: func() { reloaded <- true },
		Report: func() { reported <- true },
	})
	<-reported
	<-reloaded
	_ = self.Signal(syscall.SIGTERM)
	<-stopped
	_ = self.Signal(syscall.SIGHUP) // while stopping
	<-reloaded
}
