package server

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
)

func TestSetEndpoints_KeepsIdleConnections(t *testing.T) {
	const n = 500
	f := startServer(t, func(s *config.Startup) { s.MaxSockets = 4000 })
	idleConns := f.openIdleClients(n, true)
	f.executorListener = listenLoopback(t)
	f.server.SetEndpoints(f.addresses())
	f.executor = f.acceptResumedLink()
	known := query(f, func(s *Server) int { return s.clients.limiter.Count(connlimit.StateIdle) })
	if known != n || idleConns.Len() != n {
		t.Errorf("%d connections known to the server, %d open; want %d", known, idleConns.Len(), n)
	}
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	idleConns.Close()
	_ = client.Close()
	waitUntil(f, "0 clients, 0 trusted, 0 busy, 0 buffers, next never", func(s *Server) string {
		next := "never"
		if !math.IsInf(s.clients.limiter.NextWakeup(), 1) && s.clients.limiter.NextWakeup() > s.now() {
			next = "in the future"
		}
		limiter := s.clients.limiter
		return fmt.Sprintf("%d clients, %d trusted, %d busy, %d buffers, next %s", s.clients.conns.Len(),
			limiter.Count(connlimit.StateIdle), limiter.Count(connlimit.StateActive), s.output.buffers.InUse, next)
	})
	if timers := query(f, func(s *Server) int { return s.loop.timers.Len() }); timers > 10 {
		t.Errorf("%d timers left, want at most 10", timers)
	}
}

func TestOutOfService_FinishesRunningAndRejectsQueued(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.Settings.MaxRetryAfter = 5 })
	const requests = 20 // more than run at once on two cores
	started, finish := make(chan string, requests+1), make(chan struct{})
	f.runRequests(started, finish)
	before := f.setDirective(serving.ModeNormal, math.Inf(1), serving.ModeNormal)
	client := f.dialClient()
	for i := range requests {
		client.send("%s", requestFrame(byte(i+1), fmt.Sprintf("%016x", i+1), "x"))
	}
	<-started
	stats := f.setDirective(serving.ModeOutOfService, math.Inf(1), serving.ModeOutOfService)
	f.waitForReport(false)
	close(finish)
	// The controller may reject some requests before the change, with another Retry-After.
	var finished, rejected, byDirective int
	for finished+rejected < requests {
		switch answer := client.readAnswer(); answer.Kind {
		case rpc.ResponseFinished:
			finished++
		case rpc.ResponseRejected:
			rejected++
			if answer.Metadata.RetryAfter == outOfServiceRetryAfterSeconds {
				byDirective++
			}
		default:
			t.Fatalf("answer %+v, want finished or rejected", answer)
		}
	}
	if runs := len(started) + 1; finished != runs || byDirective == 0 {
		t.Errorf("%d runs, %d finished, %d rejected, %d of these by the directive; "+
			"want as many finished as runs, and some by the directive", runs, finished, rejected, byDirective)
	}
	// Requests that arrived after the change count for neither version.
	n, m := before.Completed.Load(), stats.Completed.Load()
	if n+m > requests || m == 0 || int(n+m) < requests-byDirective {
		t.Errorf("%d completed requests are counted before the change and %d after it, "+
			"of %d requests, %d rejected by the directive; want at least 1 after the change, and all requests "+
			"but at most those rejected by the directive in total", n, m, requests, byDirective)
	}
	f.setDirective(serving.ModeNormal, math.Inf(1), serving.ModeNormal)
	f.waitForReport(true)
	client.send("%s", requestFrame(99, "0000000000000099", "x"))
	if answer := client.readAnswer(); answer.Kind != rpc.ResponseFinished {
		t.Errorf("answer %+v after the return to service, want finished", answer)
	}
}

// If the server's process was suspended, no directive says that the lease has expired meanwhile. The
// server must find that out from its own clock, and admit nothing.
func TestOutOfService_LeaseExpiredByServerClock(t *testing.T) {
	f := startServer(t, nil)
	started, finish := make(chan string, 1), make(chan struct{})
	f.runRequests(started, finish)
	// A directive that was published before the suspension and is read after it.
	stats := f.setDirective(serving.ModeNormal, f.server.Now()-1, serving.ModeOutOfService)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "0000000000000001", "x"))
	if answer := client.readAnswer(); answer.Kind != rpc.ResponseRejected {
		t.Errorf("answer %+v, want rejected", answer)
	}
	if n := stats.Requests.Load(); n != 0 || len(started) != 0 {
		t.Errorf("%d requests were received and %d started, want none", n, len(started))
	}
	f.waitForReport(false)
}

func TestApplyConfig_AllOrNothing(t *testing.T) {
	conf, err := config.ParseOperatorSettings("f", []byte("door on"))
	if err != nil {
		t.Fatal(err)
	}
	f := startServerWith(t, nil, conf)
	for text, want := range map[string]string{
		"door off":                  "can't be switched while serving",
		"door-remember 1000000":     "can't be changed while serving",
		"door-prefix-ipv4 16":       "can't be changed while serving",
		"door-come-back 300ms":      "",
		"door-come-back 300\n":      "not a duration with a unit",
		"fleet-lease 3s":            "belongs to each server's own file",
		"door-lobby 3\ndoor-earn 5": "can't be changed while serving",
	} {
		before := *f.server.fleet.operator
		next, err := conf.WithRelease("released", text)
		if err == nil {
			err = f.server.ApplyConfig(next)
		}
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
		if err != nil && !reflect.DeepEqual(before, *f.server.fleet.operator) {
			t.Errorf("%q was refused, but changed the settings", text)
		}
	}
}
