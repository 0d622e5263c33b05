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

// fixture is a server on a loopback address, with fakes of all its peers, which implement the
// protocols as documented.
type fixture struct {
	*testing.T
	server           *Server
	runResult        chan error
	executorListener net.Listener
	upstreamListener net.Listener
	registry         *registry.Server
	executor         *testConn
	wrapAccept       func(acceptFunc) acceptFunc // wraps the acceptor's accept, nil for no wrapper
}

// startServer starts a server whose executor is up; change may modify its startup settings.
func startServer(t *testing.T, change func(*config.Startup)) *fixture {
	return startServerWith(t, change, nil)
}

// startServerWith is startServer with an operator's settings, and functions to prepare the fixture.
func startServerWith(t *testing.T, change func(*config.Startup), operator *config.OperatorSettings,
	prepare ...func(*fixture)) *fixture {
	f := startBeforeExecutorUp(t, change, operator, prepare...)
	f.executor.sendFirstMessage("seasoned", 3600000)
	if report := <-f.registry.Reports(); !report.Accepting {
		t.Fatalf("first report %+v, want accepting", report)
	}
	return f
}

// startBeforeExecutorUp starts a server whose executor has accepted the link but sent no first message.
func startBeforeExecutorUp(t *testing.T, change func(*config.Startup), operator *config.OperatorSettings,
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
		t.Fatalf("first message %v, want hello with serial 0", hello)
	}
	t.Cleanup(func() {
		f.server.stop()
		if err := <-f.runResult; err != nil {
			t.Errorf("Run returned error %v, want nil", err)
		}
		logging.SetOutput(io.Discard)
	})
	return f
}

// testStartup returns the default startup settings of the tests' servers.
func testStartup(t *testing.T, addresses config.Addresses) *config.Startup {
	listener := listenLoopback(t) // finds a free port for the server
	address := listener.Addr().String()
	_ = listener.Close()
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
			Concurrency:         admission.ConcurrencySettings{RunsPerCore: 8, AveragingWindow: 1},
			Memory:              admission.MemorySettings{Limit: 1e6, RunningFactor: 1},
			Downstream:          admission.DownstreamSettings{Kind: admission.ServerTier},
			DeadlinePropagation: true,
			IdleTimeout:         30,
			DrainGracePeriod:    0.1,
			DeadlineTolerance:   0.05,
			Tenants:             []admission.Tenant{{Rate: 1000}},
			Classes: []admission.Class{
				{SoftDeadline: 30, Timeout: 60, Value: 1, LateValueFraction: 1, CallsDownstream: true},
			},
		},
	}
}

// run runs the server, with wrapAccept if it is set.
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

// startRunningRequest starts a server with a running request: a1, which is message 1 of the returned
// client.
func startRunningRequest(t *testing.T, change func(*config.Startup)) (*fixture, *testConn) {
	f := startServer(t, change)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	return f, client
}

// acceptResumedLink accepts a further link from the server, and acts as the executor until commands may
// be sent on it.
func (f *fixture) acceptResumedLink() *testConn {
	f.Helper()
	executor := acceptConn(f.T, f.executorListener)
	if hello := executor.readCommand(false); hello["msg"] != "hello" {
		f.Fatalf("first message %v on a further link, want hello", hello)
	}
	executor.sendFirstMessage("seasoned", 1)
	if command := executor.readCommand(true); command["msg"] != "usage" {
		f.Fatalf("command %v before the link was resumed, want usage", command)
	}
	return executor
}

// replyToCall accepts an upstream connection on which the server makes a call of request a1 with the
// given body, and sends the reply.
func (f *fixture) replyToCall(body, reply string) {
	f.Helper()
	peer := acceptConn(f.T, f.upstreamListener)
	peer.expect("FETCH a1 ")
	peer.expect("\r\n" + body + "\r\n")
	peer.send("a1 DATA %d\r\n%s\r\n", len(reply), reply)
}

func (f *fixture) addresses() config.Addresses {
	return config.Addresses{Executor: f.executorListener.Addr().String(), Registry: f.registry.Addr(),
		Upstream: f.upstreamListener.Addr().String()}
}

// newFakeRegistry starts a registry that closes the connection after each report, every second time
// without a reply.
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

// onLoop runs a function on the server's loop, and waits until it has returned.
func (f *fixture) onLoop(run func(s *Server)) {
	done := make(chan struct{})
	_ = f.server.loop.execute(func() {
		run(f.server)
		close(done)
	})
	<-done
}

