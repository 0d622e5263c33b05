package main

import (
	"testing"
	"time"

	"swiftcourse/internal/fleet"
)

func TestLoadTestHooks_NoneByDefault(t *testing.T) {
	hooks, err := loadTestHooks()
	if err != nil || hooks.tracePoint != nil || hooks.translateAddr("10.0.0.1:1") != "10.0.0.1:1" {
		t.Fatalf("hooks %+v, error %v; want no trace point and no relays", hooks, err)
	}
	now := 50.0
	clock := hooks.newClock(func() float64 { return now })
	now = 60
	if clock.Now() != 60 || clock.UnixNow() != 60 {
		t.Errorf("clock %g and Unix time %g, want 60 for both", clock.Now(), clock.UnixNow())
	}
}

func TestLoadTestHooks_ClockAndRelays(t *testing.T) {
	t.Setenv(testClockVariable, "-3,2")
	t.Setenv(testRelaysVariable, "10.0.0.1:1=127.0.0.1:9,10.0.0.2:1=127.0.0.1:8")
	hooks, err := loadTestHooks()
	if err != nil {
		t.Fatal(err)
	}
	now := 50.0
	clock := hooks.newClock(func() float64 { return now })
	now = 60
	if clock.Now() != 70 || clock.UnixNow() != 67 {
		t.Errorf("clock %g and Unix time %g, want 70 and 67", clock.Now(), clock.UnixNow())
	}
	if relay := hooks.translateAddr("10.0.0.2:1"); relay != "127.0.0.1:8" {
		t.Errorf("10.0.0.2:1 translated to %s, want the relay 127.0.0.1:8", relay)
	}
	if addr := hooks.translateAddr("10.0.0.3:1"); addr != "10.0.0.3:1" {
		t.Errorf("10.0.0.3:1 translated to %s, want it unchanged", addr)
	}
}

func TestLoadTestHooks_InvalidClock(t *testing.T) {
	for _, text := range []string{"3", "a,1", "0,b", "0,0", "0,-1"} {
		t.Setenv(testClockVariable, text)
		_, err := loadTestHooks()
		requireFieldError(t, err, testClockVariable)
	}
}

// TestKillAtTracePoint_DoesNotKillAtOtherPoints checks only cases in which the process must not be
// killed. The fault tests check the kill itself.
func TestKillAtTracePoint_DoesNotKillAtOtherPoints(t *testing.T) {
	for _, text := range []string{"", "claiming,1", "claiming,one,0", "claiming,1,late"} {
		if killAtTracePoint(text, time.Now()) != nil {
			t.Errorf("%q gives a hook, want none", text)
		}
	}
	other := killAtTracePoint(fleet.TraceClaimed.String()+",1,0", time.Now())
	other(fleet.TraceClaiming)
	early := killAtTracePoint(fleet.TraceClaiming.String()+",1,1000", time.Now())
	early(fleet.TraceClaiming)
	later := killAtTracePoint(fleet.TraceClaiming.String()+",3,0", time.Now().Add(-time.Hour))
	later(fleet.TraceClaiming)
	later(fleet.TraceClaiming)
}
