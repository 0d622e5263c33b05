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

// freeAddr returns an address of this machine on which nobody listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startNode starts the node of a cluster of one voter, and stops it at the test's end.
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
			Terms: lease.Config{Duration: 6, CatchUpTimeout: 10, MaxUnavailable: 0.25, ForgetAfter: 600},
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

// waitUntil waits for a condition, and fails after some seconds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const patience = 20 * time.Second
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %v: %s", patience, what)
}

func applyNothing(string) error { return nil }

func TestServeControl(t *testing.T) {
	t.Parallel()
	node := startNode(t, applyNothing)
	addr := freeAddr(t)
	ctx, cancel := context.WithCancel(t.Context())
	if err := node.ServeControl(ctx, addr); err != nil {
		t.Fatal(err)
	}
	var status *Status
	waitUntil(t, "the process leads", func() bool {
		var err error
		status, err = FetchStatus(addr, "")
		return err == nil && status.Leader == "v1" && status.ActiveEpoch != 0
	})
	if status.Name != "v1" || status.Incarnation != node.Incarnation() || len(status.Servers) != 1 {
		t.Errorf("the status is %+v", status)
	}
	text := "text\n"
	command := release.Command{Kind: release.KindRelease, Text: text, Digest: release.Digest(text, "")}
	newest, err := SendCommand(addr, command)
	if err != nil || newest <= status.ActiveEpoch {
		t.Fatalf("the release ended with %s, %v", newest, err)
	}
	command.ExpectedEpoch = status.ActiveEpoch
	var failure *ControlError
	if _, err := SendCommand(addr, command); !errors.As(err, &failure) || failure.Message == "" {
		t.Errorf("a release on an older epoch ended with %v", err)
	}
	if _, err := FetchStatus(addr, "no epoch"); !errors.As(err, &failure) {
		t.Errorf("a malformed epoch ended with %v", err)
	}
	if _, err := FetchCounters(addr); !errors.As(err, &failure) || failure.Message != ErrCountersOff.Error() {
		t.Errorf("counters that are off: %v", err)
	}
	if quotas, err := FetchQuotas(addr); err != nil || quotas.Leader != "v1" || quotas.IsLeader {
		t.Errorf("quotas that are off: %+v, %v", quotas, err)
	}
	if plan, err := FetchLoadPlan(addr); err != nil || plan.Name != "v1" || plan.Planner != nil {
		t.Errorf("load plans that are off: %+v, %v", plan, err)
	}
	cancel()
	waitUntil(t, "the control API is closed", func() bool {
		_, err := FetchQuotas(addr)
		return err != nil
	})
}

func TestExecuteCommand_ReturnsRejection(t *testing.T) {
	t.Parallel()
	node := startNode(t, applyNothing)
	waitUntil(t, "the process leads", func() bool {
		quotas, err := node.QueryQuotas()
		return err == nil && quotas.Leader == "v1"
	})
	var rejected *CommandRejectedError
	_, err := node.ExecuteCommand(release.Command{Kind: release.KindRelease, Text: "a", Digest: "another"})
	if !errors.As(err, &rejected) || rejected.Reason == "" {
		t.Errorf("a release with a wrong digest ended with %v", err)
	}
}

// A panic in the agent is recovered from, and another incarnation takes its place.
func TestNode_RestartsAgentAfterPanic(t *testing.T) {
	t.Parallel()
	var panicked atomic.Bool
	node := startNode(t, func(string) error {
		if !panicked.Swap(true) {
			panic("for the test")
		}
		return nil
	})
	first := node.Incarnation()
	waitUntil(t, "another incarnation runs", func() bool {
		quotas, err := node.QueryQuotas()
		return err == nil && quotas.Epoch != 0 && node.Incarnation() != first
	})
}

// Whatever the serving loop reports, it never waits for the agent.
func TestNode_ReportsDoNotBlock(t *testing.T) {
	node := &Node{
		claimEvents:   make(chan ClaimEvent, 1),
		usage:         make(chan []Usage, 1),
		callStats:     make(chan serving.CallStats, 1),
		requestCounts: make(chan []serving.CounterCell, 1),
	}
	for i := range 3 {
		hasRoom := i == 0
		if accepted := node.ReportCounts(nil); accepted != hasRoom {
			t.Errorf("counts %d: accepted %t", i, accepted)
		}
		if accepted := node.Claim("id", "class", "key", 1); accepted != hasRoom {
			t.Errorf("claim %d: accepted %t", i, accepted)
		}
		node.ReportUsage(nil)
		node.ReportCalls(serving.CallStats{})
		node.ReportTrusted(nil)
	}
	if backlog := node.UnreportedClaims(); backlog != 1 {
		t.Errorf("the backlog is %d, want the one claim that had room", backlog)
	}
}
