package consensus

import "fmt"

// discardLogger drops what the raft core logs: the owner of a voter logs what matters to an
// operator. A state that the raft core can't go on from is a fault of this program and ends in a
// panic, as the raft core means it.
type discardLogger struct{}

// Debug drops the message.
func (discardLogger) Debug(...any) {}

// Debugf drops the message.
func (discardLogger) Debugf(string, ...any) {}

// Info drops the message.
func (discardLogger) Info(...any) {}

// Infof drops the message.
func (discardLogger) Infof(string, ...any) {}

// Warning drops the message.
func (discardLogger) Warning(...any) {}

// Warningf drops the message.
func (discardLogger) Warningf(string, ...any) {}

// Error drops the message.
func (discardLogger) Error(...any) {}

// Errorf drops the message.
func (discardLogger) Errorf(string, ...any) {}

// Fatal panics with the message.
func (discardLogger) Fatal(values ...any) { panic(fmt.Sprint(values...)) }

// Fatalf panics with the message.
func (discardLogger) Fatalf(format string, values ...any) {
	panic(fmt.Sprintf(format, values...))
}

// Panic panics with the message.
func (discardLogger) Panic(values ...any) { panic(fmt.Sprint(values...)) }

// Panicf panics with the message.
func (discardLogger) Panicf(format string, values ...any) {
	panic(fmt.Sprintf(format, values...))
}
