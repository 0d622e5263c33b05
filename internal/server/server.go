package server

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"swiftcourse/admission"
	"swiftcourse/internal/bytebudget"
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/recentids"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/resultcache"
	"swiftcourse/internal/slottable"
	"swiftcourse/internal/wire/rpc"
)

// Server is the state of one server from New until it has drained. All of it but the atomic fields
// belongs to the event loop.
type Server struct {
	gnet.BuiltinEventEngine

	startup *config.Startup

	clock     clock
	loop      eventLoop
	lifetime  lifetime
	endpoints atomic.Pointer[endpoints] // also read by the goroutines that dial

	decisions  decisions
	requests   *requesttable.Table
	results    *resultcache.Cache
	startedIDs *recentids.Set // of requests that were started and must not run twice
	output     output

	clients  clientTable
	acceptor *acceptor
	executor *executorLink
	upstream upstreamPool
	registry *registryLink

	health     health
	drain      drainState
	fleet      fleetState
	statistics statistics
}

// clock is a Unix clock without jumps: it reads the system's clock once, and adds the time that has
// passed since then on the monotonic clock.
type clock struct {
	anchor time.Time
	unix   float64 // the Unix time at anchor, in seconds
}

func newClock() clock {
	now := time.Now()
	return clock{anchor: now, unix: float64(now.UnixMicro()) / 1e6}
}

func (c *clock) now() float64 { return c.unix + time.Since(c.anchor).Seconds() }

// lifetime ends the server's goroutines when the server stops.
type lifetime struct {
	context context.Context // of the dials
	cancel  context.CancelFunc
	stopped chan struct{} // closed by stop; Run and the acceptor wait for it
	once    sync.Once
}

func (l *lifetime) begin() {
	l.stopped = make(chan struct{})
	l.context, l.cancel = context.WithCancel(context.Background())
}

// decisions is the admission controller, the events for its next decision, and the executor's
// gauges, which timer events carry.
type decisions struct {
	controller    *admission.Controller // nil until the executor is up
	pending       []admission.Event     // the next batch
	previousBatch []admission.Event     // the previous batch, whose memory is reused
	gauges        admission.Gauges      // the latest reading
	gaugesAt      float64               // when the latest reading was received
}

// health is the server's health and load, as reported to the registry and to clients.
type health struct {
	healthy    bool                 // as decided by the controller
	loadReport rpc.ResponseMetadata // part of every answer
}

// fleetState is the state of the features that a fleet uses. Other goroutines set the atomic fields.
type fleetState struct {
	operator   *config.OperatorSettings          // including released settings; nil without an operator's file
	directive  atomic.Pointer[serving.Directive] // nil without a fleet
	mode       serving.Mode
	allowances atomic.Pointer[[]serving.Allowance]
	quotas     *quotas          // nil unless the fleet shares quotas
	claims     *keyClaims       // nil unless the keys of some class are claimed
	counters   *requestCounters // nil unless requests are counted for the fleet
	forwarding *forwardingState // nil unless the server is a forwarder
}

const (
	// resultCacheMemoryDivisor is the divisor of the memory limit that bounds cached results: an eighth,
	// the same as for output that clients leave unread.
	resultCacheMemoryDivisor = 8
	// resultCacheEntryMemoryDivisor is the divisor of the memory limit that bounds what is kept of
	// requests to recognise their repeats.
	resultCacheEntryMemoryDivisor = 8
)

// New creates a server; Run starts it. The operator's settings are nil without an operator's file.
func New(startup *config.Startup, operator *config.OperatorSettings) *Server {
	server := &Server{
		startup:  startup,
		clock:    newClock(),
		requests: requesttable.New(),
		clients: clientTable{
			memory:       bytebudget.New(int(startup.MemoryBytes / clientMemoryDivisor)),
			heldArrivals: map[slottable.Handle]*heldArrivals{},
		},
		results: resultcache.New(resultcache.Limits{
			ResultBytes: int(startup.MemoryBytes / resultCacheMemoryDivisor),
			EntryBytes:  int(startup.MemoryBytes / resultCacheEntryMemoryDivisor),
		}),
		startedIDs: recentids.New(int(startup.MemoryBytes / startedIDsMemoryDivisor)),
		output:     newOutput(startup.MemoryBytes),
		drain:      newDrainState(),
	}
	server.lifetime.begin()
	server.loop = newEventLoop(server)
	server.decisions.gauges = unknownGauges()
	server.decisions.gaugesAt = math.Inf(-1)
	server.upstream.calls = map[string]*upstreamCall{}
	server.fleet.operator = operator
	server.clients.limiter = server.newConnLimiter(operator)
	server.endpoints.Store(newEndpoints(server.lifetime.context, startup.Addresses))
	server.executor = newExecutorLink(server)
	server.registry = &registryLink{server: server}
	return server
}

// Now returns the time on the server's clock, in seconds since the Unix epoch. Any goroutine may
// call it.
func (s *Server) Now() float64 { return s.now() }

func (s *Server) now() float64 { return s.clock.now() }

// Run serves until the server has drained. It returns an error if the server can't listen or the
// loop can't run.
func (s *Server) Run() error {
	acceptor, err := newAcceptor(s.startup.Listen)
	if err != nil {
		return err
	}
	return s.runWith(acceptor)
}

// runWith is Run with an acceptor that already listens.
func (s *Server) runWith(acceptor *acceptor) error {
	acceptor.attach(s)
	s.acceptor = acceptor
	engine, err := gnet.NewClient(s, gnet.WithNumEventLoop(1), gnet.WithTicker(true),
		gnet.WithReadBufferCap(readBufferBytes), gnet.WithWriteBufferCap(libraryWriteBufferBytes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(gnetLogger{}), gnet.WithLogLevel(logging.WarnLevel))
	if err != nil {
		return err
	}
	// The engine's Register can't be used, as it works only if the engine itself listens.
	s.loop.registerFirst = func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		conn, _ := gnet.FromNetConnContext(ctx)
		_, err := engine.EnrollContext(conn, gnet.FromContext(ctx))
		return nil, err
	}
	if err := engine.Start(); err != nil {
		return err
	}
	slog.Info("listening", "addr", s.startup.Listen)
	go acceptor.run()
	<-s.lifetime.stopped
	acceptor.close()
	<-acceptor.done
	return engine.Stop()
}

// stop ends Run and cancels all dials. Any goroutine may call it, more than once.
func (s *Server) stop() {
	s.lifetime.once.Do(func() {
		close(s.lifetime.stopped)
		s.lifetime.cancel()
	})
}
