// Package serve runs the server's loop. One event loop of gnet owns the module, the tables and all links: it
// gathers what arrives in a turn into one batch of events, has the module decide once, and carries the
// actions out. It has mechanics only; every decision is the module's.
package serve

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

	"swiftcourse/choice"
	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/life"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/watch"
	"swiftcourse/internal/wire/rpc"
)

// Server is one real server.
type Server struct {
	gnet.BuiltinEventEngine
	start     *life.Startup
	endpoints atomic.Pointer[endpoints] // where the other parties are, for the goroutines that dial too
	anchor    time.Time                 // when the clock was set, by the Unix clock's unix seconds
	unix      float64

	first   register // hands the first link to the loop
	ticked  bool     // by gnet's ticker, which alone looks at it
	loop    gnet.EventLoop
	looping chan struct{} // closed once loop is set
	alarm   *time.Timer
	alarmAt float64
	turning bool // a turn is on its way
	run     gnet.Runnable

	module        *choice.Controller // nil until the processor is up
	events, spare []choice.Event     // of the next batch; of the last
	gauges        choice.Gauges      // the latest
	gaugesAt      float64            // when they were read
	timers        memory.Wheel
	tasks         *memory.Requests
	kept          *memory.Cache
	pool          memory.Pool
	scratch       []byte
	unsent        []*line // have something to write at the end of the turn

	peers     memory.Table[peer]
	door      *door.Door
	lobby     int                    // places in it, as the operator's file says
	conf      *life.OperatorSettings // the operator's file, with what was released
	spareOpen memory.ListPool
	acceptBy  func(accept func() (acceptedSocket, error)) func() (acceptedSocket, error) // for tests, in which accept fails
	acceptor  *acceptor
	finished  chan struct{}   // closed at the end, for the acceptor
	living    context.Context // done then, for dials
	endLife   func()
	once      sync.Once // for that
	lagging   []*line   // balancers' that may have left something unread
	muted     []muted
	closing   []*closing // in the order in which they began
	sweeping  func()     // sweep and count, made once for all their timers
	counting  func()
	processor *processorLink
	connPool  connPool
	calls     map[string]*call // by the task they are made for
	roster    *rosterLink

	say             rpc.Say // goes with every answer
	well            bool
	standing        atomic.Pointer[stance.Directive] // in the fleet, nil where there is none
	stance          stance.Mode
	keyed           *keyed // nil where no stage's tasks are claimed
	allowed         atomic.Pointer[[]stance.Allowance]
	budgets         *budgets    // nil where none are shared
	forwarding      *forwarding // nil where tasks run at a processor
	tallies         *tallies    // nil where nothing is counted for a fleet
	drainAt, killAt float64
	parting         bool // all connections are asked to close, as the server leaves
	counts          counts
	complained      float64 // when a line about a peer's nonsense was last written
}

// counts is what happened since the last line of counts.
type counts struct {
	read, finished, rejected, abandoned, gone, invalid, calls, turns int
	malformed, unrun                                                 int // connections closed for their bytes; commands not carried out
	turned                                                           int // tasks rejected at the door
	away                                                             int // tasks rejected as the fleet does not let this server act
	lapsed                                                           int // times at which a part of a budget ran out, as nobody renewed it
	ungranted                                                        int // tasks rejected or abandoned as the fleet did not grant their keys
	evicted, unspoken, parted                                        int // connections closed for another's sake, or as they brought nothing; asked to close

	unread, longest float64 // seconds that tasks waited unread, in all and at most
	gaugeAge        float64 // the oldest reading that a timer came with
	blind           int     // timers that came with none
	turn            float64 // seconds that a turn took, at most
}

// keptPart of the memory is for results that repeats may still want: as much as answers that peers leave unread.
const keptPart = 8

