// Package server runs the server's loop. One event loop of gnet owns the module, the tables and all links: it
// gathers what arrives in a turn into one batch of events, has the module decide once, and carries the
// actions out. It has mechanics only; every decision is the module's.
package server

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/bufferpool"
	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/resultcache"
	"swiftcourse/internal/slottable"
	"swiftcourse/internal/timerwheel"
	"swiftcourse/internal/wire/rpc"
)

// Server is one real server.
type Server struct {
	gnet.BuiltinEventEngine
	startup    *config.Startup
	endpoints  atomic.Pointer[endpoints] // where the other parties are, for the goroutines that dial too
	anchor     time.Time                 // when the clock was set, by the Unix clock's unix seconds
	anchorUnix float64

	registerFirst registerFunc // hands the first link to the loop
	ticked        bool         // by gnet's ticker, which alone looks at it
	loop          gnet.EventLoop
	loopReady     chan struct{} // closed once loop is set
	wakeupTimer   *time.Timer
	wakeupAt      float64
	turnScheduled bool // a turn is on its way
	turnRunnable  gnet.Runnable

	controller                 *admission.Controller // nil until the processor is up
	pendingEvents, spareEvents []admission.Event     // of the next batch; of the last
	gauges                     admission.Gauges      // the latest
	gaugesAt                   float64               // when they were read
	timers                     timerwheel.Wheel
	requests                   *requesttable.Table
	results                    *resultcache.Cache
	buffers                    bufferpool.Pool
	scratch                    []byte
	unflushed                  []*bufferedConn // have something to write at the end of the turn

	clients          slottable.Table[clientConn]
	connLimiter      *connlimit.Door
	holdingArea      int                      // places in it, as the operator's file says
	operatorSettings *config.OperatorSettings // the operator's file, with what was released
	requestLists     requesttable.ListPool
	acceptBy         func(accept func() (acceptedSocket, error)) func() (acceptedSocket, error) // for tests, in which accept fails
	acceptor         *acceptor
	stopped          chan struct{}   // closed at the end, for the acceptor
	runContext       context.Context // done then, for dials
	cancelRun        func()
	stopOnce         sync.Once       // for that
	lagging          []*bufferedConn // balancers' that may have left something unread
	muted            []mutedConn
	lingering        []*lingeringConn // in the order in which they began
	sweepTimer       func()           // sweep and count, made once for all their timers
	statisticsTimer  func()
	executor         *executorLink
	upstream         upstreamPool
	upstreamCalls    map[string]*upstreamCall // by the task they are made for
	registry         *registryLink

	loadReport        rpc.Say // goes with every answer
	healthy           bool
	directive         atomic.Pointer[serving.Directive] // in the fleet, nil where there is none
	servingMode       serving.Mode
	keyClaims         *keyClaims // nil where no stage's tasks are claimed
	allowances        atomic.Pointer[[]serving.Allowance]
	quotas            *quotas          // nil where none are shared
	forwarding        *forwarding      // nil where tasks run at a processor
	counters          *requestCounters // nil where nothing is counted for a fleet
	drainAt, killAt   float64
	closingGracefully bool // all connections are asked to close, as the server leaves
	statistics        statistics
	peerFaultLoggedAt float64 // when a line about a peer's nonsense was last written
}

// statistics is what happened since the last line of counts.
type statistics struct {
	read, finished, rejected, abandoned, clientGone, invalid, calls, turns int
	malformed, commandsRejected                                            int // connections closed for their bytes; commands not carried out
	rejectedAtLimit                                                        int // tasks rejected at the door
	rejectedOutOfService                                                   int // tasks rejected as the fleet does not let this server act
	quotaExpired                                                           int // times at which a part of a budget ran out, as nobody renewed it
	claimsFailed                                                           int // tasks rejected or abandoned as the fleet did not grant their keys
	evicted, silent, askedToClose                                          int // connections closed for another's sake, or as they brought nothing; asked to close

	unreadSeconds, longestUnread float64 // seconds that tasks waited unread, in all and at most
	gaugeAge                     float64 // the oldest reading that a timer came with
	timersWithoutGauges          int     // timers that came with none
	longestTurn                  float64 // seconds that a turn took, at most
}

