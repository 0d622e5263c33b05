package consensus

import "fmt"

// discardLogger is a raft.Logger that drops all messages except the fatal ones. The owner of a
// voter logs the events that matter to an operator. The raft core calls Fatal and Panic only in
// states that result from a bug, and expects them not to return.
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
