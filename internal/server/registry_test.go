package server

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
)

// The server must go on reporting if the registry's replies are malformed, endless or sent in pieces.
// After a malformed or endless reply it must use a new link.
func TestRegistryLink_MalformedReplies(t *testing.T) {
	reports := listenLoopback(t)
	f := startBeforeExecutorUp(t, func(s *config.Startup) { s.Registry = reports.Addr().String() }, nil)
	f.executor.sendFirstMessage("seasoned", 3600000)
	malformed := []string{
		"nonsense\r\n\r\n",
		"HTTP/1.1 204 " + strings.Repeat("x", 20<<10),
		"HTTP/1.1 204 No\r\nContent-Length: -1\r\n\r\n",
		"\xff\x00\r\n\r\n",
	}
	for _, answer := range malformed {
		r := acceptConn(t, reports)
		r.expect(`{"duty":"on"}`)
		r.send("%s", answer)
		if _, err := r.in.ReadByte(); err == nil {
			t.Errorf("after the reply %.20q the server went on over the same link, want a new one", answer)
		}
	}
	r := acceptConn(t, reports)
	r.expect(`{"duty":"on"}`)
	for _, piece := range []string{"HT", "TP/1.1 204 No Con", "tent\r\nContent-Length: 2\r", "\n\r\n", "o", "k"} {
		r.send("%s", piece)
	}
	r.expect(`{"duty":"on"}`) // the next report, over the same link
}

// If the registry is down when the server starts, clients must still be served, and reports must
// begin once the registry is up.
func TestRegistryLink_DownAtStart(t *testing.T) {
	f := startBeforeExecutorUp(t, func(s *config.Startup) { s.Registry = "127.0.0.9:1" }, nil)
	f.executor.sendFirstMessage("seasoned", 3600000)
	waitUntil(f, true, func(s *Server) bool { return s.decisions.controller != nil })
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	client.send("%s", healthCheck(1))
	client.expect("\xc3\x80")
	f.server.SetEndpoints(f.addresses())
	if report := <-f.registry.Reports(); !report.Accepting {
		t.Errorf("first report %+v, want accepting", report)
	}
}

func TestRegistryLink_ReportsHealthChangeAtOnce(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := New(&config.Startup{Addresses: config.Addresses{Registry: "127.0.0.9:1"}}, nil)
	s.loop.handle = discardingLoop{}
	s.decisions.controller = admission.New(1, admission.Settings{})
	s.registry.conn = panickingConn{}
	reports := func() int { return bytes.Count(bytes.Join(s.registry.out.Buffers(), nil), []byte("PUT ")) }
	s.setHealthy(true)
	s.setHealthy(true) // unchanged
	if reports() != 1 {
		t.Errorf("%d reports, want 1", reports())
	}
	if n, err := s.registry.handleData([]byte("HTTP/1.1 204 No Content\r\n\r\n")); n != 27 || err != nil {
		t.Errorf("handled %d bytes, error %v; want 27, nil", n, err)
	}
	expectUnhealthy := func(n int) {
		t.Helper()
		text := string(bytes.Join(s.registry.out.Buffers(), nil))
		if reports() != n || !strings.HasSuffix(text, `{"duty":"off"}`) {
			t.Errorf("pending output %q, want %d reports, the last one of duty off", text, n)
		}
	}
	s.setHealthy(false)
	expectUnhealthy(2)
	s.setHealthy(true) // while a report is unanswered: the change must go over a new link
	s.setHealthy(false)
	if s.registry.conn != nil {
		t.Error("the link with an unanswered report was kept, want a new one")
	}
	_ = s.registry.handleOpen(panickingConn{}, "")
	expectUnhealthy(1)
}
