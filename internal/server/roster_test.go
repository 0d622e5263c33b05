package server

import (
	"strings"
	"testing"

	"swiftcourse/internal/config"
)

// completeHandshake has the processor come up.
func (f *fixture) completeHandshake() {
	f.executor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
}

// A roster answers with nonsense, without end, or in pieces: the server goes on reporting, over a
// new link where it has to.
func TestRegistryLink_MalformedReplies(t *testing.T) {
	reports := listenLoopback(t)
	f := startUnready(t, func(s *config.Startup) { s.Registry = reports.Addr().String() }, nil)
	f.completeHandshake()
	for _, answer := range []string{"nonsense\r\n\r\n", "HTTP/1.1 204 " + strings.Repeat("x", 20<<10), "HTTP/1.1 204 No\r\nContent-Length: -1\r\n\r\n", "\xff\x00\r\n\r\n"} {
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

// A roster that is down from the start keeps nobody from being served, and is reported to once it
// is there.
func TestRegistryLink_DownAtStart(t *testing.T) {
	f := startUnready(t, func(s *config.Startup) { s.Registry = "127.0.0.9:1" }, nil)
	f.completeHandshake()
	waitUntil(f, true, func(s *Server) bool { return s.decisions.controller != nil })
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	client.send(healthCheckFrame)
	client.expect("\xc3\x80")
	to := f.addresses()
	f.server.SetEndpoints(to)
	if report := <-f.registry.Reports(); !report.Takes {
		t.Errorf("%+v", report)
	}
}
