package server

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/wire/rpc"
)

// acceptor accepts connections and hands them to the loop. gnet's own accept ends the engine when it fails for want of a descriptor
// or of memory, and its listener lives as long as the engine; this one waits and goes on, and closes alone. Its goroutine decides
// nothing but when to wait.
type acceptor struct {
	server          *Server
	listener        net.Listener
	fd              int                            // the listener's
	closeRequested  atomic.Bool                    // it is to close
	wakeFD          int                            // an event descriptor, rung to have it look at that
	done            chan struct{}                  // closed once the listener is
	accept          func() (acceptedSocket, error) // acceptOne; a test has it fail
	spareFile       *os.File                       // a descriptor to give up when there is no other
	untrustedRate   atomic.Uint64                  // strangers a second, as the bits of a float64, from the door
	trusted         atomic.Pointer[trustedClients] // who goes past that, from the door
	pending         chan struct{}                  // has a place for each connection on its way to the loop
	failures        atomic.Int64                   // accepts that failed for want of something
	rateLimited     atomic.Int64                   // strangers over the pace, closed here
	failureLoggedAt time.Time
	sampledAt       float64 // when the loop told the door last what was spent
}

// acceptedSocket is a connection that was accepted, as its bare descriptor: most of them in a flood are closed again at once, and what the
// net package makes of each would be half of the cost.
type acceptedSocket struct {
	fd     int
	remote netip.Addr
}

// trustedClients are those whom the acceptor lets past the pace.
type trustedClients struct {
	named  []netip.Prefix
	earned map[netip.Addr]bool
}

func (r *trustedClients) has(addr netip.Addr) bool {
	return r.earned[addr] || slices.ContainsFunc(r.named, func(p netip.Prefix) bool { return p.Contains(addr) })
}

const (
	// minAcceptBackoff is how long to wait after a vain accept, doubled up to maxBackOff: short beside a second, in which those known are to get
	// in, and long beside what a try costs.
	minAcceptBackoff = 2 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
	// refusalReadTimeout is how long one that is accepted by the spare descriptor has for its first message.
	refusalReadTimeout = 10 * time.Millisecond
	// acceptBurst is for how long, in seconds, the pace is saved up: half of all balancers may return together, and
	// after a restart none of them is known.
	acceptBurst = 1.0
)

// newAcceptor opens the server's listener. Like gnet's it leaves the address open to a successor.
func newAcceptor(addr string) (*acceptor, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}), err)
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &acceptor{listener: l, done: make(chan struct{})}
	a.accept = a.acceptBlocking
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { a.fd = int(fd) }) // it stays open as long as the listener does
	}
	if err == nil {
		a.wakeFD, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	}
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	a.reserveSpare()
	return a, nil
}

// maxPendingAccepts is how many connections may be between the acceptor and the loop where the door has no lobby: each takes up to three
// descriptors there, of the spareSockets.
const maxPendingAccepts = 4

// Run serves until the server is told to leave and has answered all.
func (s *Server) Run() error {
	a, err := newAcceptor(s.startup.Listen)
	if err != nil {
		return err
	}
	a.server = s
	if s.connLimiter.Guarded() {
		a.pending = make(chan struct{}, s.holdingSlots())
		a.untrustedRate.Store(math.Float64bits(s.connLimiter.Pace(s.now())))
		a.trusted.Store(&trustedClients{named: s.connLimiter.Named})
	} else {
		a.pending = make(chan struct{}, maxPendingAccepts)
		a.untrustedRate.Store(math.Float64bits(math.Inf(1)))
		a.trusted.Store(&trustedClients{})
	}
	if s.acceptBy != nil {
		a.accept = s.acceptBy(a.accept)
	}
	s.acceptor = a
	loops, err := gnet.NewClient(s, gnet.WithNumEventLoop(1), gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(gnetLogger{}), gnet.WithLogLevel(logging.WarnLevel))
	if err != nil {
		return err
	}
	s.registerFirst = func(ctx context.Context) (<-chan gnet.RegisteredResult, error) { // the engine's own needs a listener of its own
		c, _ := gnet.FromNetConnContext(ctx)
		_, err := loops.EnrollContext(c, gnet.FromContext(ctx))
		return nil, err
	}
	if err := loops.Start(); err != nil {
		return err
	}
	slog.Info("listening", "addr", s.startup.Listen)
	go a.run()
	<-s.stopped
	a.close()
	<-a.done
	return loops.Stop()
}

