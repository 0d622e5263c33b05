package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/standin/balancer"
)

func guardedConfig(t *testing.T, text string) *config.OperatorSettings {
	c, err := config.ParseOperatorSettings("test", []byte("door on\ndoor-arrivals-per-address 0\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// dialFrom dials the server from an address of loopback.
func (f *fixture) dialFrom(addr string) (*testConn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr)}, Timeout: testTimeout}
	c, err := d.Dial("tcp", f.server.startup.Listen)
	if err != nil {
		return nil, err
	}
	return newTestConn(f.T, c), nil
}

const healthCheckFrame = "\x94\x00\x01\xa6isWell\x91\x80"

// floodWithConnections has strangers hold connections and do a health check on each, from ever new
// addresses, until it is stopped.
func (f *fixture) floodWithConnections(ctx context.Context, prefix string) *atomic.Int64 {
	var tries atomic.Int64
	for i := range 8 {
		go func() {
			var held []net.Conn
			for n := 0; ctx.Err() == nil; n++ {
				d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s.%d.%d", prefix, i, n%250+1))}, Timeout: time.Second}
				c, err := d.DialContext(ctx, "tcp", f.server.startup.Listen)
				tries.Add(1)
				if err != nil {
					continue
				}
				_, _ = io.WriteString(c, healthCheckFrame)
				if held = append(held, c); len(held) > 100 {
					held[0].Close()
					held = held[1:]
				}
			}
			for _, c := range held {
				c.Close()
			}
		}()
	}
	return &tries
}

func TestConnLimit_TrustedAdmittedDuringFlood(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.MaxSockets = 128 }, guardedConfig(t, "door-known 127.7.0.0/16"))
	busy, err := f.dialFrom("127.8.0.1") // a stranger whose task is open all the while
	if err != nil {
		t.Fatal(err)
	}
	busy.send("%s", requestFrame(1, "b1", "x"))
	f.executor.expectCommand("begin", "b1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	tries := f.floodWithConnections(ctx, "127.6")
	for tries.Load() < 500 {
		time.Sleep(time.Millisecond)
	}
	for i := range 20 {
		client, err := f.dialFrom(fmt.Sprintf("127.7.0.%d", i+1))
		if err != nil {
			t.Fatalf("known one %d: %v", i, err)
		}
		id := fmt.Sprint("k", i)
		client.send("%s", requestFrame(1, id, "x"))
		f.executor.expectCommand("begin", id)
		f.executor.sendCompletion(i+1, id, "done", "r")
		client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	}
	stop()
	f.executor.sendCompletion(21, "b1", "done", "r")
	busy.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	busy.Close()
}

func TestConnLimit_RejectedClientGetsAnswer(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.Settings.MaxRetryAfter = 5 }, guardedConfig(t, "door-per-address 1"))
	first, err := f.dialFrom("127.6.0.1")
	if err != nil {
		t.Fatal(err)
	}
	first.send(healthCheckFrame)
	first.expect("\xc3\x80")
	second, err := f.dialFrom("127.6.0.1")
	if err != nil {
		t.Fatal(err)
	}
	second.send("%s", requestFrame(1, "a1", "x"))
	if got := second.expect("Busy"); !strings.HasPrefix(got, answerPrefix(1)) {
		t.Errorf("%q", got)
	}
	second.expect("pushback")
	if _, err := io.ReadAll(second.in); err != nil { // and then its close
		t.Error(err)
	}
	silent, err := f.dialFrom("127.6.0.1") // brings nothing: closed all the same
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(silent.in); err != nil {
		t.Error(err)
	}
	first.send("%s", requestFrame(2, "a2", "x")) // the one that is in goes on
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCompletion(1, "a2", "done", "r")
	first.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	if turned := query(f, func(s *Server) int { return s.clients.limiter.Turned(connlimit.OverCap) }); turned != 2 {
		t.Errorf("%d turned away", turned)
	}
}

func TestAcceptor_SurvivesFailingAccepts(t *testing.T) {
	for i, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENOMEM} {
		var fails atomic.Bool
		var times atomic.Int64
		var door *config.OperatorSettings
		if i < 4 {
			door = guardedConfig(t, "")
		} // and the plain server
		recovered := make(chan struct{}, 1) // it waits again, and takes nobody by the spare descriptor any more
		f := startServerWith(t, nil, door, func(f *fixture) {
			f.wrapAccept = func(accept acceptFunc) acceptFunc {
				return func() (acceptedSocket, error) {
					if fails.Load() {
						times.Add(1)
						return acceptedSocket{}, lack
					}
					if times.Load() > 0 {
						select {
						case recovered <- struct{}{}:
						default:
						}
					}
					return accept()
				}
			}
		})
		client := f.dialClient()
		client.send("%s", requestFrame(2, "a2", "x")) // with its task open it can't go for another
		f.executor.expectCommand("begin", "a2")
		fails.Store(true)
		f.dialClient().Close() // wakes the accept that is under way
		late := f.dialClient()
		late.send("%s", requestFrame(1, "a1", "x"))
		client.send("%s", requestFrame(3, "a3", "x")) // those that are in go on
		f.executor.expectCommand("begin", "a3")
		f.executor.sendCompletion(1, "a3", "done", "s")
		client.expect(answerPrefix(3) + resultPrefix + "\x01s\x80")
		f.executor.sendCompletion(2, "a2", "done", "r")
		client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
		time.Sleep(200 * time.Millisecond)
		if n := times.Load(); n == 0 || n > 100 {
			t.Errorf("%v: %d tries in a fifth of a second", lack, n)
		}
		if lack == syscall.EMFILE || lack == syscall.ENFILE { // answered by the spare descriptor
			late.expect("Busy")
			fails.Store(false)
			<-recovered
			late = f.dialClient()
			late.send("%s", requestFrame(1, "a1", "x"))
		}
		fails.Store(false)
		f.executor.expectCommand("begin", "a1")
		f.executor.sendCompletion(3, "a1", "done", "r")
		late.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	}
}