// query runs a function on the server's loop and returns its result.
func query[T any](f *fixture, get func(*Server) T) T {
	f.Helper()
	answer := make(chan T, 1)
	_ = f.server.loop.execute(func() { answer <- get(f.server) })
	return <-answer
}

// waitUntil repeats a query until its result is the wanted one.
func waitUntil[T comparable](f *fixture, want T, get func(*Server) T) {
	f.Helper()
	var got T
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = query(f, get); got == want {
			return
		}
	}
	f.Fatalf("got %v after %v, want %v", got, testTimeout, want)
}

func clientCount(s *Server) int { return s.clients.conns.Len() }

// openIdleClients opens idle connections of clients; closesWhenAsked is whether the clients close them
// when the server asks for it.
func (f *fixture) openIdleClients(n int, closesWhenAsked bool) *balancer.IdleConns {
	f.Helper()
	c, err := balancer.OpenIdle(f.server.startup.Listen, n, closesWhenAsked)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(c.Close)
	return c
}

// dialFrom dials the server from a loopback address.
func (f *fixture) dialFrom(addr string) (*testConn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr)}, Timeout: testTimeout}
	conn, err := dialer.Dial("tcp", f.server.startup.Listen)
	if err != nil {
		return nil, err
	}
	return newTestConn(f.T, conn), nil
}

// waitUntilRefused dials until the system refuses a connection, as the listener closes shortly after
// the clients are asked to close.
func (f *fixture) waitUntilRefused() {
	f.Helper()
	for {
		conn, err := net.DialTimeout("tcp", f.server.startup.Listen, testTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			_ = conn.Close()
		} else if !errors.Is(err, syscall.ECONNRESET) { // it was queued when the listener closed, so nothing ran
			f.Fatal(err)
		}
	}
}

func (f *fixture) setDirective(mode serving.Mode, changesAt float64, next serving.Mode) *serving.VersionStats {
	stats := &serving.VersionStats{}
	f.server.SetDirective(&serving.Directive{
		Epoch:     3,
		Mode:      mode,
		ChangesAt: changesAt,
		NextMode:  next,
		Reason:    "a test",
		Stats:     stats,
	})
	return stats
}

// waitForReport waits for a report to the registry with the given value of Accepting.
func (f *fixture) waitForReport(accepting bool) {
	f.Helper()
	for report := range f.registry.Reports() {
		if report.Accepting == accepting {
			return
		}
	}
}

// runRequests acts as the executor: it sends the ID of each started request to started, and completes
// all of them once finish is closed.
func (f *fixture) runRequests(started chan<- string, finish <-chan struct{}) {
	notices := make(chan string, cap(started))
	go func() { // one goroutine sends all notices, in the order of their numbers
		<-finish
		for notice := range notices {
			_, _ = io.WriteString(f.executor, notice) // if this fails, the test fails at its next step
		}
	}()
	go func() {
		defer close(notices)
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
				started <- m.Call
				serial++
				notices <- fmt.Sprintf(completionLine, serial, m.Call, "done", "eQ==")
			}
		}
	}()
}

// requireIdempotencyKeys makes the requests of the only class require idempotency keys, with a
// deduplication window of 20 s.
func requireIdempotencyKeys(s *config.Startup) {
	s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = admission.Deduplicated, 20
}

// connLimitConfig returns an operator's settings with the connection limiter on and no rate limit per
// address.
func connLimitConfig(t *testing.T, text string) *config.OperatorSettings {
	c, err := config.ParseOperatorSettings("test", []byte("door on\ndoor-arrivals-per-address 0\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// floodWithConnections opens connections from changing untrusted addresses, sends a health check on
// each and holds them open, until ctx ends. It returns the number of dials.
func (f *fixture) floodWithConnections(ctx context.Context, prefix string) *atomic.Int64 {
	var dials atomic.Int64
	for i := range 8 {
		go func() {
			var held []net.Conn
			for n := 0; ctx.Err() == nil; n++ {
				from := net.ParseIP(fmt.Sprintf("%s.%d.%d", prefix, i, n%250+1))
				dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}, Timeout: time.Second}
				conn, err := dialer.DialContext(ctx, "tcp", f.server.startup.Listen)
				dials.Add(1)
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
	return &dials
}
