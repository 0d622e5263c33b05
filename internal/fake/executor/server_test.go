package executor

import (
	"bufio"
	"bytes"
	"net"
	"testing"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/processor"
)

const testTimeout = 5 * time.Second

func startServer(t *testing.T, config Config) *Server {
	t.Helper()
	s, err := Start("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// testLink is a connection as a server's, after its first line.
type testLink struct {
	*testing.T
	conn   net.Conn
	lines  *bufio.Reader
	parser processor.NoticeParser
}

// connect resumes after a notice and checks that the executor answers so.
func connect(t *testing.T, s *Server, lastRead int64) *testLink {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	l := &testLink{T: t, conn: conn, lines: bufio.NewReader(conn)}
	l.send(processor.AppendResume(nil, lastRead))
	l.expect(processor.NoticeHello, "")
	return l
}

func (l *testLink) send(line []byte) {
	l.Helper()
	if _, err := l.conn.Write(line); err != nil {
		l.Fatal(err)
	}
}

// expect reads the next notice and checks its kind and id.
func (l *testLink) expect(kind processor.NoticeKind, id string) processor.Notice {
	l.Helper()
	line, err := l.lines.ReadBytes('\n')
	if err != nil {
		l.Fatalf("no %s: %v", kind, err)
	}
	notice, err := l.parser.Parse(bytes.TrimSuffix(line, []byte("\n")))
	if err != nil {
		l.Fatal(err)
	}
	if notice.Kind != kind || notice.ID != id {
		l.Fatalf("%s of %q, not %s of %q", notice.Kind, notice.ID, kind, id)
	}
	return notice
}

func always(string, string) bool { return true }

func TestServer_RunReturnsResult(t *testing.T) {
	s := startServer(t, Config{Result: func(id string, body []byte) []byte { return []byte(id + " " + string(body)) }})
	l := connect(t, s, 0)
	l.send(processor.AppendStart(nil, "1", "ping", []byte("x")))
	ended := l.expect(processor.NoticeRunEnded, "1")
	if ended.Outcome != admission.Finished || string(ended.Body) != "1 x" {
		t.Errorf("%s %q", ended.Outcome, ended.Body)
	}
	if stats := s.Stats(); stats != (Stats{Started: 1, Ended: 1, Resumed: 1}) {
		t.Errorf("%+v", stats)
	}
}

func TestServer_RepeatedIDIsCounted(t *testing.T) {
	s := startServer(t, Config{})
	l := connect(t, s, 0)
	for range 2 {
		l.send(processor.AppendStart(nil, "1", "ping", nil))
		l.expect(processor.NoticeRunEnded, "1")
	}
	if stats := s.Stats(); stats.Started != 2 || stats.Repeated != 1 {
		t.Errorf("%+v", stats)
	}
}

func TestServer_RunsWaitForACore(t *testing.T) {
	started := time.Now()
	const work = 0.1 // seconds; long enough for all commands to be read during the first run
	s := startServer(t, Config{Cores: 1, CPUSeconds: func(string, string) float64 { return work },
		Gauges: func(busy, waiting int) []float64 { return []float64{float64(busy), float64(waiting)} }})
	l := connect(t, s, 0)
	ids := []string{"1", "2"}
	var commands []byte
	for _, id := range ids {
		commands = processor.AppendStart(commands, id, "ping", nil)
	}
	l.send(processor.AppendReadGauges(commands, "g"))
	gauges := l.expect(processor.NoticeGauges, "")
	if busy, waiting := gauges.Gauges[0], gauges.Gauges[1]; busy != 1 || waiting != 1 {
		t.Errorf("%g busy, %g waiting", busy, waiting)
	}
	for _, id := range ids {
		l.expect(processor.NoticeRunEnded, id)
	}
	if took := time.Since(started).Seconds(); took < 2*work {
		t.Errorf("two runs on one core took %g s", took)
	}
}

func TestServer_UpstreamCallParksTheRun(t *testing.T) {
	s := startServer(t, Config{CallsUpstream: always})
	l := connect(t, s, 0)
	l.send(processor.AppendStart(nil, "1", "ping", []byte("x")))
	call := l.expect(processor.NoticeAwaitingCall, "1")
	l.send(processor.AppendSkipCall(nil, "1", call.Serial+1)) // of another call
	l.expect(processor.NoticeRejected, "1")
	l.send(processor.AppendReply(nil, "1", []byte("reply")))
	l.expect(processor.NoticeRunEnded, "1")
	l.send(processor.AppendReply(nil, "1", []byte("reply"))) // the run is over
	l.expect(processor.NoticeRejected, "1")
}

func TestServer_CallTimeoutCancelsTheRun(t *testing.T) {
	s := startServer(t, Config{CallsUpstream: always, CallTimeout: 0.02})
	l := connect(t, s, 0)
	l.send(processor.AppendStart(nil, "1", "ping", nil))
	l.expect(processor.NoticeAwaitingCall, "1")
	if ended := l.expect(processor.NoticeRunEnded, "1"); ended.Outcome != admission.Cancelled {
		t.Errorf("%s", ended.Outcome)
	}
}

// A run ends while the link is down: the next link is told of it, and only of what was not read.
func TestServer_ResumeRepeatsUnreadNotices(t *testing.T) {
	s := startServer(t, Config{CPUSeconds: func(_, id string) float64 {
		if id == "slow" {
			return 0.3
		}
		return 0
	}})
	first := connect(t, s, 0)
	first.send(processor.AppendStart(nil, "fast", "ping", nil))
	read := first.expect(processor.NoticeRunEnded, "fast")
	// The answer about the gauges shows that the start was read.
	first.send(processor.AppendReadGauges(processor.AppendStart(nil, "slow", "ping", nil), "g"))
	first.expect(processor.NoticeGauges, "")
	s.Disconnect()
	for deadline := time.Now().Add(testTimeout); s.Stats().Ended < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the run did not end")
		}
	}
	second := connect(t, s, read.Serial)
	second.expect(processor.NoticeRunEnded, "slow")
}
