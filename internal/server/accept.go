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
	// are short compared with the second in which trusted clients are to be admitted, and long
	// compared with the cost of an attempt.
	minAcceptBackoff = 2 * time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
	// maxPendingAccepts bounds the connections between the acceptor and the loop where the
	// connection limiter has no holding area: each takes up to three of the reserved descriptors
	// there.
	maxPendingAccepts = 4
	// acceptFailureLogInterval is the least time between two log lines about failed accepts.
	acceptFailureLogInterval = time.Second
	// maxEvictionRounds bounds how often other connections are evicted for the sake of one.
	maxEvictionRounds = 5
)

// acceptor accepts connections and hands them to the loop. gnet's own accept stops the engine when
// it fails for want of a descriptor or of memory, and its listener lives as long as the engine;
// this one retries, and closes on its own. Its goroutine makes no decision but when to wait; what
// the loop shares with it is atomic.
type acceptor struct {
	server   *Server
	listener net.Listener
	fd       int           // the listener's
	accept   acceptFunc    // acceptBlocking
	pending  chan struct{} // has a place for each connection on its way to the loop

	closeRequested atomic.Bool
	wakeFD         int           // an event descriptor that wakes it for closeRequested
	done           chan struct{} // closed once the listener is

	spareFile       *os.File // a descriptor to give up when there is none left
	failureLoggedAt time.Time
	failures        atomic.Int64 // failed accepts

	// untrustedRate is how many untrusted clients a second may be accepted, by the connection
	// limiter, as the bits of a float64.
	untrustedRate atomic.Uint64
	trusted       atomic.Pointer[trustedClients] // exempt from the rate, from the limiter
	rateLimited   atomic.Int64                   // untrusted clients that were refused
	sampledAt     float64                        // when the loop last sampled the CPU time
}

// acceptFunc waits for a connection. It returns net.ErrClosed once the acceptor is to close and no
// connection is waiting.
type acceptFunc func() (acceptedSocket, error)

// acceptedSocket is an accepted connection as its bare descriptor: most of them in a flood are
// closed at once, and wrapping each in a net.Conn would be half of the cost.
type acceptedSocket struct {
	fd     int
	remote netip.Addr
}

// newAcceptor opens the server's listener. Like gnet's, it sets SO_REUSEPORT, so that a successor
// can listen on the address.
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

// attach takes the rate limit and the trusted clients from a server's connection limiter. It is
// called before run.
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

// run accepts until the listener closes. Every connection is accepted at once, as trusted clients
// wait in the same system queue as others; untrusted ones over the rate are refused here, at about
// half of the cost that the loop would have.
func (a *acceptor) run() {
	defer close(a.done)
	defer a.release()
	select {
	case <-a.server.loop.ready: // the first dialed connection starts it
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
		if a.closeRequested.Load() { // those that still wait can't be accepted
			return
		}
		a.handleFailure(err)
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// handleAccepted hands a connection to the loop, or refuses it if it is untrusted and over the
// rate.
func (a *acceptor) handleAccepted(socket acceptedSocket, bucket *tokenBucket) {
	bucket.refill(math.Float64frombits(a.untrustedRate.Load()))
	if !a.trusted.Load().contains(socket.remote) && !bucket.take() {
		a.rateLimited.Add(1)
		refuse(socket, 0)
		return
	}
	a.pending <- struct{}{}
	a.handOver(socket)
}

// handleFailure logs a failed accept and, if descriptors ran out, makes room for the next one.
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

// reserveSpare opens the spare descriptor if there is none.
func (a *acceptor) reserveSpare() {
	if a.spareFile == nil {
		a.spareFile, _ = os.Open(os.DevNull) // if it fails, the next accept tries again
	}
}

// acceptWithSpare accepts with the spare descriptor if descriptors ran out: otherwise the
// connection that waits for longest would wait for ever, and the listener would always be ready.
func (a *acceptor) acceptWithSpare(err error) (acceptedSocket, bool) {
	if a.spareFile == nil || !lacksDescriptor(err) {
		a.reserveSpare()
		return acceptedSocket{}, false
	}
	_ = a.spareFile.Close()
	a.spareFile = nil
	socket, err := a.acceptNonblocking()
	if err != nil { // the system reports a lack of descriptors even if no connection waits
		a.reserveSpare()
	}
	return socket, err == nil
}

// acceptBlocking waits for a connection, and blocks a thread meanwhile: what it accepts is a bare
// descriptor, and the listener's own way to wait returns none.
func (a *acceptor) acceptBlocking() (acceptedSocket, error) {
	for {
		socket, err := a.acceptNonblocking()
		if !errors.Is(err, unix.EAGAIN) {
			return socket, err
		}
		if a.closeRequested.Load() { // and no connection waits
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

// handOver gives a connection to the loop, where OnOpen receives it. If there is no descriptor for
// that, other connections are evicted first.
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
		if result := <-registered; result.Err != nil { // it never reached OnOpen
			<-a.pending
		}
	}()
}

// evictForDescriptors has the loop evict connections, and waits until they are closed.
func (a *acceptor) evictForDescriptors() {
	s := a.server
	evicted := make(chan struct{})
	err := s.loop.execute(func() {
		s.evictUnderPressure()
		// gnet closes them in the order of its queue; this comes after the last.
		_ = s.loop.execute(func() { close(evicted) })
	})
	if err != nil {
		return // the engine is stopped
	}
	select {
	case <-evicted:
	case <-time.After(maxAcceptBackoff): // the server ends, or the loop is stalled
	}
}

// duplicateConn makes a net.Conn of a duplicate of the descriptor, so that the original is still
// open if that fails.
func duplicateConn(socket acceptedSocket) (net.Conn, error) {
	_ = unix.SetsockoptInt(socket.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // an error only costs latency
	fd, err := unix.FcntlInt(uintptr(socket.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}

// close has the acceptor accept the connections that already wait, and then close the listener:
// from then on the system refuses connections, which proves to clients that nothing ran. It returns
// at once; the channel done is closed afterwards. Any goroutine may call it.
func (a *acceptor) close() {
	a.closeRequested.Store(true)
	one := [8]byte{1}
	_, _ = unix.Write(a.wakeFD, one[:])
}

// drained reports whether no further connection can come: the listener is closed, and the loop has
// received all accepted connections.
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
