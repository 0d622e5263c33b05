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

// The environment variables by which fault tests disturb a process that they start. No deployment
// sets them.
const (
	// testClockVariable is OFFSET,RATE: the agent's time of day is wrong by OFFSET seconds, and its
	// clock runs RATE seconds for each second of the process's.
	testClockVariable = "SWIFTCOURSE_TEST_CLOCK"
	// testRelaysVariable is ADDRESS=RELAY,...: the process reaches others through relays, which can
	// cut it off from them.
	testRelaysVariable = "SWIFTCOURSE_TEST_VIA"
	// testKillVariable is POINT,N,SECONDS: the process kills itself when it passes the
	// fleet.TracePoint of that name for the Nth time after its first seconds. Another form of value
	// has no effect.
	testKillVariable = "SWIFTCOURSE_TEST_DIE"
)

// testHooks are the disturbances of a process under test; without the variables there are none.
type testHooks struct {
	clockOffset float64 // seconds
	clockRate   float64
	relays      map[string]string      // by the address of the process behind them
	tracePoint  func(fleet.TracePoint) // nil for none
}

// loadTestHooks reads the environment. It returns a *config.FieldError for a clock that can't be
// read.
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
		return nil, &config.FieldError{Key: testClockVariable, Value: text, Reason: "is not OFFSET,RATE"}
	}
	return hooks, nil
}

// newClock returns the agent's clock, which starts with the process's.
func (h *testHooks) newClock(now func() float64) *fleet.Clock {
	return fleet.NewClock(now, now(), h.clockOffset, h.clockRate)
}

// translateAddr returns the relay before an address, or the address itself if there is none.
func (h *testHooks) translateAddr(addr string) string {
	if relay, found := h.relays[addr]; found {
		return relay
	}
	return addr
}

// parseRelays reads the relays by address.
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

// killAtTracePoint returns a hook that kills the process, nil if the text does not ask for it.
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
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // it can't fail for the process itself
		}
	}
}
