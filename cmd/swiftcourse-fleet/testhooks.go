package main

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
)

// The environment variables with which fault tests inject faults into a process that they start.
// They are not set in deployments.
const (
	// testClockVariable has the form OFFSET,RATE: the agent's time of day is off by OFFSET seconds,
	// and its clock advances by RATE seconds per second of the process's clock.
	testClockVariable = "SWIFTCOURSE_TEST_CLOCK"
	// testRelaysVariable has the form ADDRESS=RELAY,...: the process connects to each ADDRESS
	// through a RELAY, which can cut the connection.
	testRelaysVariable = "SWIFTCOURSE_TEST_VIA"
	// testKillVariable has the form POINT,N,SECONDS: the process kills itself when it passes the
	// fleet.TracePoint named POINT for the Nth time, not counting its first SECONDS seconds. A
	// value of another form has no effect.
	testKillVariable = "SWIFTCOURSE_TEST_DIE"
)

// testHooks are the faults to inject into a process under test. Without the variables there are
// none.
type testHooks struct {
	clockOffset float64 // seconds
	clockRate   float64
	relays      map[string]string      // address of the relay, by the address to which it connects
	tracePoint  func(fleet.TracePoint) // nil for none
}

// loadTestHooks reads the environment variables. It returns a *config.FieldError for an invalid
// clock.
func loadTestHooks() (*testHooks, error) {
	hooks := &testHooks{
		clockRate:  1,
		relays:     parseRelays(os.Getenv(testRelaysVariable)),
		tracePoint: killAtTracePoint(os.Getenv(testKillVariable), time.Now()),
	}
	text := os.Getenv(testClockVariable)
	if text == "" {
		return hooks, nil
	}
	offset, rate, _ := strings.Cut(text, ",")
	var offsetErr, rateErr error
	hooks.clockOffset, offsetErr = strconv.ParseFloat(offset, 64)
	hooks.clockRate, rateErr = strconv.ParseFloat(rate, 64)
	if errors.Join(offsetErr, rateErr) != nil || hooks.clockRate <= 0 {
		return nil, &config.FieldError{
			Key:    testClockVariable,
			Value:  text,
			Reason: "is not of the form OFFSET,RATE with a RATE over 0",
		}
	}
	return hooks, nil
}

// newClock returns the agent's clock. It starts at the current time of now, the process's clock.
func (h *testHooks) newClock(now func() float64) *fleet.Clock {
	return fleet.NewClock(now, now(), h.clockOffset, h.clockRate)
}

// translateAddr returns the address of the relay for an address, or the address itself if it has
// none.
func (h *testHooks) translateAddr(addr string) string {
	if relay, found := h.relays[addr]; found {
		return relay
	}
	return addr
}

// parseRelays parses the value of testRelaysVariable into a map from addresses to relays.
func parseRelays(text string) map[string]string {
	relays := map[string]string{}
	if text == "" {
		return relays
	}
	for pair := range strings.SplitSeq(text, ",") {
		addr, relay, _ := strings.Cut(pair, "=")
		relays[addr] = relay
	}
	return relays
}

// killAtTracePoint returns the hook that kills the process as described by text, the value of
// testKillVariable, or nil if the text has another form.
func killAtTracePoint(text string, started time.Time) func(fleet.TracePoint) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil
	}
	name := parts[0]
	passes, passesErr := strconv.Atoi(parts[1])
	seconds, secondsErr := strconv.ParseFloat(parts[2], 64)
	if passesErr != nil || secondsErr != nil {
		return nil
	}
	return func(point fleet.TracePoint) {
		if point.String() != name || time.Since(started).Seconds() < seconds {
			return
		}
		passes--
		if passes == 0 {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // a process may always signal itself
		}
	}
}
