package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/fake/registry"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/serving"
)

// fixture is a server on loopback with fakes of all that it speaks with, written from the
// protocols' pages.
type fixture struct {
	*testing.T
	server           *Server
	runResult        chan error
	executorListener net.Listener
	upstreamListener net.Listener
	registry         *registry.Server
	executor         *testConn
	wrapAccept       func(acceptFunc) acceptFunc // where it is set, the acceptor accepts by what it returns
}

// startServer starts a server; change alters what it is told.
func startServer(t *testing.T, change func(*config.Startup)) *fixture {
	return startServerWith(t, change, nil)
}

// startServerWith is build with an operator's file.
func startServerWith(t *testing.T, change func(*config.Startup), operator *config.OperatorSettings,
	prepare ...func(*fixture)) *fixture {
	f := startUnready(t, change, operator, prepare...)
	f.executor.sendUp("seasoned", 3600000)
	if report := <-f.registry.Reports(); !report.Accepting {
		t.Fatalf("first report %+v", report)
	}
	return f
}

// startUnready starts a server whose executor has accepted its link and is not up yet.
func startUnready(t *testing.T, change func(*config.Startup), operator *config.OperatorSettings,
	prepare ...func(*fixture)) *fixture {
	logging.SetOutput(t.Output())
	f := &fixture{
		T:                t,
		runResult:        make(chan error, 1),
		executorListener: listenLoopback(t),
		upstreamListener: listenLoopback(t),
		registry:         newFakeRegistry(t),
	}
	startup := testStartup(t, f.addresses())
	if change != nil {
		change(startup)
	}
	f.server = New(startup, operator)
	for _, p := range prepare {
		p(f)
	}
	go func() { f.runResult <- f.run() }()
	f.executor = acceptConn(t, f.executorListener)
	if hello := f.executor.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 0.0 {
		t.Fatalf("first line %v", hello)
	}
	t.Cleanup(func() {
		f.server.stop()
		if err := <-f.runResult; err != nil {
			t.Error(err)
		}
		logging.SetOutput(io.Discard)
	})
	return f
}

// testStartup is what a server of the tests is told where a test says nothing else.
func testStartup(t *testing.T, addresses config.Addresses) *config.Startup {
	front := listenLoopback(t)
	address := front.Addr().String()
	_ = front.Close()
	return &config.Startup{
		Name:        "n1",
		Listen:      address,
		Addresses:   addresses,
		StopTimeout: 4,
		MaxSockets:  256,
		MemoryBytes: 64 << 20,
		ClassIndex:  map[string]int{"quote": 0},
		TenantIndex: map[string]int{"acme": 0},
		ClassNames:  []string{"quote"},
		Gauges:      []string{"cpu_busy", "runnable"},
		Settings: admission.Settings{
			Cores:               2,
			Servers:             1,
			Clients:             1,
			Concurrency:         admission.ConcurrencySettings{PerCore: 8, Window: 1},
			Memory:              admission.MemorySettings{Limit: 1e6, RunningFactor: 1},
			Downstream:          admission.DownstreamSettings{Kind: admission.ServerTier},
			DeadlinePropagation: true,
			IdleTimeout:         30,
			DrainGracePeriod:    0.1,
			DeadlineTolerance:   0.05,
			Tenants:             []admission.Tenant{{Rate: 1000}},
			Classes: []admission.Class{
				{SoftDeadline: 30, Timeout: 60, Value: 1, LateValue: 1, CallsDownstream: true},
			},
		},
	}
}

// run runs the server, with what stands in for its accept.
func (f *fixture) run() error {
	if f.wrapAccept == nil {
		return f.server.Run()
	}
	a, err := newAcceptor(f.server.startup.Listen)
	if err != nil {
		return err
	}
	a.accept = f.wrapAccept(a.accept)
	return f.server.runWith(a)
}

// startRunningRequest is a server on which a client's request a1, message 1 of its connection,
// runs.
func startRunningRequest(t *testing.T, change func(*config.Startup)) (*fixture, *testConn) {
	f := startServer(t, change)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	return f, client
}

func (f *fixture) addresses() config.Addresses {
	return config.Addresses{Executor: f.executorListener.Addr().String(), Registry: f.registry.Addr(),
		Upstream: f.upstreamListener.Addr().String()}
}

