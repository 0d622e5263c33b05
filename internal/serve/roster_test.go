package serve

import (
	"strings"
	"testing"

	"swiftcourse/internal/life"
)

// up has the processor come up.
func (w *world) up() { w.processor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n") }

// A roster answers with nonsense, without end, or in pieces: the server goes on reporting, over a new link where it has to.
func TestARosterThatAnswersStrangely(t *testing.T) {
	reports := listen(t)
	w := begin(t, func(s *life.Startup) { s.Registry = reports.Addr().String() }, nil)
	w.up()
	for _, answer := range []string{"nonsense\r\n\r\n", "HTTP/1.1 204 " + strings.Repeat("x", 20<<10), "HTTP/1.1 204 No\r\nContent-Length: -1\r\n\r\n", "\xff\x00\r\n\r\n"} {
		r := accept(t, reports)
		r.expect(`{"duty":"on"}`)
		r.send("%s", answer)
		if _, err := r.in.ReadByte(); err == nil {
			t.Errorf("after %.20q it goes on over the same link", answer)
		}
	}
	r := accept(t, reports)
	r.expect(`{"duty":"on"}`)
	for _, piece := range []string{"HT", "TP/1.1 204 No Con", "tent\r\nContent-Length: 2\r", "\n\r\n", "o", "k"} {
		r.send("%s", piece)
	}
	r.expect(`{"duty":"on"}`) // the next one, over the same link
}

// A roster that is down from the start keeps nobody from being served, and is reported to once it is there.
func TestARosterThatIsDownFromTheStart(t *testing.T) {
	w := begin(t, func(s *life.Startup) { s.Registry = "127.0.0.9:1" }, nil)
	w.up()
	becomes(w, true, func(s *Server) bool { return s.module != nil })
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
	b.send(isWell)
	b.expect("\xc3\x80")
	to := w.addresses()
	w.server.Move(to)
	if report := <-w.roster.Reports(); !report.Takes {
		t.Errorf("%+v", report)
	}
}
