package server

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// minAcceptBackoff is the pause after a failed accept; it doubles up to maxAcceptBackoff. Both
	// are short compared with the one second within which trusted clients must be admitted, and long
	// compared with the cost of an attempt.
	minAcceptBackoff = 2 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
	// maxPendingAccepts bounds the accepted connections that the loop has not received yet, if the
	// connection limiter has no holding area. Each of them takes up to three reserved descriptors.
	maxPendingAccepts = 4
	// acceptFailureLogInterval is the least time between two log lines about failed accepts.
	acceptFailureLogInterval = time.Second
	// maxEvictionRounds bounds the rounds of eviction that make room for one accepted connection.
	maxEvictionRounds = 5
)

// acceptor accepts connections and registers them on the loop. It replaces gnet's own acceptor,
// which stops the engine if accept fails for lack of descriptors or memory, and can't close its
// listener before the engine stops; this one retries after failures, and can be closed separately.
// It runs on its own goroutine and shares only atomic fields and channels with the loop.
type acceptor struct {
	server   *Server
	listener net.Listener
	fd       int           // the listener's descriptor
	accept   acceptFunc    // acceptBlocking, or a test's wrapper of it
	pending  chan struct{} // a semaphore: one element for each connection the loop has yet to receive

	closeRequested atomic.Bool
	wakeFD         int           // an eventfd that wakes the acceptor when closeRequested is set
	done           chan struct{} // closed once the listener is closed

	spareFile       *os.File // holds a spare descriptor, which is released when descriptors run out
	failureLoggedAt time.Time
	failures        atomic.Int64 // failed accepts

	// untrustedRate is how many untrusted clients may be accepted per second, as the bits of a
	// float64. The connection limiter sets it.
	untrustedRate atomic.Uint64
	trusted       atomic.Pointer[trustedClients] // clients exempt from the rate; the limiter sets them
	rateLimited   atomic.Int64                   // untrusted clients refused for the rate
	sampledAt     float64                        // when the loop last sampled the CPU time
}

// acceptFunc waits for a connection and accepts it. It returns net.ErrClosed once a close of the
// acceptor was requested and no connection is waiting.
type acceptFunc func() (acceptedSocket, error)

// acceptedSocket is an accepted connection as a bare descriptor. In a flood most connections are
// closed at once, and wrapping each in a net.Conn would make up half of the cost.
type acceptedSocket struct {
	fd     int
	remote netip.Addr
}

// newAcceptor opens the server's listener. Like gnet it sets SO_REUSEPORT, so that the process that
// replaces this one can listen on the same address.
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
		err = raw.Control(func(fd uintptr) { a.fd = int(fd) }) // valid as long as the listener is open
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

// attach connects the acceptor to a server, and copies the rate limit and the trusted prefixes from
// the server's connection limiter. It must be called before run.
func (a *acceptor) attach(s *Server) {
	a.server = s
	maxPending := maxPendingAccepts
	rate := math.Inf(1)
	trusted := &trustedClients{}
	if s.clients.limiter.HasRules() {
		maxPending = s.holdingSlots()
		rate = s.clients.limiter.AcceptRate(s.now())
		trusted.prefixes = s.clients.limiter.TrustedPrefixes()
	}
	a.pending = make(chan struct{}, maxPending)
	a.untrustedRate.Store(math.Float64bits(rate))
	a.trusted.Store(trusted)
}

// run accepts connections until the listener closes. It accepts all of them without delay, because
// trusted clients wait in the same system queue as others. Untrusted clients over the rate are
// refused here, at about half of what their refusal would cost on the loop.
func (a *acceptor) run() {
	defer close(a.done)
	defer a.release()
	select {
	case <-a.server.loop.ready: // closed when the first dialed connection opens
	case <-a.server.lifetime.stopped:
		return
	}
	bucket := tokenBucket{tokens: math.Inf(1), refilledAt: time.Now()} // starts full
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
		case errors.Is(err, syscall.ECONNABORTED): // the client closed the connection while it was queued
			continue
		case errors.Is(err, syscall.EINTR): // interrupted by a signal
			continue
		}
		if a.closeRequested.Load() { // connections still in the queue can't be accepted
			return
		}
		a.handleFailure(err)
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// handleAccepted registers a connection on the loop, or refuses it if its client is untrusted and
// over the rate.
func (a *acceptor) handleAccepted(socket acceptedSocket, bucket *tokenBucket) {
	bucket.refill(math.Float64frombits(a.untrustedRate.Load()))
	if !a.trusted.Load().contains(socket.remote) && !bucket.take() {
		a.rateLimited.Add(1)
		refuse(socket, 0)
		return
	}
	a.pending <- struct{}{}
	a.register(socket)
}

