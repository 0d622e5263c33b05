package server

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"runtime/debug"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/logging"
	"swiftcourse/internal/timerwheel"
)

// eventLoop is gnet's loop, the timers that run on it, and the Go timer that wakes the loop when the
// next of them is due.
type eventLoop struct {
	handle           gnet.EventLoop // nil until the first connection is open
	ready            chan struct{}  // closed once handle is set
	registerFirst    registerFunc   // registers the first connection, before handle is set
	firstDialStarted bool           // OnTick has dialed; only the goroutine of gnet's ticker uses it

	timers        timerwheel.Wheel
	turn          gnet.Runnable // calls the server's runTurn
	turnScheduled bool
	wakeup        *time.Timer
	wakeupAt      float64 // when wakeup fires, +Inf for never
}

func newEventLoop(s *Server) eventLoop {
	return eventLoop{
		ready:    make(chan struct{}),
		turn:     gnet.RunnableFunc(func(context.Context) error { return s.runTurn() }),
		wakeupAt: math.Inf(1),
	}
}

// loopFunc is a function that the loop runs.
type loopFunc func()

// Run implements gnet.Runnable.
func (f loopFunc) Run(context.Context) error {
	f()
	return nil
}

// execute queues f on the loop, which must be ready. It returns an error only if the engine is
// stopped; callers may ignore it, as a stopped server needs nothing more done.
func (l *eventLoop) execute(f loopFunc) error {
	return l.handle.Execute(context.Background(), f)
}

// isReady reports whether the loop has started. Any goroutine may call it.
func (l *eventLoop) isReady() bool {
	select {
	case <-l.ready:
		return true
	default:
		return false
	}
}

// requestTurn queues a turn on the loop. Any goroutine may call it. Before the loop has started the
// call has no effect: the loop's first turn finds the changes.
func (l *eventLoop) requestTurn() {
	if l.isReady() {
		_ = l.handle.Execute(context.Background(), l.turn)
	}
}

// waitAndExecute waits until the loop has started, and queues f on it. It returns without doing so
// if ctx ends first.
func (l *eventLoop) waitAndExecute(ctx context.Context, f loopFunc) {
	select {
	case <-l.ready:
		_ = l.execute(f)
	case <-ctx.Done():
	}
}

// executeWhenReady queues f on the loop once the loop has started. It returns at once.
func (l *eventLoop) executeWhenReady(f loopFunc) {
	go l.waitAndExecute(context.Background(), f)
}

// scheduleEvery calls f on the loop repeatedly, at an interval in seconds. The first call is one
// interval from now.
func (s *Server) scheduleEvery(interval float64, f func()) {
	var tick func()
	tick = func() {
		f()
		s.loop.timers.Schedule(s.now()+interval, tick)
	}
	s.loop.timers.Schedule(s.now()+interval, tick)
}

// OnTick dials the first connection. gnet calls it on a separate goroutine once the loop exists;
// before that no connection can be registered.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if !s.loop.firstDialStarted {
		s.loop.firstDialStarted = true
		if s.fleet.forwarding != nil {
			s.dialWith(s.loop.registerFirst, dialTarget{addressOf: registryAddress, handler: s.registry})
		} else {
			s.dialWith(s.loop.registerFirst, dialTarget{addressOf: executorAddress, handler: s.executor})
		}
	}
	return time.Hour, gnet.None
}

// OnOpen passes a new connection, dialed by the server or opened by a client, to its handler.
func (s *Server) OnOpen(conn gnet.Conn) (_ []byte, action gnet.Action) {
	defer s.recoverPanic(conn, &action)
	if s.loop.handle == nil {
		s.startLoop(conn.EventLoop())
	}
	var handler connHandler
	address := ""
	if result, ok := conn.Context().(*dialResult); ok {
		conn.SetContext(result.handler)
		if result.addressOf(s.endpoints.Load()) != result.address { // the address changed meanwhile
			s.dial(result.dialTarget)
			return nil, gnet.Close
		}
		handler = result.handler
		address = result.address
	} else {
		handler = s.addClient(conn)
	}
	if err := handler.handleOpen(conn, address); err != nil {
		if s.allowPeerFaultLog() {
			slog.Info("connection_closed", "peer", conn.RemoteAddr(), "err", err)
		}
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// startLoop starts using gnet's loop, which is known once its first connection is open.
func (s *Server) startLoop(loop gnet.EventLoop) {
	s.loop.handle = loop
	s.loop.wakeup = time.AfterFunc(time.Hour, func() {
		_ = loop.Execute(context.Background(), s.loop.turn)
	})
	s.scheduleEvery(statisticsIntervalSeconds, s.logStatistics)
	if s.fleet.forwarding == nil {
		s.dial(dialTarget{addressOf: registryAddress, handler: s.registry})
	}
	close(s.loop.ready)
}

// OnTraffic passes the input of a connection to its handler.
func (s *Server) OnTraffic(conn gnet.Conn) (action gnet.Action) {
	defer s.recoverPanic(conn, &action)
	handler, ok := conn.Context().(connHandler)
	if !ok || !handler.owns(conn) {
		return gnet.Close
	}
	if !handler.handleInput(conn.InboundBuffered()) {
		return gnet.None
	}
	data, err := conn.Peek(-1)
	if err != nil || len(data) == 0 {
		return gnet.None
	}
	n, err := handler.handleData(data)
	defer s.flushIfLarge()
	if n > 0 {
		_, _ = conn.Discard(n) // can't fail: n is at most len(data)
	}
	if err == nil {
		return gnet.None
	}
	s.statistics.malformed++
	if s.allowPeerFaultLog() {
		slog.Info("protocol_error", "peer", conn.RemoteAddr(), "err", err)
	}
	if client, ok := handler.(*clientConn); ok {
		client.mute()
		_, _ = conn.Discard(len(data) - n)
		return gnet.None
	}
	return gnet.Close
}

// OnClose tells the handler of a connection that it closed.
func (s *Server) OnClose(conn gnet.Conn, err error) (action gnet.Action) {
	defer s.recoverPanic(conn, &action)
	if handler, ok := conn.Context().(connHandler); ok && handler.owns(conn) {
		handler.handleClose(err)
	}
	return gnet.None
}

// recoverPanic recovers from a panic in a connection's handler, logs it, and closes only that
// connection.
func (s *Server) recoverPanic(conn gnet.Conn, action *gnet.Action) {
	if cause := recover(); cause != nil {
		slog.Info("panic", "peer", conn.RemoteAddr(), "cause", fmt.Sprint(cause), "stack", debug.Stack())
		*action = gnet.Close
	}
}

// gnetLogger writes gnet's warnings and errors to the server's log.
type gnetLogger struct{}

// Debugf drops debug messages.
func (gnetLogger) Debugf(string, ...any) {}

// Infof drops informational messages.
func (gnetLogger) Infof(string, ...any) {}

// Warnf logs a warning.
func (gnetLogger) Warnf(format string, args ...any) {
	slog.Info("network_library", "level", "warn", "text", fmt.Sprintf(format, args...))
}

// Errorf logs an error.
func (gnetLogger) Errorf(format string, args ...any) {
	slog.Info("network_library", "level", "error", "text", fmt.Sprintf(format, args...))
}

// Fatalf logs an error that gnet can't recover from, and ends the process.
func (gnetLogger) Fatalf(format string, args ...any) {
	logging.Fatal("network_library", "level", "fatal", "text", fmt.Sprintf(format, args...))
}
