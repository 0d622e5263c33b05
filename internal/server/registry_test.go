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

// A registry answers with nonsense, without end, or in pieces: the server goes on reporting, over a
// new link where it has to.
func TestRegistryLink_MalformedReplies(t *testing.T) {
	reports := listenLoopback(t)
	f := startUnready(t, func(s *config.Startup) { s.Registry = reports.Addr().String() }, nil)
	f.executor.sendUp("seasoned", 3600000)
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
			t.Errorf("after %.20q it goes on over the same link", answer)
		}
	}
	r := acceptConn(t, reports)
	r.expect(`{"duty":"on"}`)
	for _, piece := range []string{"HT", "TP/1.1 204 No Con", "tent\r\nContent-Length: 2\r", "\n\r\n", "o", "k"} {
		r.send("%s", piece)
	}
	r.expect(`{"duty":"on"}`) // the next one, over the same link
}

// A registry that is down from the start keeps nobody from being served, and is reported to once it
// is there.
func TestRegistryLink_DownAtStart(t *testing.T) {
	f := startUnready(t, func(s *config.Startup) { s.Registry = "127.0.0.9:1" }, nil)
	f.executor.sendUp("seasoned", 3600000)
	waitUntil(f, true, func(s *Server) bool { return s.decisions.controller != nil })
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	client.send("%s", healthCheck(1))
	client.expect("\xc3\x80")
	to := f.addresses()
	f.server.SetEndpoints(to)
	if report := <-f.registry.Reports(); !report.Accepting {
		t.Errorf("%+v", report)
	}
}

func TestRegistryLink_ReportsHealthChangeAtOnce(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := New(&config.Startup{Addresses: config.Addresses{Registry: "127.0.0.9:1"}}, nil)
	s.loop.handle = idleLoop{}
	s.decisions.controller = admission.New(1, admission.Settings{})
	s.registry.conn = brokenConn{}
	reports := func() int { return bytes.Count(bytes.Join(s.registry.out.Buffers(), nil), []byte("PUT ")) }
	s.setHealthy(true)
	s.setHealthy(true) // nothing new
	if reports() != 1 {
		t.Errorf("%d reports", reports())
	}
	if n, err := s.registry.handleData([]byte("HTTP/1.1 204 No Content\r\n\r\n")); n != 27 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	off := func(n int) {
		t.Helper()
		text := string(bytes.Join(s.registry.out.Buffers(), nil))
		if reports() != n || !strings.HasSuffix(text, `{"duty":"off"}`) {
			t.Errorf("%q", text)
		}
	}
	s.setHealthy(false)
	off(2)
	s.setHealthy(true) // while the answer may never come: over a new link
	s.setHealthy(false)
	if s.registry.conn != nil {
		t.Error("waits for an answer")
	}
	_ = s.registry.handleOpen(brokenConn{}, "")
	off(1)
}
