package server

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/policy/connlimit"
)

func TestConnLimit_TrustedAdmittedDuringFlood(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.MaxSockets = 128 },
		connLimitConfig(t, "door-known 127.7.0.0/16"))
	busy, err := f.dialFrom("127.8.0.1") // an untrusted client whose request stays open
	if err != nil {
		t.Fatal(err)
	}
	busy.send("%s", requestFrame(1, "b1", "x"))
	f.executor.expectCommand("begin", "b1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	attempts := f.floodWithConnections(ctx, "127.6")
	for attempts.Load() < 500 {
		time.Sleep(time.Millisecond)
	}
	for i := range 20 {
		client, err := f.dialFrom(fmt.Sprintf("127.7.0.%d", i+1))
		if err != nil {
			t.Fatalf("dial of trusted client %d: %v", i, err)
		}
		id := fmt.Sprint("k", i)
		client.send("%s", requestFrame(1, id, "x"))
		f.executor.expectCommand("begin", id)
		f.executor.sendCompletion(i+1, id, "done", "r")
		client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	}
	stop()
	f.executor.sendCompletion(21, "b1", "done", "r")
	busy.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	_ = busy.Close()
}

func TestConnLimit_RejectedClientGetsAnswer(t *testing.T) {
	change := func(s *config.Startup) { s.Settings.MaxRetryAfter = 5 }
	f := startServerWith(t, change, connLimitConfig(t, "door-per-address 1"))
	first, err := f.dialFrom("127.6.0.1")
	if err != nil {
		t.Fatal(err)
	}
	first.send("%s", healthCheck(1))
	first.expect("\xc3\x80")
	second, err := f.dialFrom("127.6.0.1")
	if err != nil {
		t.Fatal(err)
	}
	second.send("%s", requestFrame(1, "a1", "x"))
	if got := second.expect("Busy"); !strings.HasPrefix(got, answerPrefix(1)) {
		t.Errorf("got %q, want an answer to message 1", got)
	}
	second.expect("pushback")
	if _, err := io.ReadAll(second.in); err != nil {
		t.Errorf("error %v after the rejection; want the connection closed", err)
	}
	silent, err := f.dialFrom("127.6.0.1") // sends nothing, and is closed too
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(silent.in); err != nil {
		t.Errorf("error %v on a connection without a request; want it closed", err)
	}
	first.send("%s", requestFrame(2, "a2", "x")) // the admitted connection is still served
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCompletion(1, "a2", "done", "r")
	first.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	rejected := query(f, func(s *Server) int { return s.clients.limiter.RejectedCount(connlimit.OverConnectionLimit) })
	if rejected != 2 {
		t.Errorf("%d rejected over the cap, want 2", rejected)
	}
}

func TestConnLimit_CountsResetAfterMassReconnect(t *testing.T) {
	const n = 200
	f := startServerWith(t, func(s *config.Startup) { s.MaxSockets = 1024 }, connLimitConfig(t, ""))
	for range 2 {
		idleConns, err := balancer.OpenIdle(f.server.startup.Listen, n, true)
		if err != nil {
			t.Fatal(err)
		}
		if idleConns.Len() != n {
			t.Errorf("%d connections are open, want %d", idleConns.Len(), n)
		}
		idleConns.Close()
		waitUntil(f, 0, clientCount)
	}
	stats := query(f, func(s *Server) connlimit.Stats { return s.clients.limiter.Stats() })
	if stats.Admitted != 0 || stats.ActiveUntrusted != 0 {
		t.Errorf("limiter statistics after all clients left: %+v; want no connection admitted or active", stats)
	}
}

func TestConnLimit_RulesReloaded(t *testing.T) {
	f := startServerWith(t, nil, connLimitConfig(t, "door-per-address 1"))
	admitted := func() bool {
		client, err := f.dialFrom("127.6.0.1")
		if err != nil {
			t.Fatal(err)
		}
		client.send("%s", requestFrame(1, "a1", "x"))
		waitUntil(f, true, func(s *Server) bool { return s.requests.Len() > 0 || s.statistics.rejectedAtLimit > 0 })
		ok := query(f, func(s *Server) bool { return s.requests.Len() > 0 })
		if ok {
			f.executor.expectCommand("begin", "a1")
		}
		return ok
	}
	first, err := f.dialFrom("127.6.0.1")
	if err != nil {
		t.Fatal(err)
	}
	first.send("%s", healthCheck(1))
	first.expect("\xc3\x80")
	if admitted() {
		t.Error("a second connection of an address was admitted, but the cap per address is 1")
	}
	f.server.ReloadConfig(connLimitConfig(t, "door-known 127.6.0.0/16\ndoor-remember 128"))
	waitUntil(f, true, func(s *Server) bool { return len(s.clients.limiter.TrustedPrefixes()) > 0 })
	query(f, func(s *Server) bool { s.statistics.rejectedAtLimit = 0; return true })
	if !admitted() {
		t.Error("a client of a trusted prefix was not admitted after the reload")
	}
}
