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

// testConn is a connection to the executor on which the resume handshake is done.
type testConn struct {
	*testing.T
	conn   net.Conn
	lines  *bufio.Reader
	parser processor.NoticeParser
}

// connect opens a connection, resumes after the notice with the serial lastRead and checks that the
// executor answers with a hello.
func connect(t *testing.T, s *Server, lastRead int64) *testConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	c := &testConn{T: t, conn: conn, lines: bufio.NewReader(conn)}
	c.send(processor.AppendResume(nil, lastRead))
	c.expect(processor.NoticeHello, "")
	return c
}

func (c *testConn) send(line []byte) {
	c.Helper()
	if _, err := c.conn.Write(line); err != nil {
		c.Fatalf("send the command %q: %v", line, err)
	}
}

// expect reads the next notice and checks its kind and the id of its run.
func (c *testConn) expect(kind processor.NoticeKind, id string) processor.Notice {
	c.Helper()
	line, err := c.lines.ReadBytes('\n')
	if err != nil {
		c.Fatalf("read a notice, want %s of run %q: %v", kind, id, err)
	}
	notice, err := c.parser.Parse(bytes.TrimSuffix(line, []byte("\n")))
	if err != nil {
		c.Fatalf("parse the notice %q: %v", line, err)
	}
	if notice.Kind != kind || notice.ID != id {
		c.Fatalf("got notice %s of run %q, want %s of run %q", notice.Kind, notice.ID, kind, id)
	}
	return notice
}

func alwaysCallsUpstream(string, string) bool { return true }

func TestServer_RunReturnsResult(t *testing.T) {
	s := startServer(t, Config{Result: func(id string, body []byte) []byte { return []byte(id + " " + string(body)) }})
	c := connect(t, s, 0)
	c.send(processor.AppendStart(nil, "1", "ping", []byte("x")))
	ended := c.expect(processor.NoticeRunEnded, "1")
	if ended.Outcome != admission.Finished || string(ended.Body) != "1 x" {
		t.Errorf("run ended with outcome %s and result %q, want %s and %q",
			ended.Outcome, ended.Body, admission.Finished, "1 x")
	}
	if stats := s.Stats(); stats != (Stats{Started: 1, Ended: 1, Resumed: 1}) {
		t.Errorf("got %+v, want 1 run started and ended, and 1 connection resumed", stats)
	}
}

func TestServer_CountsRepeatedRunIDs(t *testing.T) {
	s := startServer(t, Config{})
	c := connect(t, s, 0)
	for range 2 {
		c.send(processor.AppendStart(nil, "1", "ping", nil))
		c.expect(processor.NoticeRunEnded, "1")
	}
	if stats := s.Stats(); stats.Started != 2 || stats.RepeatedRuns != 1 {
		t.Errorf("got %+v, want 2 runs started, 1 of them repeated", stats)
	}
}

func TestServer_RunsQueueForFreeCore(t *testing.T) {
	started := time.Now()
	const work = 0.1 // seconds; long enough for the executor to read all commands during the first run
	s := startServer(t, Config{Cores: 1, CPUSeconds: func(string, string) float64 { return work },
		Gauges: func(busy, waiting int) []float64 { return []float64{float64(busy), float64(waiting)} }})
	c := connect(t, s, 0)
	ids := []string{"1", "2"}
	var commands []byte
	for _, id := range ids {
		commands = processor.AppendStart(commands, id, "ping", nil)
	}
	c.send(processor.AppendReadGauges(commands, "g"))
	gauges := c.expect(processor.NoticeGauges, "")
	if busy, waiting := gauges.Gauges[0], gauges.Gauges[1]; busy != 1 || waiting != 1 {
		t.Errorf("got %g busy cores and %g waiting runs, want 1 and 1", busy, waiting)
	}
	for _, id := range ids {
		c.expect(processor.NoticeRunEnded, id)
	}
	if took := time.Since(started).Seconds(); took < 2*work {
		t.Errorf("two runs on one core took %g s, want at least %g s", took, 2*work)
	}
}

func TestServer_RunWaitsForUpstreamReply(t *testing.T) {
	s := startServer(t, Config{CallsUpstream: alwaysCallsUpstream})
	c := connect(t, s, 0)
	c.send(processor.AppendStart(nil, "1", "ping", []byte("x")))
	call := c.expect(processor.NoticeAwaitingCall, "1")
	c.send(processor.AppendSkipCall(nil, "1", call.Serial+1)) // the serial of another call
	c.expect(processor.NoticeRejected, "1")
	c.send(processor.AppendReply(nil, "1", []byte("reply")))
	c.expect(processor.NoticeRunEnded, "1")
	c.send(processor.AppendReply(nil, "1", []byte("reply"))) // the run has ended
	c.expect(processor.NoticeRejected, "1")
}

func TestServer_CallTimeoutCancelsTheRun(t *testing.T) {
	s := startServer(t, Config{CallsUpstream: alwaysCallsUpstream, CallTimeoutSeconds: 0.02})
	c := connect(t, s, 0)
	c.send(processor.AppendStart(nil, "1", "ping", nil))
	c.expect(processor.NoticeAwaitingCall, "1")
	if ended := c.expect(processor.NoticeRunEnded, "1"); ended.Outcome != admission.Cancelled {
		t.Errorf("run ended with outcome %s, want %s", ended.Outcome, admission.Cancelled)
	}
}

// A run ends while the connection is down: the next connection receives its end notice, and none of
// the notices that the server has read.
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
	// The gauges notice shows that the executor has read the start command before it.
	first.send(processor.AppendReadGauges(processor.AppendStart(nil, "slow", "ping", nil), "g"))
	first.expect(processor.NoticeGauges, "")
	s.Disconnect()
	for deadline := time.Now().Add(testTimeout); s.Stats().Ended < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("run %q did not end within %s", "slow", testTimeout)
		}
	}
	second := connect(t, s, read.Serial)
	second.expect(processor.NoticeRunEnded, "slow")
}
