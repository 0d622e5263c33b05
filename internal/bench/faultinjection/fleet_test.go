package faultinjection

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/wire/rpc"
)

// program is the path of the program under test, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	path, remove, err := process.BuildProgram()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = path
	code := m.Run()
	remove()
	os.Exit(code)
}

// awaitTimeout is how long a test waits for a condition: far longer than needed, so that tests do
// not fail on a busy machine.
const awaitTimeout = 30 * time.Second

// startFleet starts a fleet with short leases for a parallel test, and waits until all servers have
// applied an initial version. After the test no process may have panicked, and no epoch may have
// been logged with different digests.
func startFleet(t *testing.T, config Config) *Fleet {
	t.Helper()
	t.Parallel()
	config.ProcessConfig, config.ExtraSettings = SmallProcessConfig(program), ShortLeases+config.ExtraSettings
	if !strings.Contains(config.ExtraSettings, "fleet-wave") {
		config.ExtraSettings += "fleet-wave 500ms\n"
	}
	if config.Voters == 0 {
		config.Voters = 3
	}
	f, err := Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if epochs := f.ConflictingDigestEpochs(); len(epochs) > 0 {
			t.Errorf("epochs with more than one digest: %v, want none", epochs)
		}
		if panics := append(f.Events("", EventFleetAgentPanic), f.Events("", EventPanic)...); len(panics) > 0 {
			t.Errorf("panics: %v, want none", panics)
		}
		f.Close()
	})
	f.await(t, "all servers apply an initial version", func() bool { return f.AllActiveOn(1, f.Names...) })
	return f
}

// await waits until a condition holds. If it does not within awaitTimeout, await fails the test and
// reports the state of each process.
func (f *Fleet) await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	if !WaitUntil(awaitTimeout, condition) {
		var states strings.Builder
		for _, name := range f.Names {
			fmt.Fprintf(&states, "%s on epoch %s", name, f.ActiveEpoch(name))
			if changes := f.Events(name, EventServingModeChanged); len(changes) > 0 {
				fmt.Fprintf(&states, ", %s", changes[len(changes)-1].Fields)
			}
			states.WriteString("; ")
		}
		t.Fatalf("condition not met within %s: %s (%s)", awaitTimeout, description, states.String())
	}
}

// hasLogged returns a condition that holds once a process has logged an event with the given field
// value.
func (f *Fleet) hasLogged(name, event, key, value string) func() bool {
	return func() bool {
		return slices.ContainsFunc(f.Events(name, event), func(s LogEvent) bool { return s.Fields[key] == value })
	}
}

// release submits a release at a process until it is accepted, and returns its epoch.
func (f *Fleet) release(t *testing.T, at, text string, waves ...float64) (epoch release.Epoch) {
	t.Helper()
	f.await(t, "a release at "+at+" is accepted", func() bool {
		var err error
		epoch, err = f.Release(at, text, waves...)
		return err == nil
	})
	return epoch
}

// sendOnce sends one request on a new connection and waits for its answer.
func sendOnce(ctx context.Context, addr string) {
	done := make(chan struct{}, 1)
	c, err := balancer.Dial(ctx, addr, func(rpc.Response) {
		select {
		case done <- struct{}{}:
		default:
		}
	}, nil)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer c.Close()
	if c.SendRequest(newPing(c.NextNumber(), time.Now())) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
}

// dialBalancer opens a connection to a server and returns it with a channel that receives the
// answers.
func (f *Fleet) dialBalancer(t *testing.T, name string) (*balancer.Conn, <-chan rpc.Response) {
	t.Helper()
	answers := make(chan rpc.Response, 64)
	c, err := balancer.Dial(context.Background(), f.Server(name).Addr, func(a rpc.Response) {
		if a.Kind == rpc.ResponseFinished || a.Kind == rpc.ResponseRejected || a.Kind == rpc.ResponseFailed {
			answers <- a
		}
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, answers
}
