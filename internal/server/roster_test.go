package server

import (
	"strings"
	"testing"

	"swiftcourse/internal/config"
)

// completeHandshake has the processor come up.
func (w *fixture) completeHandshake() {
	w.executor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
}

// A roster answers with nonsense, without end, or in pieces: the server goes on reporting, over a new link where it has to.
func TestARosterThatAnswersStrangely(t *testing.T) {
	reports := listenLoopback(t)
	w := startUnready(t, func(s *config.Startup) { s.Registry = reports.Addr().String() }, nil)
	w.completeHandshake()
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

// A roster that is down from the start keeps nobody from being served, and is reported to once it is there.
func TestARosterThatIsDownFromTheStart(t *testing.T) {
	w := startUnready(t, func(s *config.Startup) { s.Registry = "127.0.0.9:1" }, nil)
	w.completeHandshake()
	waitUntil(w, true, func(s *Server) bool { return s.controller != nil })
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x"))
	w.executor.expectCommand("begin", "a1")
	w.executor.sendCompletion(1, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	b.send(healthCheckFrame)
	b.expect("\xc3\x80")
	to := w.addresses()
	w.server.SetEndpoints(to)
	if report := <-w.registry.Reports(); !report.Takes {
		t.Errorf("%+v", report)
	}
}
