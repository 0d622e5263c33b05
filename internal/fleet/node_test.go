package fleet

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// freeAddr returns a loopback address on which no process listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startNode starts the node of a cluster with one voter, and stops it at the end of the test.
func startNode(t *testing.T, apply func(text string) error) *Node {
	t.Helper()
	addr := freeAddr(t)
	start := time.Now()
	source := func() float64 { return time.Since(start).Seconds() }
	node, err := Start(t.Context(), Config{
		Name:       "v1",
		ListenAddr: addr,
		Voters:     map[string]string{"v1": addr},
		Build:      testBuild,
		Clock:      NewClock(source, testUnixTime, 0, 1),
		Logger:     slog.New(slog.DiscardHandler),
		Lease: LeaseConfig{
			Terms: lease.Config{
				LeaseSeconds:           6,
				CatchUpTimeoutSeconds:  10,
				MaxUnavailableFraction: 0.25,
				UnregisterAfterSeconds: 600,
			},
		},
		Rollout: release.RolloutPolicy{WaveSeconds: 1, HaltConfidence: 1},
		Apply:   apply,
		Publish: func(*serving.Directive) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	return node
}

// waitUntil waits for a condition, and fails the test if it is not met within the timeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", timeout, description)
}

func applyNoop(string) error { return nil }

func TestServeControl_AnswersQueriesAndCommands(t *testing.T) {
	t.Parallel()
	node := startNode(t, applyNoop)
	addr := freeAddr(t)
	ctx, cancel := context.WithCancel(t.Context())
	if err := node.ServeControl(ctx, addr); err != nil {
		t.Fatal(err)
	}
	var status *Status
	waitUntil(t, "GET /state reports v1 as the leader, with an active epoch", func() bool {
		var err error
		status, err = FetchStatus(addr, "")
		return err == nil && status.Leader == "v1" && status.ActiveEpoch != 0
	})
	if status.Name != "v1" || status.Incarnation != node.Incarnation() || len(status.Servers) != 1 {
		t.Errorf("status %+v, want name v1, incarnation %d and one server", status, node.Incarnation())
	}
	text := "text\n"
	command := release.Command{Kind: release.KindRelease, Text: text, Digest: release.Digest(text, "")}
	newest, err := SendCommand(addr, command)
	if err != nil || newest <= status.ActiveEpoch {
		t.Fatalf("release returned %s, %v, want an epoch newer than %s", newest, err, status.ActiveEpoch)
	}
	command.ExpectedEpoch = status.ActiveEpoch
	var failure *ControlError
	if _, err := SendCommand(addr, command); !errors.As(err, &failure) || failure.Message == "" {
		t.Errorf("release that expects an older epoch returned %v, want a ControlError with a message", err)
	}
	if _, err := FetchStatus(addr, "no epoch"); !errors.As(err, &failure) {
		t.Errorf("FetchStatus with a malformed epoch returned %v, want a ControlError", err)
	}
	if _, err := FetchCounters(addr); !errors.As(err, &failure) || failure.Message != ErrCountersDisabled.Error() {
		t.Errorf("FetchCounters with counters disabled returned %v, want a ControlError with message %q",
			err, ErrCountersDisabled)
	}
	if quotas, err := FetchQuotas(addr); err != nil || quotas.Leader != "v1" || quotas.IsLeader {
		t.Errorf("FetchQuotas with quotas disabled returned %+v, %v, want leader v1 and IsLeader false", quotas, err)
	}
	if plan, err := FetchLoadPlan(addr); err != nil || plan.Name != "v1" || plan.Planner != nil {
		t.Errorf("FetchLoadPlan with load plans disabled returned %+v, %v, want name v1 and no planner", plan, err)
	}
	cancel()
	waitUntil(t, "the control API stops responding", func() bool {
		_, err := FetchQuotas(addr)
		return err != nil
	})
}

func TestExecuteCommand_ReturnsRejection(t *testing.T) {
	t.Parallel()
	node := startNode(t, applyNoop)
	waitUntil(t, "v1 is the leader", func() bool {
		quotas, err := node.QueryQuotas()
		return err == nil && quotas.Leader == "v1"
	})
	var rejected *CommandRejectedError
	_, err := node.ExecuteCommand(release.Command{Kind: release.KindRelease, Text: "a", Digest: "another"})
	if !errors.As(err, &rejected) || rejected.Reason == "" {
		t.Errorf("release with a wrong digest returned %v, want a CommandRejectedError with a reason", err)
	}
}

// The node recovers from a panic in the agent and starts a new incarnation.
func TestNode_RestartsAgentAfterPanic(t *testing.T) {
	t.Parallel()
	var panicked atomic.Bool
	node := startNode(t, func(string) error {
		if !panicked.Swap(true) {
			panic("test: simulated panic in Apply")
		}
		return nil
	})
	first := node.Incarnation()
	waitUntil(t, "a new incarnation has an active epoch", func() bool {
		quotas, err := node.QueryQuotas()
		return err == nil && quotas.Epoch != 0 && node.Incarnation() != first
	})
}

// The serving loop never waits for the agent: reports return at once while the queues are full.
func TestNode_ReportsDoNotBlock(t *testing.T) {
	node := &Node{
		claimEvents:   make(chan ClaimEvent, 1),
		usage:         make(chan []Usage, 1),
		callStats:     make(chan serving.CallStats, 1),
		requestCounts: make(chan []serving.CounterCell, 1),
	}
	for i := range 3 {
		wantAccepted := i == 0
		if accepted := node.ReportCounts(nil); accepted != wantAccepted {
			t.Errorf("ReportCounts call %d returned %t, want %t", i+1, accepted, wantAccepted)
		}
		if accepted := node.Claim("id", "class", "key", 1); accepted != wantAccepted {
			t.Errorf("Claim call %d returned %t, want %t", i+1, accepted, wantAccepted)
		}
		node.ReportUsage(nil)
		node.ReportCalls(serving.CallStats{})
		node.ReportTrusted(nil)
	}
	if backlog := node.UnreportedClaims(); backlog != 1 {
		t.Errorf("UnreportedClaims() = %d, want 1: only one claim fits into the queue", backlog)
	}
}