// newFakeRegistry hangs up after each report, at times before its answer.
func newFakeRegistry(t *testing.T) *registry.Server {
	fake, err := registry.Start("127.0.0.9:0", func(n int) registry.Response {
		return []registry.Response{registry.CloseAfterReply, registry.CloseWithoutReply}[n%2]
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fake.Close)
	return fake
}

func (f *fixture) dialClient() *testConn {
	f.Helper()
	conn, err := net.DialTimeout("tcp", f.server.startup.Listen, testTimeout)
	if err != nil {
		f.Fatal(err)
	}
	return newTestConn(f.T, conn)
}

// onLoop has the server's loop do something, and waits until it has.
func (f *fixture) onLoop(do func(s *Server)) {
	done := make(chan struct{})
	_ = f.server.loop.execute(func() {
		do(f.server)
		close(done)
	})
	<-done
}

// query runs a question on the server's loop.
func query[T any](f *fixture, question func(*Server) T) T {
	f.Helper()
	answer := make(chan T, 1)
	_ = f.server.loop.execute(func() { answer <- question(f.server) })
	return <-answer
}

// waitUntil waits until an answer is what it should be.
func waitUntil[T comparable](f *fixture, want T, question func(*Server) T) {
	f.Helper()
	var got T
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = query(f, question); got == want {
			return
		}
	}
	f.Fatalf("%v, not %v", got, want)
}

func clientCount(s *Server) int { return s.clients.conns.Len() }

func (f *fixture) holdClients(n int, heeds bool) *balancer.IdleConns {
	f.Helper()
	c, err := balancer.OpenIdle(f.server.startup.Listen, n, heeds)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(c.Close)
	return c
}

// dialFrom dials the server from an address of loopback.
func (f *fixture) dialFrom(addr string) (*testConn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr)}, Timeout: testTimeout}
	conn, err := dialer.Dial("tcp", f.server.startup.Listen)
	if err != nil {
		return nil, err
	}
	return newTestConn(f.T, conn), nil
}

// waitUntilRefused dials until the system refuses a connection: the listener closes a moment after
// the connections are asked to.
func (f *fixture) waitUntilRefused() {
	f.Helper()
	for {
		conn, err := net.DialTimeout("tcp", f.server.startup.Listen, testTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			_ = conn.Close()
		} else if !errors.Is(err, syscall.ECONNRESET) { // it lay in the queue as the listener closed, and nothing ran
			f.Fatal(err)
		}
	}
}

func (f *fixture) setDirective(now serving.Mode, until float64, then serving.Mode) *serving.VersionStats {
	stamp := &serving.VersionStats{}
	f.server.SetDirective(&serving.Directive{
		Epoch:     3,
		Mode:      now,
		ChangesAt: until,
		NextMode:  then,
		Reason:    "a test",
		Stats:     stamp,
	})
	return stamp
}

// waitForReport waits for a report that says so.
func (f *fixture) waitForReport(takes bool) {
	f.Helper()
	for report := range f.registry.Reports() {
		if report.Accepting == takes {
			return
		}
	}
}

// runRequests runs what is begun: it tells of each begin, and ends them all once finish is closed.
func (f *fixture) runRequests(begun chan<- string, finish <-chan struct{}) {
	ends := make(chan string, cap(begun))
	go func() { // notices go in the order of their numbers
		<-finish
		for end := range ends {
			_, _ = io.WriteString(f.executor, end) // the test ends where this fails
		}
	}()
	go func() {
		defer close(ends)
		serial := 0
		for {
			line, err := f.executor.in.ReadString('\n')
			if err != nil {
				return
			}
			var m struct{ Msg, Call, Cookie string }
			if json.Unmarshal([]byte(line), &m) != nil {
				return
			}
			switch m.Msg {
			case "usage":
				_, _ = fmt.Fprintf(f.executor, `{"msg":"used","cookie":"%s","stats":[0.5,1]}`+"\n", m.Cookie)
			case "begin":
				begun <- m.Call
				serial++
				ends <- fmt.Sprintf(completionLine, serial, m.Call, "done", "eQ==")
			}
		}
	}()
}

// deduplicateOnlyClass makes the only class one whose requests bear a key and may run once in a
// window of 20 s.
func deduplicateOnlyClass(s *config.Startup) {
	s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = admission.Deduplicated, 20
}

func guardedConfig(t *testing.T, text string) *config.OperatorSettings {
	c, err := config.ParseOperatorSettings("test", []byte("door on\ndoor-arrivals-per-address 0\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// floodWithConnections has untrusted clients hold connections and do a health check on each, from
// ever new addresses, until it is stopped.
func (f *fixture) floodWithConnections(ctx context.Context, prefix string) *atomic.Int64 {
	var tries atomic.Int64
	for i := range 8 {
		go func() {
			var held []net.Conn
			for n := 0; ctx.Err() == nil; n++ {
				from := net.ParseIP(fmt.Sprintf("%s.%d.%d", prefix, i, n%250+1))
				dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: time.Second}
				conn, err := dialer.DialContext(ctx, "tcp", f.server.startup.Listen)
				tries.Add(1)
				if err != nil {
					continue
				}
				_, _ = io.WriteString(conn, healthCheck(1))
				if held = append(held, conn); len(held) > 100 {
					_ = held[0].Close()
					held = held[1:]
				}
			}
			for _, conn := range held {
				_ = conn.Close()
			}
		}()
	}
	return &tries
}