// Accept fails for good as the server is told to leave: it ends all the same.
func TestDrain_WhileAcceptFails(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.StopTimeout = 10 }, nil, func(f *fixture) {
		f.wrapAccept = func(acceptFunc) acceptFunc {
			return func() (acceptedSocket, error) { return acceptedSocket{}, syscall.ENFILE }
		}
	})
	f.server.Drain()
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 1 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	f.runResult <- nil
}

func TestAcceptor_SpareDescriptorRefusesWithAnswer(t *testing.T) {
	a, err := newAcceptor("127.0.0.9:0")
	if err != nil {
		t.Fatal(err)
	}
	defer a.listener.Close()
	for _, first := range []string{requestFrame(1, "a1", "x"), healthCheckFrame, ""} {
		c, err := net.Dial("tcp", a.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		e := newTestConn(t, c)
		e.send("%s", first)
		time.Sleep(time.Millisecond)
		given, ok := a.acceptWithSpare(syscall.EMFILE)
		if !ok || a.spareFile != nil {
			t.Fatal("the spare descriptor is not given up")
		}
		refuse(given, refusalReadTimeout)
		got, err := io.ReadAll(e.in)
		if err != nil || strings.Contains(string(got), "Busy") != strings.Contains(first, "quote") || (len(got) > 0) != (first != "") {
			t.Errorf("%q to %q, %v", got, first, err)
		}
		a.reserveSpare()
	}
	// All that was sent has an answer, and what is no message resets nothing.
	c, err := net.Dial("tcp", a.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	e := newTestConn(t, c)
	e.send("%s%s%s\xc1%s", requestFrame(1, "a1", "x"), healthCheckFrame, requestFrame(2, "a2", "x"), strings.Repeat("x", 20<<10))
	given, ok := a.acceptWithSpare(syscall.EMFILE)
	if !ok {
		t.Fatal("nobody to be accepted")
	}
	for queued := 0; queued < 20<<10; { // until it is all there
		if queued, err = unix.IoctlGetInt(given.fd, unix.TIOCINQ); err != nil {
			t.Fatal(err)
		}
	}
	refuse(given, refusalReadTimeout)
	got, err := io.ReadAll(e.in)
	if err != nil || strings.Count(string(got), "Busy") != 2 || !strings.Contains(string(got), "\xc0\x92\xc3") {
		t.Errorf("%q, %v", got, err)
	}
	a.reserveSpare()
	if _, ok := a.acceptWithSpare(syscall.ENOBUFS); ok || a.spareFile == nil {
		t.Error("given up for what it does not help")
	}
}

func TestConnLimit_MassReconnect(t *testing.T) {
	const n = 200
	f := startServerWith(t, func(s *config.Startup) { s.MaxSockets = 1024 }, guardedConfig(t, ""))
	for range 2 {
		crowd, err := balancer.Hold(f.server.startup.Listen, n, true)
		if err != nil {
			t.Fatal(err)
		}
		if crowd.Len() != n {
			t.Errorf("%d of %d are in", crowd.Len(), n)
		}
		crowd.Leave()
		waitUntil(f, 0, clientCount)
	}
	if k := query(f, func(s *Server) connlimit.Tally { return s.clients.limiter.Known() }); k.In != 0 || k.BusyStrangers != 0 {
		t.Errorf("%+v", k)
	}
}

func TestDrain_DuringFlood(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.MaxSockets, s.StopTimeout = 256, 8 }, guardedConfig(t, ""))
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	f.floodWithConnections(ctx, "127.6")
	f.server.Drain()
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	if f.server.drain.killAt-f.server.now() < 0 {
		t.Error("after the kill")
	}
	f.runResult <- nil
}

func TestConnLimit_RulesReloaded(t *testing.T) {
	f := startServerWith(t, nil, guardedConfig(t, "door-per-address 1"))
	in := func() bool {
		client, err := f.dialFrom("127.6.0.1")
		if err != nil {
			t.Fatal(err)
		}
		client.send("%s", requestFrame(1, "a1", "x"))
		waitUntil(f, true, func(s *Server) bool { return s.requests.Len() > 0 || s.statistics.rejectedAtLimit > 0 })
		is := query(f, func(s *Server) bool { return s.requests.Len() > 0 })
		if is {
			f.executor.expectCommand("begin", "a1")
		}
		return is
	}
	first, err := f.dialFrom("127.6.0.1")
	if err != nil {
		t.Fatal(err)
	}
	first.send(healthCheckFrame)
	first.expect("\xc3\x80")
	if in() {
		t.Error("over its cap")
	}
	f.server.ReloadConfig(guardedConfig(t, "door-known 127.6.0.0/16\ndoor-remember 128"))
	waitUntil(f, true, func(s *Server) bool { return len(s.clients.limiter.Named) > 0 })
	query(f, func(s *Server) bool { s.statistics.rejectedAtLimit = 0; return true })
	if !in() {
		t.Error("a named one is not let in")
	}
}