// New makes a server that has not started yet; conf is the operator's file.
func New(start *life.Startup, conf *life.OperatorSettings) *Server {
	now := time.Now()
	s := &Server{start: start, anchor: now, unix: float64(now.UnixMicro()) / 1e6, looping: make(chan struct{}),
		alarmAt: math.Inf(1), tasks: memory.NewRequests(), kept: memory.NewCache(int(start.MemoryBytes / keptPart)),
		calls: map[string]*call{}, finished: make(chan struct{}),
		drainAt: math.Inf(1), killAt: math.Inf(1),
		gauges: noGauges(), gaugesAt: math.Inf(-1)}
	s.conf = conf
	s.door = s.newDoor(conf)
	s.living, s.endLife = context.WithCancel(context.Background())
	s.endpoints.Store(newEndpoints(s.living, start.Addresses))
	s.run = gnet.RunnableFunc(func(context.Context) error { return s.turn() })
	s.sweeping, s.counting = s.sweep, s.count
	s.processor = &processorLink{server: s}
	s.processor.asking = s.processor.askGauges
	s.roster = &rosterLink{server: s}
	return s
}

// now is the server's clock: Unix seconds as they were read once, and from there the monotonic clock.
func (s *Server) now() float64 { return s.unix + time.Since(s.anchor).Seconds() }

// OnTick opens the first link. It is called on a goroutine of its own once the loop is there; before that,
// nothing can be registered on it.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if !s.ticked {
		s.ticked = true
		if s.forwarding != nil {
			s.dialBy(s.first, toRoster, s.roster, 0)
		} else {
			s.dialBy(s.first, toProcessor, s.processor, 0)
		}
	}
	return time.Hour, gnet.None
}

// connHandler is who is at the other end of a connection.
type connHandler interface {
	opened(c gnet.Conn, to string) error // to is where we dialled it, "" where it was opened to us
	take(b []byte) (int, error)          // reads whole messages off the start of b, and tells how much that was
	closed(err error)
	has(c gnet.Conn) bool // c is its connection, not one that it left
}

