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
	"golang.org/x/sys/unix"
)

const (
	// minAcceptBackoff is how long to wait after a failed accept, doubled up to maxAcceptBackoff:
	// short beside a second, in which trusted clients are to get in, and long beside what a try
	// costs.
	minAcceptBackoff = 2 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
	// acceptBurst is for how long, in seconds, the rate limit is saved up: half of all clients may
	// return together, and after a restart none of them is trusted.
	acceptBurst = 1.0
	// maxPendingAccepts is how many connections may be between the acceptor and the loop where the
	// connection limiter has no holding area: each takes up to three descriptors there, of the
	// reserved ones.
	maxPendingAccepts = 4
	// cpuSampleInterval is how often, in seconds, the system is asked what was spent: a call of a
	// microsecond.
	cpuSampleInterval = 0.05
	// acceptFailureLogInterval is how often a failed accept is logged at most.
	acceptFailureLogInterval = time.Second
	// maxEvictionRounds bounds how often others have to go for one.
	maxEvictionRounds = 5
)

// acceptor accepts connections and hands them to the loop. gnet's own accept ends the engine when
// it fails for want of a descriptor or of memory, and its listener lives as long as the engine;
// this one waits and goes on, and closes alone. Its goroutine decides nothing but when to wait;
// what the loop shares with it is atomic.
type acceptor struct {
	server   *Server
	listener net.Listener
	fd       int           // the listener's
	accept   acceptFunc    // acceptBlocking
	pending  chan struct{} // has a place for each connection on its way to the loop

	closeRequested atomic.Bool
	wakeFD         int           // an event descriptor, written to have it look at closeRequested
	done           chan struct{} // closed once the listener is

	spareFile       *os.File // a descriptor to give up when there is no other
	failureLoggedAt time.Time
	failures        atomic.Int64 // accepts that failed for want of something

	// untrustedRate is from the limiter: untrusted clients a second, as the bits of a float64.
	untrustedRate atomic.Uint64
	trusted       atomic.Pointer[trustedClients] // who goes past that, from the limiter
	rateLimited   atomic.Int64                   // untrusted clients over the rate, refused here
	sampledAt     float64                        // when the loop last told the limiter what was spent
}

// acceptFunc waits for a connection. It returns net.ErrClosed once the acceptor is to close and
// nobody waits.
type acceptFunc func() (acceptedSocket, error)

// acceptedSocket is a connection that was accepted, as its bare descriptor: most of them in a flood
// are closed again at once, and what the net package makes of each would be half of the cost.
type acceptedSocket struct {
	fd     int
	remote netip.Addr
}

// trustedClients are those whom the acceptor lets past the rate limit.
type trustedClients struct {
	named  []netip.Prefix
	earned map[netip.Addr]bool
}

func (t *trustedClients) has(addr netip.Addr) bool {
	isNamed := func(prefix netip.Prefix) bool { return prefix.Contains(addr) }
	return t.earned[addr] || slices.ContainsFunc(t.named, isNamed)
}

// newAcceptor opens the server's listener. Like gnet's it leaves the address open to a successor.
func newAcceptor(address string) (*acceptor, error) {
	listenConfig := net.ListenConfig{KeepAlive: -1, Control: reusePort}
	listener, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	a := &acceptor{listener: listener, done: make(chan struct{})}
	a.accept = a.acceptBlocking
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { a.fd = int(fd) }) // it stays open as long as the listener does
	}
	if err == nil {
		a.wakeFD, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	}
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	a.reserveSpare()
	return a, nil
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, optionErr)
}

// attach has the acceptor go by a server's connection limiter. It is called before run.
func (a *acceptor) attach(s *Server) {
	a.server = s
	places := maxPendingAccepts
	rate := math.Inf(1)
	trusted := &trustedClients{}
	if s.clients.limiter.Guarded() {
		places = s.holdingSlots()
		rate = s.clients.limiter.Pace(s.now())
		trusted.named = s.clients.limiter.Named
	}
	a.pending = make(chan struct{}, places)
	a.untrustedRate.Store(math.Float64bits(rate))
	a.trusted.Store(trusted)
}