// run accepts until the listener closes. All is accepted at once, as who is known waits in the same queue of the system as strangers do;
// strangers over the pace are closed here, which costs about half of what it does on the loop.
func (a *acceptor) run() {
	defer close(a.done)
	defer a.release()
	select {
	case <-a.server.loopReady: // the first link to be dialled makes the loop known
	case <-a.server.stopped:
		return
	}

	wait, tokens, at := minAcceptBackoff, math.Inf(1), time.Now() // full
	for {
		g, err := a.accept()
		switch {
		case err == nil:
			wait = minAcceptBackoff
			pace, now := math.Float64frombits(a.untrustedRate.Load()), time.Now()
			if !math.IsInf(pace, 1) {
				tokens = min(max(1, pace*acceptBurst), tokens+now.Sub(at).Seconds()*pace)
			}
			at = now
			switch {
			case a.trusted.Load().has(g.remote):
			case tokens >= 1:
				tokens--
			default:
				a.rateLimited.Add(1)
				refuse(g, 0)
				continue
			}
			a.pending <- struct{}{}
			a.handOver(g)
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR): // it went away while it waited; a signal came
			continue
		}
		if a.closeRequested.Load() { // who still waits can't be taken
			return
		}
		a.failures.Add(1)
		if time.Since(a.failureLoggedAt) > time.Second {
			a.failureLoggedAt = time.Now()
			slog.Info("accept_waits", "err", err, "times", a.failures.Load())
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			a.evictForDescriptors()
		}
		if g, ok := a.acceptWithSpare(err); ok {
			refuse(g, refusalReadTimeout)
		}
		time.Sleep(wait)
		wait = min(2*wait, maxAcceptBackoff)
	}
}

// cpuSampleInterval is how often, in seconds, the system is asked what was spent: a call of a microsecond.
const cpuSampleInterval = 0.05

// sampleCPU sets the pace by what arrivals cost, on the loop.
func (a *acceptor) sampleCPU(now float64) {
	if now < a.sampledAt+cpuSampleInterval {
		return
	}
	a.sampledAt = now
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err == nil {
		a.server.connLimiter.Spent(float64(used.Utime.Nano()+used.Stime.Nano())/1e9, now)
	}
	a.untrustedRate.Store(math.Float64bits(a.server.connLimiter.Pace(now)))
	if known, changed := a.server.connLimiter.KnownClients(); changed {
		a.trusted.Store(&trustedClients{a.server.connLimiter.Named, known})
	}
}

func (a *acceptor) reserveSpare() {
	if a.spareFile == nil {
		a.spareFile, _ = os.Open(os.DevNull) // none to be had: the next accept that succeeds tries again
	}
}

// acceptWithSpare accepts with the spare descriptor, where that is what lacks: who waits for longest would else wait for ever, and the
// listener would be ready at every look.
func (a *acceptor) acceptWithSpare(err error) (acceptedSocket, bool) {
	if a.spareFile == nil || !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
		a.reserveSpare()
		return acceptedSocket{}, false
	}
	_ = a.spareFile.Close()
	a.spareFile = nil
	g, err := a.acceptNonblocking()
	if err != nil { // the system says that it lacks descriptors also where nobody waits
		a.reserveSpare()
	}
	return g, err == nil
}

// acceptBlocking waits for a connection, on a thread of its own: what is accepted is a bare descriptor, and the listener's own way to
// wait gives none.
func (a *acceptor) acceptBlocking() (acceptedSocket, error) {
	for {
		g, err := a.acceptNonblocking()
		if err != unix.EAGAIN {
			return g, err
		}
		if a.closeRequested.Load() { // and nobody waits
			return g, net.ErrClosed
		}
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(a.fd), Events: unix.POLLIN}, {Fd: int32(a.wakeFD), Events: unix.POLLIN}}, -1)
	}
}

// acceptNonblocking accepts a connection where one waits.
func (a *acceptor) acceptNonblocking() (g acceptedSocket, err error) {
	fd, from, err := unix.Accept4(a.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return g, err
	}
	g.fd = fd
	switch at := from.(type) {
	case *unix.SockaddrInet4:
		g.remote = netip.AddrFrom4(at.Addr)
	case *unix.SockaddrInet6:
		g.remote = netip.AddrFrom16(at.Addr).Unmap()
	}
	return g, nil
}