// resultCacheShare of the memory is for results that repeats may still want: as much as answers that peers leave unread.
const resultCacheShare = 8

// New makes a server that has not started yet; conf is the operator's file.
func New(start *config.Startup, conf *config.OperatorSettings) *Server {
	now := time.Now()
	s := &Server{startup: start, anchor: now, anchorUnix: float64(now.UnixMicro()) / 1e6, loopReady: make(chan struct{}),
		wakeupAt: math.Inf(1), requests: requesttable.New(), results: resultcache.New(int(start.MemoryBytes / resultCacheShare)),
		upstreamCalls: map[string]*upstreamCall{}, stopped: make(chan struct{}),
		drainAt: math.Inf(1), killAt: math.Inf(1),
		gauges: unknownGauges(), gaugesAt: math.Inf(-1)}
	s.operatorSettings = conf
	s.connLimiter = s.newConnLimiter(conf)
	s.runContext, s.cancelRun = context.WithCancel(context.Background())
	s.endpoints.Store(newEndpoints(s.runContext, start.Addresses))
	s.turnRunnable = gnet.RunnableFunc(func(context.Context) error { return s.runTurn() })
	s.sweepTimer, s.statisticsTimer = s.sweep, s.logStatisticsPeriodically
	s.executor = &executorLink{server: s}
	s.executor.gaugeTimer = s.executor.askGauges
	s.registry = &registryLink{server: s}
	return s
}

// now is the server's clock: Unix seconds as they were read once, and from there the monotonic clock.
func (s *Server) now() float64 { return s.anchorUnix + time.Since(s.anchor).Seconds() }

// OnTick opens the first link. It is called on a goroutine of its own once the loop is there; before that,
// nothing can be registered on it.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if !s.ticked {
		s.ticked = true
		if s.forwarding != nil {
			s.dialWith(s.registerFirst, registryAddress, s.registry, 0)
		} else {
			s.dialWith(s.registerFirst, executorAddress, s.executor, 0)
		}
	}
	return time.Hour, gnet.None
}

// connHandler is who is at the other end of a connection.
type connHandler interface {
	handleOpen(c gnet.Conn, to string) error // to is where we dialled it, "" where it was opened to us
	handleData(b []byte) (int, error)        // reads whole messages off the start of b, and tells how much that was
	handleClose(err error)
	owns(c gnet.Conn) bool // c is its connection, not one that it left
}