// run accepts until the listener closes. All is accepted at once, as trusted clients wait in the
// same queue of the system as others do; untrusted ones over the rate are refused here, which costs
// about half of what it does on the loop.
func (a *acceptor) run() {
	defer close(a.done)
	defer a.release()
	select {
	case <-a.server.loop.ready: // the first connection to be dialed makes the loop known
	case <-a.server.lifetime.stopped:
		return
	}
	bucket := tokenBucket{tokens: math.Inf(1), at: time.Now()} // full
	backoff := minAcceptBackoff
	for {
		socket, err := a.accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			a.handleAccepted(socket, &bucket)
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, syscall.ECONNABORTED): // it went away while it waited
			continue
		case errors.Is(err, syscall.EINTR): // a signal came
			continue
		}
		if a.closeRequested.Load() { // who still waits can't be taken
			return
		}
		a.handleFailure(err)
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// tokenBucket holds the untrusted clients that may be accepted now.
type tokenBucket struct {
	tokens float64
	at     time.Time // when it was last filled
}

// refill adds what has come up at a rate a second; an infinite rate leaves the bucket as it is.
func (b *tokenBucket) refill(rate float64) {
	now := time.Now()
	if !math.IsInf(rate, 1) {
		b.tokens = min(max(1, rate*acceptBurst), b.tokens+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
}

// handleAccepted hands a connection to the loop, or refuses it where it is untrusted and over the
// rate.
func (a *acceptor) handleAccepted(socket acceptedSocket, bucket *tokenBucket) {
	bucket.refill(math.Float64frombits(a.untrustedRate.Load()))
	if !a.trusted.Load().has(socket.remote) {
		if bucket.tokens < 1 {
			a.rateLimited.Add(1)
			refuse(socket, 0)
			return
		}
		bucket.tokens--
	}
	a.pending <- struct{}{}
	a.handOver(socket)
}

// handleFailure does what can be done about a failed accept.
func (a *acceptor) handleFailure(err error) {
	a.failures.Add(1)
	if time.Since(a.failureLoggedAt) > acceptFailureLogInterval {
		a.failureLoggedAt = time.Now()
		slog.Info("accept_failing", "err", err, "failures", a.failures.Load())
	}
	if lacksDescriptor(err) {
		a.evictForDescriptors()
	}
	if socket, ok := a.acceptWithSpare(err); ok {
		refuse(socket, refusalReadTimeout)
	}
}

// lacksDescriptor reports whether the process or the system has no descriptor left.
func lacksDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// sampleCPU sets the rate limit by what arrivals cost, on the loop.
func (a *acceptor) sampleCPU(now float64) {
	if now < a.sampledAt+cpuSampleInterval {
		return
	}
	a.sampledAt = now
	limiter := a.server.clients.limiter
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err == nil {
		limiter.Spent(float64(used.Utime.Nano()+used.Stime.Nano())/1e9, now)
	}
	a.untrustedRate.Store(math.Float64bits(limiter.Pace(now)))
	if earned, changed := limiter.KnownClients(); changed {
		a.trusted.Store(&trustedClients{named: limiter.Named, earned: earned})
	}
}

func (a *acceptor) reserveSpare() {
	if a.spareFile == nil {
		a.spareFile, _ = os.Open(os.DevNull) // none to be had: the next accept that succeeds tries again
	}
}

// acceptWithSpare accepts with the spare descriptor, where that is what lacks: who waits for
// longest would else wait for ever, and the listener would be ready at every look.
func (a *acceptor) acceptWithSpare(err error) (acceptedSocket, bool) {
	if a.spareFile == nil || !lacksDescriptor(err) {
		a.reserveSpare()
		return acceptedSocket{}, false
	}
	_ = a.spareFile.Close()
	a.spareFile = nil
	socket, err := a.acceptNonblocking()
	if err != nil { // the system says that it lacks descriptors also where nobody waits
		a.reserveSpare()
	}
	return socket, err == nil
}

// acceptBlocking waits for a connection, on a thread of its own: what is accepted is a bare
// descriptor, and the listener's own way to wait gives none.
func (a *acceptor) acceptBlocking() (acceptedSocket, error) {
	for {
		socket, err := a.acceptNonblocking()
		if !errors.Is(err, unix.EAGAIN) {
			return socket, err
		}
		if a.closeRequested.Load() { // and nobody waits
			return socket, net.ErrClosed
		}
		_, _ = unix.Poll([]unix.PollFd{
			{Fd: int32(a.fd), Events: unix.POLLIN},
			{Fd: int32(a.wakeFD), Events: unix.POLLIN},
		}, -1)
	}
}

// acceptNonblocking accepts a connection where one waits, and returns unix.EAGAIN where none does.
func (a *acceptor) acceptNonblocking() (acceptedSocket, error) {
	fd, remote, err := unix.Accept4(a.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return acceptedSocket{}, err
	}
	socket := acceptedSocket{fd: fd}
	switch remote := remote.(type) {
	case *unix.SockaddrInet4:
		socket.remote = netip.AddrFrom4(remote.Addr)
	case *unix.SockaddrInet6:
		socket.remote = netip.AddrFrom16(remote.Addr).Unmap()
	}
	return socket, nil
}

// handOver gives a connection to the loop, where OnOpen meets it. Where there is no descriptor for
// that, others have to go first.
func (a *acceptor) handOver(socket acceptedSocket) {
	a.reserveSpare()
	conn, err := duplicateConn(socket)
	for round := 0; err != nil; round++ {
		if round == maxEvictionRounds {
			refuse(socket, 0)
			<-a.pending
			return
		}
		a.evictForDescriptors()
		conn, err = duplicateConn(socket)
	}
	_ = unix.Close(socket.fd)
	ctx := gnet.NewContext(gnet.NewNetConnContext(context.Background(), conn), a)
	registered, err := a.server.loop.handle.Enroll(ctx, conn)
	if err != nil {
		_ = conn.Close()
		<-a.pending
		return
	}
	go func() {
		if result := <-registered; result.Err != nil { // it never came to OnOpen
			<-a.pending
		}
	}()
}

// evictForDescriptors has the loop close what has to go, and waits until it has.
func (a *acceptor) evictForDescriptors() {
	s := a.server
	evicted := make(chan struct{})
	err := s.loop.execute(func() {
		s.evictUnderPressure()
		// gnet closes them in turn; this comes behind.
		_ = s.loop.execute(func() { close(evicted) })
	})
	if err != nil {
		return // it ends
	}
	select {
	case <-evicted:
	case <-time.After(maxAcceptBackoff): // the server ends, or stands still
	}
}

// duplicateConn makes of a descriptor what gnet takes, beside it: so it is still there where a
// descriptor for that lacks.
func duplicateConn(socket acceptedSocket) (net.Conn, error) {
	_ = unix.SetsockoptInt(socket.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // slower without, no worse
	fd, err := unix.FcntlInt(uintptr(socket.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}

// close has the acceptor take who still waits and then close the listener: from then on the system
// refuses connections, which proves to who asks that nothing ran. It returns at once; done is
// closed when that is done. Any goroutine may call it.
func (a *acceptor) close() {
	a.closeRequested.Store(true)
	one := [8]byte{1}
	_, _ = unix.Write(a.wakeFD, one[:])
}

// drained reports whether no connection can come any more: the listener is closed, and the loop has
// all that were accepted.
func (a *acceptor) drained() bool {
	select {
	case <-a.done:
		return len(a.pending) == 0
	default:
		return false
	}
}

// release closes the listener and the acceptor's own descriptors.
func (a *acceptor) release() {
	_ = a.listener.Close()
	_ = unix.Close(a.wakeFD)
	if a.spareFile != nil {
		_ = a.spareFile.Close()
	}
}