// handleFailure handles a failed accept: it logs it and, if descriptors ran out, evicts connections
// and rejects one waiting connection with the spare descriptor.
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

// reserveSpare opens the spare descriptor if it is not open.
func (a *acceptor) reserveSpare() {
	if a.spareFile == nil {
		a.spareFile, _ = os.Open(os.DevNull) // if this fails, it is tried again after the next accept
	}
}

// acceptWithSpare accepts a connection with the spare descriptor if descriptors ran out. Otherwise
// the oldest waiting connection would get no answer while descriptors are short, and the listener
// would stay readable.
func (a *acceptor) acceptWithSpare(err error) (acceptedSocket, bool) {
	if a.spareFile == nil || !lacksDescriptor(err) {
		a.reserveSpare()
		return acceptedSocket{}, false
	}
	_ = a.spareFile.Close()
	a.spareFile = nil
	socket, err := a.acceptNonblocking()
	if err != nil { // none may be waiting: EMFILE and ENFILE are reported even then
		a.reserveSpare()
	}
	return socket, err == nil
}

// acceptBlocking waits for a connection and accepts it; it blocks a thread meanwhile. It polls the
// descriptors itself because net.Listener can wait only for a net.Conn, not for a bare descriptor.
func (a *acceptor) acceptBlocking() (acceptedSocket, error) {
	for {
		socket, err := a.acceptNonblocking()
		if !errors.Is(err, unix.EAGAIN) {
			return socket, err
		}
		if a.closeRequested.Load() { // no connection is waiting either
			return socket, net.ErrClosed
		}
		_, _ = unix.Poll([]unix.PollFd{
			{Fd: int32(a.fd), Events: unix.POLLIN},
			{Fd: int32(a.wakeFD), Events: unix.POLLIN},
		}, -1)
	}
}

// acceptNonblocking accepts a connection if one is waiting, and returns unix.EAGAIN otherwise.
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

// register registers a connection on the loop, which calls OnOpen with it. That takes another
// descriptor; if none is left, other connections are evicted first.
func (a *acceptor) register(socket acceptedSocket) {
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
		if result := <-registered; result.Err != nil { // OnOpen was not called for it
			<-a.pending
		}
	}()
}

// evictForDescriptors makes the loop evict connections, and waits until they are closed.
func (a *acceptor) evictForDescriptors() {
	s := a.server
	evicted := make(chan struct{})
	err := s.loop.execute(func() {
		s.evictUnderPressure()
		// gnet closes connections in the order of its queue, so this runs after the last close.
		_ = s.loop.execute(func() { close(evicted) })
	})
	if err != nil {
		return // the engine is stopped
	}
	select {
	case <-evicted:
	case <-time.After(maxAcceptBackoff): // the server is stopping, or the loop is stalled
	}
}

// duplicateConn makes a net.Conn from a duplicate of the descriptor; the original stays open in any
// case.
func duplicateConn(socket acceptedSocket) (net.Conn, error) {
	_ = unix.SetsockoptInt(socket.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it, only latency suffers
	fd, err := unix.FcntlInt(uintptr(socket.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}

// close makes the acceptor accept the connections that are already waiting, and then close the
// listener. From then on the system refuses connections, so a client knows that its request did not
// run. close returns at once; the channel done is closed after the listener. Any goroutine may call
// it.
func (a *acceptor) close() {
	a.closeRequested.Store(true)
	one := [8]byte{1}
	_, _ = unix.Write(a.wakeFD, one[:])
}

// drained reports whether no further connection can arrive: the listener is closed, and the loop
// has received all accepted connections.
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