// OnOpen meets a new connection: one of our links, or a balancer.
func (s *Server) OnOpen(c gnet.Conn) (_ []byte, action gnet.Action) {
	defer s.guard(c, &action)
	if s.loop == nil {
		s.loop = c.EventLoop()
		s.alarm = time.AfterFunc(time.Hour, func() { _ = s.loop.Execute(context.Background(), s.run) })
		s.timers.Schedule(s.now()+countEvery, s.counting)
		if s.forwarding == nil {
			s.dial(toRoster, s.roster, 0)
		}
		close(s.looping)
	}
	var p connHandler
	to := ""
	if d, ours := c.Context().(*dialled); ours {
		c.SetContext(d.connHandler)
		if d.link(s.endpoints.Load()) != d.to { // moved meanwhile
			s.dial(d.link, d.connHandler, d.vain)
			return nil, gnet.Close
		}
		p, to = d.connHandler, d.to
	} else {
		if a, byUs := c.Context().(*acceptor); byUs {
			<-a.pending
		}
		name, fresh := s.peers.Add()
		fresh.server, fresh.name = s, name
		p = fresh
		c.SetContext(p)
	}
	if err := p.opened(c, to); err != nil {
		if s.mayComplain() {
			slog.Info("closing", "peer", c.RemoteAddr(), "err", err)
		}
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnTraffic reads what has come on a connection.
func (s *Server) OnTraffic(c gnet.Conn) (action gnet.Action) {
	defer s.guard(c, &action)
	p, ok := c.Context().(connHandler)
	if !ok || !p.has(c) {
		return gnet.Close
	}
	b, err := c.Peek(-1)
	if err != nil || len(b) == 0 {
		return gnet.None
	}
	n, err := p.take(b)
	if n > 0 {
		_, _ = c.Discard(n) // n is no more than what is there
	}
	if err != nil {
		s.counts.malformed++
		if s.mayComplain() {
			slog.Info("bad_input", "peer", c.RemoteAddr(), "err", err)
		}
		if balancer, ok := p.(*peer); ok {
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
	defer s.guard(c, &action)
	if p, ok := c.Context().(connHandler); ok && p.has(c) {
		p.closed(err)
	}
	return gnet.None
}

// guard stops a panic at the connection whose handling raised it.
func (s *Server) guard(c gnet.Conn, action *gnet.Action) {
	if p := recover(); p != nil {
		slog.Info("panic", "peer", c.RemoteAddr(), "cause", fmt.Sprint(p), "stack", debug.Stack())
		*action = gnet.Close
	}
}

// happens puts an event in the next batch.
func (s *Server) happens(e choice.Event) {
	s.events = append(s.events, e)
	s.wake()
}

// wake has a turn follow as soon as all that is ready has been read.
func (s *Server) wake() {
	if !s.turning && s.loop != nil {
		s.turning = true
		_ = s.loop.Execute(context.Background(), s.run) // no error but when the engine is down
	}
}

// turn is one turn of the loop: a batch, what follows from it, and what is to be written.
func (s *Server) turn() error {
	s.turning = false
	now := s.now()
	if now >= s.alarmAt {
		s.alarmAt = math.Inf(1)
	}
	more := !s.timers.Advance(now, maxTimers)
	standing := s.standing.Load()
	if standing != nil {
		s.stand(standing, now)
	}
	s.heedBudgets(now)
	if len(s.events) > 0 && s.module != nil {
		s.counts.turns++
		batch := s.events
		s.events = s.spare[:0]
		for i := range batch {
			s.freshen(&batch[i], now)
		}
		if standing != nil {
			standing.Stats.Batches.Add(1)
		}
		s.carryOut(s.module.Decide(now, batch), now)
		s.spare = batch
	}
	s.tend(now)
	s.flush()
	s.tendMuted(now)
	next := min(s.timers.NextWakeup(), s.door.Next())
	if standing != nil && now < standing.ChangesAt {
		next = min(next, standing.ChangesAt)
	}
	if s.budgets != nil {
		next = min(next, s.budgets.lapse)
	}
	if more {
		next = now
	}
	s.counts.turn = max(s.counts.turn, s.now()-now)
	if s.door.Guarded() {
		s.acceptor.learn(now)
	}
	if next < s.alarmAt {
		s.alarmAt = next
		s.alarm.Reset(time.Duration((next - s.now()) * float64(time.Second)))
	}
	return nil
}

// maxTimers bounds the timers of one turn, so that thousands of one instant hold up nobody: at 1 to 3 us each it stays
// under a fifth of a millisecond. The rest have the next turns, each after what was read meanwhile: by the alarm and
// not by wake, as gnet carries out what is queued in its loop before it looks for input.
const maxTimers = 64

// gaugesFor is how long a reading of the gauges tells of the present: one is asked for just before each timer,
// so an older one means that the processor did not answer, which is no news of its load.
const gaugesFor = 0.1

func noGauges() choice.Gauges {
	return choice.Gauges{Utilization: -1, Runnable: -1, Memory: -1, Connections: -1}
}

// freshen sets what an event says of the present.
func (s *Server) freshen(e *choice.Event, now float64) {
	switch e.Kind {
	case choice.Arrived:
		if t := s.tasks.Get(e.RequestID); t != nil {
			e.Request.Age = max(0, now-t.ArrivedAt)
			s.counts.unread += e.Request.Age
			s.counts.longest = max(s.counts.longest, e.Request.Age)
			if t.Timeout != 0 {
				e.Request.RemainingBudget = t.Timeout - e.Request.Age
			}
		}
	case choice.TimerFired:
		if age := now - s.gaugesAt; age <= gaugesFor {
			e.Gauges = s.gauges
			s.counts.gaugeAge = max(s.counts.gaugeAge, age)
		} else {
			e.Gauges = noGauges()
			s.counts.blind++
		}
	}
}

// line is a connection, while it is open, and what waits to be written on it.
type line struct {
	conn   gnet.Conn
	out    memory.WriteBuffer
	unsent bool
	ours   bool // we dialled it
	lags   bool // in lagging
}

// link is a line that we dialled.
type link struct {
	line
	to string
}

// stands books that the link is open.
func (l *link) stands(c gnet.Conn, to string) { l.conn, l.to, l.ours = c, to, true }

func (l *line) has(c gnet.Conn) bool { return l.conn == c }

// shut books that the connection is closed; what was still to be written must not reach the next one.
func (l *line) shut(p *memory.Pool) {
	l.conn = nil
	l.out.Release(p)
}

// maxUnread bounds what waits for a peer that does not read: 32 results of 4 KiB and what goes with them. All
// together may leave an eighth of the memory unread, see sweep.
const maxUnread = 136 << 10

// maxUnreadOurs is that for the links we dialled: the commands for some hundred tasks, as after a pause of the
// other side, which a new link would only have to repeat.
const maxUnreadOurs = 1 << 20

// write puts bytes on a connection at the end of the turn.
func (s *Server) write(l *line, b []byte) {
	if l.conn == nil {
		return
	}
	l.out.Append(&s.pool, b)
	if !l.unsent {
		l.unsent = true
		s.unsent = append(s.unsent, l)
		s.wake()
	}
}

func (s *Server) flush() {
	lines := s.unsent
	s.unsent = nil
	for _, l := range lines {
		l.unsent = false
		if c := l.conn; c != nil && len(l.out.Buffers()) > 0 {
			most := maxUnread
			if l.ours {
				most = maxUnreadOurs
			}
			_, err := c.Writev(l.out.Buffers())
			if left := c.OutboundBuffered(); err == nil && left > most {
				slog.Info("closing", "peer", c.RemoteAddr(), "err", "it does not read")
				_ = c.Close()
			} else if err == nil && left > 0 && !l.ours && !l.lags {
				l.lags = true
				s.lagging = append(s.lagging, l)
			}
		}
		l.out.Release(&s.pool)
	}
	if s.unsent == nil {
		s.unsent = lines[:0]
	}
}

// mayComplain bounds what a peer that sends nonsense costs the log: one line a second; the counts have the rest.
func (s *Server) mayComplain() bool {
	now := s.now()
	if now < s.complained+1 {
		return false
	}
	s.complained = now
	return true
}

// countEvery is how often the line of counts is written: seldom enough to be read by people.
const countEvery = 10

func (s *Server) count() {
	s.tell()
	s.timers.Schedule(s.now()+countEvery, s.counting)
}

// tell writes the line of counts and begins anew.
func (s *Server) tell() {
	c := &s.counts
	most, by := s.maxPeers()
	slog.Info("counts", "read", c.read, "finished", c.finished, "rejected", c.rejected,
		"abandoned", c.abandoned, "gone", c.gone, "invalid", c.invalid, "malformed", c.malformed, "unrun", c.unrun,
		"calls", c.calls, "turns", c.turns, "turn_ms", watch.FormatDecimal(1000*c.turn, 2),
		"unread_ms", watch.FormatDecimal(1000*c.unread/max(1, float64(c.read)), 1),
		"longest_ms", watch.FormatDecimal(1000*c.longest, 1), "open", s.tasks.Unanswered(), "tasks", s.tasks.Len(),
		"kept", s.kept.Len(), "conns", s.peers.Len(), "strangers", s.door.Count(door.Stranger),
		"parting", s.door.Count(door.Parting), "max_conns", most, "max_by", by, "pooled_conns", len(s.connPool.all),
		"parted", c.parted, "evicted", c.evicted, "unspoken", c.unspoken,
		"gauge_ms", watch.FormatDecimal(1000*c.gaugeAge, 1), "blind", c.blind, "timers", s.timers.Len(),
		"buffers", s.pool.InUse, "memory_kb", residentKB(), "heap_kb", liveKB(), "well", s.isWell(), "load", s.say.Free)
	if s.door.Guarded() {
		s.tellDoor()
	}
	if to := s.standing.Load(); to != nil {
		slog.Info("standing", "stance", s.stance, "why", to.Reason, "away", c.away, "ungranted", c.ungranted, "lapsed", c.lapsed)
	}
	*c = counts{}
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

// liveKB is the heap that was in use after the latest collection.
func liveKB() uint64 {
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64() / 1024
}

// Tell writes the line of counts now, from any goroutine, after a collection, so that it tells what is really in use.
func (s *Server) Tell() {
	runtime.GC()
	<-s.looping
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.tell()
		return nil
	}))
}

// logger passes the library's warnings on in our form.
type logger struct{}

func (logger) Debugf(string, ...any) {}
func (logger) Infof(string, ...any)  {}
func (logger) Warnf(f string, a ...any) {
	slog.Info("library", "level", "warn", "text", fmt.Sprintf(f, a...))
}
func (logger) Errorf(f string, a ...any) {
	slog.Info("library", "level", "error", "text", fmt.Sprintf(f, a...))
}
func (logger) Fatalf(f string, a ...any) {
	watch.Fatal("library", "level", "fatal", "text", fmt.Sprintf(f, a...))
}