// refuse answers what has come on a connection that can't be let in, or comes in so long, and closes it. A task is rejected: it
// never ran. What is there beyond that is read too, as a close over bytes that nobody read would reset the connection and with it the
// answers that are on their way.
func refuse(g acceptedSocket, wait time.Duration) {
	defer unix.Close(g.fd)
	var held [4 << 10]byte
	b, said, deaf := held[:0], 0, false
	until := time.Now().Add(wait)
	for range maxRefusedReads {
		if left := time.Until(until); wait > 0 && said == 0 {
			if n, _ := unix.Poll([]unix.PollFd{{Fd: int32(g.fd), Events: unix.POLLIN}}, int(max(0, left).Milliseconds())); n <= 0 {
				return
			}
		}
		n, err := unix.Read(g.fd, b[len(b):cap(b)])
		if err != nil || n <= 0 {
			return
		}
		if deaf {
			continue
		}
		b = b[:len(b)+n]
		answers, rest, err := refusalsFor(b)
		if len(answers) > 0 { // a fresh connection takes so little at once, or its peer is gone
			_, _ = unix.Write(g.fd, answers)
			said++
		}
		if b = held[:copy(held[:], rest)]; err != nil || len(b) == cap(b) { // nothing more can be made of it
			b, deaf = held[:0], true
		}
	}
}

// maxRefusedReads bounds, in reads of 4 KiB, what one that can't be let in may hold up the acceptor with: twice what 32 tasks with
// bodies of 2 KiB take.
const maxRefusedReads = 32

// refusalsFor are the answers to the whole messages at the start of b, and what of it is no whole message yet.
func refusalsFor(b []byte) (answers, rest []byte, err error) {
	for {
		m, size, err := rpc.Next(b)
		if err != nil || size == 0 {
			return answers, b, err
		}
		switch m.Kind {
		case rpc.Task:
			answers = rpc.PutRejected(answers, m.Number, rpc.Say{})
		case rpc.Check:
			answers = rpc.PutWell(answers, m.Number, true, rpc.Say{})
		}
		b = b[size:]
	}
}

// maxEvictionRounds bounds how often others have to go for one.
const maxEvictionRounds = 5

// handOver gives a connection to the loop, where OnOpen meets it. Where there is no descriptor for that, others have to go first.
func (a *acceptor) handOver(g acceptedSocket) {
	a.reserveSpare()
	c, err := duplicateConn(g)
	for n := 0; err != nil; n++ {
		if n == maxEvictionRounds {
			refuse(g, 0)
			<-a.pending
			return
		}
		a.evictForDescriptors()
		c, err = duplicateConn(g)
	}
	_ = unix.Close(g.fd)
	done, err := a.server.loop.Enroll(gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), a), c)
	if err != nil {
		_ = c.Close()
		<-a.pending
		return
	}
	go func() {
		if r := <-done; r.Err != nil { // it never came to OnOpen
			<-a.pending
		}
	}()
}

// evictForDescriptors has the loop close what has to go, and waits until it has.
func (a *acceptor) evictForDescriptors() {
	s, done := a.server, make(chan struct{})
	if err := s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.evictUnderPressure()
		// gnet closes them in turn; this comes behind.
		return s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			close(done)
			return nil
		}))
	})); err != nil {
		return // it ends
	}
	select {
	case <-done:
	case <-time.After(maxAcceptBackoff): // the server ends, or stands still
	}
}

// evictUnderPressure has some connections go, as there are fewer descriptors than was told.
func (s *Server) evictUnderPressure() {
	now := s.now()
	if !s.connLimiter.Guarded() {
		if worst := s.evictionCandidate(nil); worst != nil {
			s.statistics.evicted++
			worst.closeNow()
		}
		return
	}
	s.connLimiter.Squeeze(now)
	for s.connLimiter.Over() > 0 {
		worst := s.firstEvictable(s.connLimiter.Excess(now), nil)
		if worst == nil {
			break // all have tasks open
		}
		s.statistics.evicted++
		worst.closeNow()
	}
}

// duplicateConn makes of a descriptor what gnet takes, beside it: so it is still there where a descriptor for that lacks.
func duplicateConn(g acceptedSocket) (net.Conn, error) {
	_ = unix.SetsockoptInt(g.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // slower without, no worse
	fd, err := unix.FcntlInt(uintptr(g.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	return net.FileConn(f)
}

// close has the acceptor take who still waits and then close the listener: from then on the system refuses connections, which proves
// to who asks that nothing ran. It returns at once; ended tells when that is done.
func (a *acceptor) close() {
	a.closeRequested.Store(true)
	var one [8]byte
	one[0] = 1
	_, _ = unix.Write(a.wakeFD, one[:])
}

// drained tells whether no connection can come any more: the listener is closed, and the loop has all that it gave.
func (a *acceptor) drained() bool {
	select {
	case <-a.done:
		return len(a.pending) == 0
	default:
		return false
	}
}

func (a *acceptor) release() {
	_ = a.listener.Close()
	_ = unix.Close(a.wakeFD)
	if a.spareFile != nil {
		_ = a.spareFile.Close()
	}
}
