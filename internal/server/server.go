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
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/resultcache"
	"swiftcourse/internal/wire/rpc"
)

// Server is one server, from its first connection until it has drained. The loop owns all of it but
// the atomic fields.
type Server struct {
	gnet.BuiltinEventEngine

	startup *config.Startup

	clock     clock
	loop      eventLoop
	lifetime  lifetime
	endpoints atomic.Pointer[endpoints] // for the goroutines that dial too

	decisions decisions
	requests  *requesttable.Table
	results   *resultcache.Cache
	output    output

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

// clock is a Unix clock that never jumps: it reads the system's clock once, and goes on with the
// monotonic clock.
type clock struct {
	anchor time.Time
	unix   float64 // seconds at anchor
}

func newClock() clock {
	now := time.Now()
	return clock{anchor: now, unix: float64(now.UnixMicro()) / 1e6}
}

func (c *clock) now() float64 { return c.unix + time.Since(c.anchor).Seconds() }

// lifetime is the span from New until the server has exited.
type lifetime struct {
	context context.Context // for dials
	cancel  context.CancelFunc
	stopped chan struct{} // closed at the end, for Run and the acceptor
	once    sync.Once
}

func (l *lifetime) begin() {
	l.stopped = make(chan struct{})
	l.context, l.cancel = context.WithCancel(context.Background())
}

// decisions is the admission controller, the events for its next decision, and the gauges that they
// carry.
type decisions struct {
	controller *admission.Controller // nil until the executor is up
	pending    []admission.Event     // for the next batch
	spare      []admission.Event     // the last batch, to be used again
	gauges     admission.Gauges      // the latest
	gaugesAt   float64               // when they were read
}

// health is what the server reports about itself.
type health struct {
	healthy    bool                 // by the controller's decision
	loadReport rpc.ResponseMetadata // goes with every answer
}

// fleetState is what the fleet asks of the server. What other goroutines set is atomic.
type fleetState struct {
	operator   *config.OperatorSettings          // with what was released; nil without an operator's file
	directive  atomic.Pointer[serving.Directive] // nil without a fleet
	mode       serving.Mode
	allowances atomic.Pointer[[]serving.Allowance]
	quotas     *quotas          // nil where none are shared
	claims     *keyClaims       // nil where no class's keys are claimed
	counters   *requestCounters // nil where nothing is counted for a fleet
	forwarding *forwardingState // nil where requests run at an executor
}

// resultCacheShare is the divisor of the memory that cached results may take: as much as the
// answers that clients leave unread.
const resultCacheShare = 8

// New creates a server that has not started. The operator's settings are nil without an operator's
// file.
func New(startup *config.Startup, operator *config.OperatorSettings) *Server {
	server := &Server{
		startup:  startup,
		clock:    newClock(),
		requests: requesttable.New(),
		results:  resultcache.New(int(startup.MemoryBytes / resultCacheShare)),
		drain:    newDrainState(),
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

// Now is the server's clock, in seconds since the Unix epoch. Any goroutine may call it.
func (s *Server) Now() float64 { return s.now() }

func (s *Server) now() float64 { return s.clock.now() }

// Run serves until the server has drained. It returns an error if it can't listen or the loop can't
// run.
func (s *Server) Run() error {
	acceptor, err := newAcceptor(s.startup.Listen)
	if err != nil {
		return err
	}
	return s.runWith(acceptor)
}

// runWith is Run with a listening acceptor.
func (s *Server) runWith(acceptor *acceptor) error {
	acceptor.attach(s)
	s.acceptor = acceptor
	engine, err := gnet.NewClient(s, gnet.WithNumEventLoop(1), gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(gnetLogger{}), gnet.WithLogLevel(logging.WarnLevel))
	if err != nil {
		return err
	}
	// The engine's own Register needs a listener of its own.
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

// stop ends Run, and the dials under way. Any goroutine may call it, more than once.
func (s *Server) stop() {
	s.lifetime.once.Do(func() {
		close(s.lifetime.stopped)
		s.lifetime.cancel()
	})
}
