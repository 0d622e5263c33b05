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
	"swiftcourse/internal/memory"
)

// eventLoop is gnet's loop, its timers and what wakes it.
type eventLoop struct {
	handle        gnet.EventLoop // nil until the first connection is open
	ready         chan struct{}  // closed once handle is set
	registerFirst registerFunc   // hands the first connection to the loop
	ticked        bool           // by gnet's ticker, whose goroutine alone uses it

	timers        memory.Wheel
	turn          gnet.Runnable // runTurn
	turnScheduled bool
	wakeup        *time.Timer
	wakeupAt      float64 // when wakeup goes off, +Inf for never
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

// execute queues f on the loop, which has to be ready. It fails only where the engine is down, and
// then nothing is left to do.
func (l *eventLoop) execute(f loopFunc) error {
	return l.handle.Execute(context.Background(), f)
}

// isReady reports whether the loop has begun, from any goroutine.
func (l *eventLoop) isReady() bool {
	select {
	case <-l.ready:
		return true
	default:
		return false
	}
}

// requestTurn has the loop take a turn, from any goroutine. A loop that has not begun sees what is
// new in its first turn.
func (l *eventLoop) requestTurn() {
	if l.isReady() {
		_ = l.handle.Execute(context.Background(), l.turn)
	}
}

// executeWhenReady runs f on the loop once that has begun; it returns at once.
func (l *eventLoop) executeWhenReady(f loopFunc) {
	go func() {
		<-l.ready
		_ = l.execute(f)
	}()
}

// every calls f on the loop each interval seconds, the first time an interval from now.
func (s *Server) every(interval float64, f func()) {
	var tick func()
	tick = func() {
		f()
		s.loop.timers.Schedule(s.now()+interval, tick)
	}
	s.loop.timers.Schedule(s.now()+interval, tick)
}

// OnTick opens the first dialed connection. gnet calls it on a goroutine of its own once the loop
// is there; before that, nothing can be registered on it.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if !s.loop.ticked {
		s.loop.ticked = true
		if s.fleet.forwarding != nil {
			s.dialWith(s.loop.registerFirst, dialTarget{addressOf: registryAddress, handler: s.registry})
		} else {
			s.dialWith(s.loop.registerFirst, dialTarget{addressOf: executorAddress, handler: s.executor})
		}
	}
	return time.Hour, gnet.None
}

// OnOpen meets a new connection: one that the server dialed, or a client's.
func (s *Server) OnOpen(conn gnet.Conn) (_ []byte, action gnet.Action) {
	defer s.recoverPanic(conn, &action)
	if s.loop.handle == nil {
		s.begin(conn.EventLoop())
	}
	var handler connHandler
	address := ""
	if dialed, ok := conn.Context().(*dialed); ok {
		conn.SetContext(dialed.handler)
		if dialed.addressOf(s.endpoints.Load()) != dialed.address { // moved meanwhile
			s.dial(dialed.dialTarget)
			return nil, gnet.Close
		}
		handler = dialed.handler
		address = dialed.address
	} else {
		handler = s.addClient(conn)
	}
	if err := handler.handleOpen(conn, address); err != nil {
		if s.mayLogPeerFault() {
			slog.Info("connection_refused", "peer", conn.RemoteAddr(), "err", err)
		}
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// begin takes over the loop, with its first connection.
func (s *Server) begin(loop gnet.EventLoop) {
	s.loop.handle = loop
	s.loop.wakeup = time.AfterFunc(time.Hour, func() {
		_ = loop.Execute(context.Background(), s.loop.turn)
	})
	s.every(statisticsInterval, s.logStatistics)
	if s.fleet.forwarding == nil {
		s.dial(dialTarget{addressOf: registryAddress, handler: s.registry})
	}
	close(s.loop.ready)
}

// OnTraffic reads what has come on a connection.
func (s *Server) OnTraffic(conn gnet.Conn) (action gnet.Action) {
	defer s.recoverPanic(conn, &action)
	handler, ok := conn.Context().(connHandler)
	if !ok || !handler.owns(conn) {
		return gnet.Close
	}
	data, err := conn.Peek(-1)
	if err != nil || len(data) == 0 {
		return gnet.None
	}
	n, err := handler.handleData(data)
	if n > 0 {
		_, _ = conn.Discard(n) // n is no more than what is there
	}
	if err == nil {
		return gnet.None
	}
	s.statistics.malformed++
	if s.mayLogPeerFault() {
		slog.Info("protocol_error", "peer", conn.RemoteAddr(), "err", err)
	}
	if client, ok := handler.(*clientConn); ok {
		client.mute()
		_, _ = conn.Discard(len(data) - n)
		return gnet.None
	}
	return gnet.Close
}

// OnClose lets go of a connection.
func (s *Server) OnClose(conn gnet.Conn, err error) (action gnet.Action) {
	defer s.recoverPanic(conn, &action)
	if handler, ok := conn.Context().(connHandler); ok && handler.owns(conn) {
		handler.handleClose(err)
	}
	return gnet.None
}

// recoverPanic stops a panic at the connection whose handling raised it.
func (s *Server) recoverPanic(conn gnet.Conn, action *gnet.Action) {
	if cause := recover(); cause != nil {
		slog.Info("panic", "peer", conn.RemoteAddr(), "cause", fmt.Sprint(cause), "stack", debug.Stack())
		*action = gnet.Close
	}
}

// gnetLogger passes the library's warnings on in the form of the server's log.
type gnetLogger struct{}

// Debugf drops what the library says of its own workings.
func (gnetLogger) Debugf(string, ...any) {}

// Infof drops what the library says of its own workings.
func (gnetLogger) Infof(string, ...any) {}

// Warnf logs a warning of the library.
func (gnetLogger) Warnf(format string, args ...any) {
	slog.Info("network_library", "level", "warn", "text", fmt.Sprintf(format, args...))
}

// Errorf logs an error of the library.
func (gnetLogger) Errorf(format string, args ...any) {
	slog.Info("network_library", "level", "error", "text", fmt.Sprintf(format, args...))
}

// Fatalf logs an error of the library after which it can't go on, and ends the process.
func (gnetLogger) Fatalf(format string, args ...any) {
	logging.Fatal("network_library", "level", "fatal", "text", fmt.Sprintf(format, args...))
}