// OnOpen meets a new connection: one of our links, or a balancer.
func (s *Server) OnOpen(c gnet.Conn) (_ []byte, action gnet.Action) {
	defer s.recoverPanic(c, &action)
	if s.loop == nil {
		s.loop = c.EventLoop()
		s.wakeupTimer = time.AfterFunc(time.Hour, func() { _ = s.loop.Execute(context.Background(), s.turnRunnable) })
		s.timers.Schedule(s.now()+statisticsInterval, s.statisticsTimer)
		if s.forwarding == nil {
			s.dial(registryAddress, s.registry, 0)
		}
		close(s.loopReady)
	}
	var p connHandler
	to := ""
	if d, ours := c.Context().(*dialedTarget); ours {
		c.SetContext(d.connHandler)
		if d.addressOf(s.endpoints.Load()) != d.address { // moved meanwhile
			s.dial(d.addressOf, d.connHandler, d.failures)
			return nil, gnet.Close
		}
		p, to = d.connHandler, d.address
	} else {
		if a, byUs := c.Context().(*acceptor); byUs {
			<-a.pending
		}
		name, fresh := s.clients.Add()
		fresh.server, fresh.id = s, name
		p = fresh
		c.SetContext(p)
	}
	if err := p.handleOpen(c, to); err != nil {
		if s.mayLogPeerFault() {
			slog.Info("closing", "peer", c.RemoteAddr(), "err", err)
		}
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnTraffic reads what has come on a connection.
func (s *Server) OnTraffic(c gnet.Conn) (action gnet.Action) {
	defer s.recoverPanic(c, &action)
	p, ok := c.Context().(connHandler)
	if !ok || !p.owns(c) {
		return gnet.Close
	}
	b, err := c.Peek(-1)
	if err != nil || len(b) == 0 {
		return gnet.None
	}
	n, err := p.handleData(b)
	if n > 0 {
		_, _ = c.Discard(n) // n is no more than what is there
	}
	if err != nil {
		s.statistics.malformed++
		if s.mayLogPeerFault() {
			slog.Info("bad_input", "peer", c.RemoteAddr(), "err", err)
		}
		if balancer, ok := p.(*clientConn); ok {
			balancer.mute()
			_, _ = c.Discard(len(b) - n)
			return gnet.None
		}
		return gnet.Close
	}
	return gnet.None
}

// OnClose parts with a connection.
func (s *Server) OnClose(c gnet.Conn, err error) (action gnet.Action) {
	defer s.recoverPanic(c, &action)
	if p, ok := c.Context().(connHandler); ok && p.owns(c) {
		p.handleClose(err)
	}
	return gnet.None
}

// recoverPanic stops a panic at the connection whose handling raised it.
func (s *Server) recoverPanic(c gnet.Conn, action *gnet.Action) {
	if p := recover(); p != nil {
		slog.Info("panic", "peer", c.RemoteAddr(), "cause", fmt.Sprint(p), "stack", debug.Stack())
		*action = gnet.Close
	}
}

// queueEvent puts an event in the next batch.
func (s *Server) queueEvent(e admission.Event) {
	s.pendingEvents = append(s.pendingEvents, e)
	s.scheduleTurn()
}

// scheduleTurn has a turn follow as soon as all that is ready has been read.
func (s *Server) scheduleTurn() {
	if !s.turnScheduled && s.loop != nil {
		s.turnScheduled = true
		_ = s.loop.Execute(context.Background(), s.turnRunnable) // no error but when the engine is down
	}
}

// runTurn is one turn of the loop: a batch, what follows from it, and what is to be written.
func (s *Server) runTurn() error {
	s.turnScheduled = false
	now := s.now()
	if now >= s.wakeupAt {
		s.wakeupAt = math.Inf(1)
	}
	more := !s.timers.Advance(now, maxTimersPerTurn)
	standing := s.directive.Load()
	if standing != nil {
		s.applyDirective(standing, now)
	}
	s.applyAllowances(now)
	if len(s.pendingEvents) > 0 && s.controller != nil {
		s.statistics.turns++
		batch := s.pendingEvents
		s.pendingEvents = s.spareEvents[:0]
		for i := range batch {
			s.refreshEvent(&batch[i], now)
		}
		if standing != nil {
			standing.Stats.Batches.Add(1)
		}
		s.execute(s.controller.Decide(now, batch), now)
		s.spareEvents = batch
	}
	s.maintainConnections(now)
	s.flush()
	s.maintainMuted(now)
	next := min(s.timers.NextWakeup(), s.connLimiter.Next())
	if standing != nil && now < standing.ChangesAt {
		next = min(next, standing.ChangesAt)
	}
	if s.quotas != nil {
		next = min(next, s.quotas.nextExpiry)
	}
	if more {
		next = now
	}
	s.statistics.longestTurn = max(s.statistics.longestTurn, s.now()-now)
	if s.connLimiter.Guarded() {
		s.acceptor.sampleCPU(now)
	}
	if next < s.wakeupAt {
		s.wakeupAt = next
		s.wakeupTimer.Reset(time.Duration((next - s.now()) * float64(time.Second)))
	}
	return nil
}

// maxTimersPerTurn bounds the timers of one turn, so that thousands of one instant hold up nobody: at 1 to 3 us each it stays
// under a fifth of a millisecond. The rest have the next turns, each after what was read meanwhile: by the alarm and
// not by wake, as gnet carries out what is queued in its loop before it looks for input.
const maxTimersPerTurn = 64

// gaugeMaxAge is how long a reading of the gauges tells of the present: one is asked for just before each timer,
// so an older one means that the processor did not answer, which is no news of its load.
const gaugeMaxAge = 0.1

func unknownGauges() admission.Gauges {
	return admission.Gauges{Utilization: -1, Runnable: -1, Memory: -1, Connections: -1}
}

// refreshEvent sets what an event says of the present.
func (s *Server) refreshEvent(e *admission.Event, now float64) {
	switch e.Kind {
	case admission.Arrived:
		if t := s.requests.Get(e.RequestID); t != nil {
			e.Request.Age = max(0, now-t.ArrivedAt)
			s.statistics.unreadSeconds += e.Request.Age
			s.statistics.longestUnread = max(s.statistics.longestUnread, e.Request.Age)
			if t.Timeout != 0 {
				e.Request.RemainingBudget = t.Timeout - e.Request.Age
			}
		}
	case admission.TimerFired:
		if age := now - s.gaugesAt; age <= gaugeMaxAge {
			e.Gauges = s.gauges
			s.statistics.gaugeAge = max(s.statistics.gaugeAge, age)
		} else {
			e.Gauges = unknownGauges()
			s.statistics.timersWithoutGauges++
		}
	}
}

// bufferedConn is a connection, while it is open, and what waits to be written on it.
type bufferedConn struct {
	conn    gnet.Conn
	out     bufferpool.WriteBuffer
	unsent  bool
	dialed  bool // we dialled it
	lagging bool // in lagging
}

// dialedConn is a line that we dialled.
type dialedConn struct {
	bufferedConn
	address string
}

// attach books that the link is open.
func (l *dialedConn) attach(c gnet.Conn, to string) { l.conn, l.address, l.dialed = c, to, true }

func (l *bufferedConn) owns(c gnet.Conn) bool { return l.conn == c }

// release books that the connection is closed; what was still to be written must not reach the next one.
func (l *bufferedConn) release(p *bufferpool.Pool) {
	l.conn = nil
	l.out.Release(p)
}

// maxClientBacklog bounds what waits for a peer that does not read: 32 results of 4 KiB and what goes with them. All
// together may leave an eighth of the memory unread, see sweep.
const maxClientBacklog = 136 << 10

// maxDialedBacklog is that for the links we dialled: the commands for some hundred tasks, as after a pause of the
// other side, which a new link would only have to repeat.
const maxDialedBacklog = 1 << 20

// write puts bytes on a connection at the end of the turn.
func (s *Server) write(l *bufferedConn, b []byte) {
	if l.conn == nil {
		return
	}
	l.out.Append(&s.buffers, b)
	if !l.unsent {
		l.unsent = true
		s.unflushed = append(s.unflushed, l)
		s.scheduleTurn()
	}
}

func (s *Server) flush() {
	lines := s.unflushed
	s.unflushed = nil
	for _, l := range lines {
		l.unsent = false
		if c := l.conn; c != nil && len(l.out.Buffers()) > 0 {
			most := maxClientBacklog
			if l.dialed {
				most = maxDialedBacklog
			}
			_, err := c.Writev(l.out.Buffers())
			if left := c.OutboundBuffered(); err == nil && left > most {
				slog.Info("closing", "peer", c.RemoteAddr(), "err", "it does not read")
				_ = c.Close()
			} else if err == nil && left > 0 && !l.dialed && !l.lagging {
				l.lagging = true
				s.lagging = append(s.lagging, l)
			}
		}
		l.out.Release(&s.buffers)
	}
	if s.unflushed == nil {
		s.unflushed = lines[:0]
	}
}

// mayLogPeerFault bounds what a peer that sends nonsense costs the log: one line a second; the counts have the rest.
func (s *Server) mayLogPeerFault() bool {
	now := s.now()
	if now < s.peerFaultLoggedAt+1 {
		return false
	}
	s.peerFaultLoggedAt = now
	return true
}

// statisticsInterval is how often the line of counts is written: seldom enough to be read by people.
const statisticsInterval = 10

func (s *Server) logStatisticsPeriodically() {
	s.logStatistics()
	s.timers.Schedule(s.now()+statisticsInterval, s.statisticsTimer)
}

// logStatistics writes the line of counts and begins anew.
func (s *Server) logStatistics() {
	c := &s.statistics
	most, by := s.maxClients()
	slog.Info("counts", "read", c.read, "finished", c.finished, "rejected", c.rejected,
		"abandoned", c.abandoned, "gone", c.clientGone, "invalid", c.invalid, "malformed", c.malformed, "unrun", c.commandsRejected,
		"calls", c.calls, "turns", c.turns, "turn_ms", logging.FormatDecimal(1000*c.longestTurn, 2),
		"unread_ms", logging.FormatDecimal(1000*c.unreadSeconds/max(1, float64(c.read)), 1),
		"longest_ms", logging.FormatDecimal(1000*c.longestUnread, 1), "open", s.requests.Unanswered(), "tasks", s.requests.Len(),
		"kept", s.results.Len(), "conns", s.clients.Len(), "strangers", s.connLimiter.Count(connlimit.Stranger),
		"parting", s.connLimiter.Count(connlimit.Parting), "max_conns", most, "max_by", by, "pooled_conns", len(s.upstream.all),
		"parted", c.askedToClose, "evicted", c.evicted, "unspoken", c.silent,
		"gauge_ms", logging.FormatDecimal(1000*c.gaugeAge, 1), "blind", c.timersWithoutGauges, "timers", s.timers.Len(),
		"buffers", s.buffers.InUse, "memory_kb", residentKB(), "heap_kb", liveHeapKB(), "well", s.isHealthy(), "load", s.loadReport.Free)
	if s.connLimiter.Guarded() {
		s.logConnStatistics()
	}
	if to := s.directive.Load(); to != nil {
		slog.Info("standing", "stance", s.servingMode, "why", to.Reason, "away", c.rejectedOutOfService, "ungranted", c.claimsFailed, "lapsed", c.quotaExpired)
	}
	*c = statistics{}
}

// residentKB is the memory of this process, 0 where the system does not tell.
func residentKB() (kb int) {
	text, err := os.ReadFile("/proc/self/statm")
	var all, resident int
	if _, err2 := fmt.Sscan(string(text), &all, &resident); err != nil || err2 != nil {
		return 0
	}
	return resident * os.Getpagesize() / 1024
}

// liveHeapKB is the heap that was in use after the latest collection.
func liveHeapKB() uint64 {
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64() / 1024
}

// LogStatistics writes the line of counts now, from any goroutine, after a collection, so that it tells what is really in use.
func (s *Server) LogStatistics() {
	runtime.GC()
	<-s.loopReady
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.logStatistics()
		return nil
	}))
}

// gnetLogger passes the library's warnings on in our form.
type gnetLogger struct{}

func (gnetLogger) Debugf(string, ...any) {}
func (gnetLogger) Infof(string, ...any)  {}
func (gnetLogger) Warnf(f string, a ...any) {
	slog.Info("library", "level", "warn", "text", fmt.Sprintf(f, a...))
}
func (gnetLogger) Errorf(f string, a ...any) {
	slog.Info("library", "level", "error", "text", fmt.Sprintf(f, a...))
}
func (gnetLogger) Fatalf(f string, a ...any) {
	logging.Fatal("library", "level", "fatal", "text", fmt.Sprintf(f, a...))
}
